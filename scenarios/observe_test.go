package scenarios

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/checker"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/protocol/protocolconnect"
	"coltsfootplank/internal/recorder"
)

// observeInterval is the time between two looks at a router; a killed router loses its events of that time.
const observeInterval = 250 * time.Millisecond

// eventKey identifies an event, which each look at the router's history returns again.
type eventKey struct {
	at     int64
	router string
	kind   recorder.Kind
	id     string
}

// observe collects a router's events and catalogue revisions until the process ends.
func (w *world) observe(name string, p *process) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-p.ended:
			return
		case <-ticker.C:
			// A frozen or stopping router answers nothing.
			_ = w.look(name)
		}
	}
}

// look reads a router's events and catalogue once.
func (w *world) look(name string) error {
	text, err := w.call("GET", w.routerPort(portAdmin, name), "/debug/state?section=history", "")
	if err != nil {
		return err
	}
	var dump struct {
		Sections struct {
			History []recorder.Event `json:"history"`
		} `json:"sections"`
	}
	if err := json.Unmarshal(text, &dump); err != nil {
		return Error.Wrap(err)
	}
	seen, err := w.catalogue(name)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, event := range dump.Sections.History {
		w.events[eventKey{event.At.UnixNano(), event.Router, event.Kind, event.RequestID}] = event
	}
	if seen.Revision > 0 {
		w.history.InForce = append(w.history.InForce, seen)
	}
	return nil
}

// catalogue reads the revision in force on a router. The time is taken before the call, so that a slow answer
// doesn't make an old revision look late.
func (w *world) catalogue(name string) (checker.InForce, error) {
	seen := checker.InForce{At: time.Now(), Router: name}
	client := protocolconnect.NewAdminServiceClient(w.client, "http://"+address(w.routerPort(portAdmin, name)))
	ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
	defer cancel()
	answer, err := client.GetCatalogue(ctx, &protocol.GetCatalogueRequest{})
	if err != nil || answer.GetRevision() == 0 {
		return seen, Error.Wrap(err)
	}
	seen.Revision = answer.GetRevision()
	seen.Digest, err = digest(answer.GetYaml())
	return seen, err
}

// digest identifies a catalogue's content without its revision and its order of entries.
func digest(text string) (string, error) {
	catalogue, err := cataloguer.Parse([]byte(text))
	if err != nil {
		return "", Error.Wrap(err)
	}
	catalogue.Revision = 0
	slices.SortFunc(catalogue.Workspaces, func(a, b cataloguer.Workspace) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(catalogue.Pools, func(a, b cataloguer.Pool) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(catalogue.Works, func(a, b cataloguer.Work) int { return strings.Compare(a.Name, b.Name) })
	canonical, err := catalogue.Marshal()
	return fmt.Sprintf("%016x", xxhash.Sum64(canonical)), Error.Wrap(err)
}

// given returns the answers so far.
func (w *world) given() []answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.answers)
}

// eventsOf returns the events seen so far in the order of their time.
func (w *world) eventsOf(match func(recorder.Event) bool) []recorder.Event {
	w.mu.Lock()
	defer w.mu.Unlock()
	var events []recorder.Event
	for _, event := range w.events {
		if match(event) {
			events = append(events, event)
		}
	}
	slices.SortFunc(events, func(a, b recorder.Event) int { return a.At.Compare(b.At) })
	return events
}

// collect returns the whole history for the checker.
func (w *world) collect() (checker.History, error) {
	for name, p := range w.processes {
		if name != platform && p.running() && !p.frozen {
			if err := w.look(name); err != nil {
				return checker.History{}, err
			}
		}
	}
	w.mu.Lock()
	history := w.history
	history.InForce = slices.Clone(history.InForce)
	w.mu.Unlock()
	history.Ended = time.Now()
	history.Events = w.eventsOf(func(recorder.Event) bool { return true })
	answers := w.given()
	for _, a := range answers {
		history.Replies = append(history.Replies, a.judged(answers))
	}
	history.Events = append(history.Events, w.endsSeenByCallers()...)
	var err error
	history.Runs, err = w.runs(history)
	return history, err
}

// endsSeenByCallers adds the ends of requests to routers that were stopped: the last events of a process that has
// exited can't be read, and the caller's answer is the stronger evidence.
func (w *world) endsSeenByCallers() []recorder.Event {
	var events []recorder.Event
	for _, stop := range w.history.Stops {
		for _, a := range w.given() {
			if a.Router == stop.Router && (a.Whole || a.Outcome != "") {
				events = append(events, recorder.Event{
					At: a.At, Router: a.Router, Kind: recorder.Answered, RequestID: a.RequestID, Key: a.Key,
					Workspace: a.Workspace, Work: a.Work,
				})
			}
		}
	}
	return events
}

// runs reads what the upstreams ran. Engines count the runs of a stream id; the time and the engine of such a run
// are those of the router's last dispatch. Desks list their runs.
func (w *world) runs(history checker.History) ([]checker.Run, error) {
	last := make(map[string]recorder.Event)
	for _, reply := range history.Replies {
		last[reply.RequestID] = recorder.Event{At: reply.At, RequestID: reply.RequestID}
	}
	for _, event := range history.Events {
		if _, known := last[event.RequestID]; !known || event.Kind == recorder.Dispatched {
			last[event.RequestID] = event
		}
	}
	var stats struct {
		DuplicateStreamIDs []string `json:"duplicate_stream_ids"`
	}
	if err := w.control("/control/stats", &stats); err != nil {
		return nil, err
	}
	for _, id := range stats.DuplicateStreamIDs {
		last[id] = recorder.Event{RequestID: id, Upstream: last[id].Upstream, At: last[id].At}
	}
	delete(last, "")
	var group errgroup.Group
	group.SetLimit(8)
	found := make(chan checker.Run, 2*len(last)+1)
	for id, event := range last {
		group.Go(func() error {
			var count struct {
				Runs int `json:"runs"`
			}
			err := w.control("/control/runs/"+id, &count)
			// Two runs of a request already violate P1.
			for range min(count.Runs, 2) {
				found <- checker.Run{At: event.At, Upstream: event.Upstream, RequestID: id}
			}
			return err
		})
	}
	err := group.Wait()
	close(found)
	var runs []checker.Run
	for run := range found {
		runs = append(runs, run)
	}
	if err != nil {
		return nil, err
	}
	booked, err := w.ledger()
	return append(runs, booked...), err
}

// ledger reads the runs of all desks from the first desk that answers.
func (w *world) ledger() ([]checker.Run, error) {
	var report struct {
		Runs []struct {
			RequestID string `json:"request_id"`
			Desk      string `json:"desk"`
			AtMS      int64  `json:"at_ms"`
		} `json:"runs"`
	}
	var text []byte
	var err error
	for desk := range 3 {
		if text, err = w.call("GET", w.base+portDesk+desk, "/v1/ledger", ""); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(text, &report); err != nil {
		return nil, Error.Wrap(err)
	}
	runs := make([]checker.Run, 0, len(report.Runs))
	for _, run := range report.Runs {
		runs = append(runs, checker.Run{At: time.UnixMilli(run.AtMS), Upstream: run.Desk, RequestID: run.RequestID})
	}
	return runs, nil
}

func (w *world) control(path string, into any) error {
	text, err := w.call("GET", w.base+portControl, path, "")
	if err != nil {
		return err
	}
	return Error.Wrap(json.Unmarshal(text, into))
}
