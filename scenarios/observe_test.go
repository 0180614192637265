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

// pollInterval is the time between two reads of a router's history. The events since the last read are lost when a
// router is killed.
const pollInterval = 250 * time.Millisecond

// eventKey identifies an event, so that an event that several reads of a router's history return is recorded once.
type eventKey struct {
	at     int64
	router string
	kind   recorder.Kind
	id     string
}

// pollUntilExit collects a router's events and catalogue revisions until the process exits.
func (s *scenario) pollUntilExit(name string, p *process) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-p.exited:
			return
		case <-ticker.C:
			// The error is ignored because a router that is frozen or about to exit doesn't respond.
			_ = s.poll(name)
		}
	}
}

// poll reads a router's events and catalogue revision once and adds them to the history.
func (s *scenario) poll(name string) error {
	text, err := s.call("GET", s.routerPort(portAdmin, name), "/debug/state?section=history", "")
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
	inForce, err := s.catalogue(name)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, event := range dump.Sections.History {
		s.events[eventKey{event.At.UnixNano(), event.Router, event.Kind, event.RequestID}] = event
	}
	if inForce.Revision > 0 {
		s.history.InForce = append(s.history.InForce, inForce)
	}
	return nil
}

// catalogue reads the revision in force on a router. The time is taken before the call, so that a slow response doesn't
// make an old revision appear to be in force for too long.
func (s *scenario) catalogue(name string) (checker.InForce, error) {
	inForce := checker.InForce{At: time.Now(), Router: name}
	client := protocolconnect.NewAdminServiceClient(s.client, "http://"+address(s.routerPort(portAdmin, name)))
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	response, err := client.GetCatalogue(ctx, &protocol.GetCatalogueRequest{})
	if err != nil || response.GetRevision() == 0 {
		return inForce, Error.Wrap(err)
	}
	inForce.Revision = response.GetRevision()
	inForce.Digest, err = catalogueDigest(response.GetYaml())
	return inForce, err
}

// catalogueDigest returns a hash of a catalogue that doesn't depend on its revision or the order of its entries.
func catalogueDigest(text string) (string, error) {
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

// answersSoFar returns a copy of the answers that callers have received.
func (s *scenario) answersSoFar() []answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.answers)
}

// eventsOf returns the recorded events that match, ordered by time.
func (s *scenario) eventsOf(match func(recorder.Event) bool) []recorder.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	var events []recorder.Event
	for _, event := range s.events {
		if match(event) {
			events = append(events, event)
		}
	}
	slices.SortFunc(events, func(a, b recorder.Event) int { return a.At.Compare(b.At) })
	return events
}

// collectHistory assembles the history for the checker.
func (s *scenario) collectHistory() (checker.History, error) {
	for name, p := range s.processes {
		if name != platform && p.running() && !p.frozen {
			if err := s.poll(name); err != nil {
				return checker.History{}, err
			}
		}
	}
	s.mu.Lock()
	history := s.history
	history.InForce = slices.Clone(history.InForce)
	s.mu.Unlock()
	history.Ended = time.Now()
	history.Events = s.eventsOf(func(recorder.Event) bool { return true })
	answers := s.answersSoFar()
	for _, a := range answers {
		history.Answers = append(history.Answers, a.checkedReply(answers))
	}
	history.Events = append(history.Events, s.eventsFromCallers()...)
	var err error
	history.Runs, err = s.upstreamRuns(history)
	return history, err
}

// eventsFromCallers returns an answered event for each request that a stopped router answered. The last events of a
// process that has exited can't be read, and the answer that the caller received is stronger evidence.
func (s *scenario) eventsFromCallers() []recorder.Event {
	var events []recorder.Event
	for _, stop := range s.history.Stops {
		for _, a := range s.answersSoFar() {
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

// upstreamRuns reads the runs from the stand-in. For engines it has only the number of runs of each stream id, so the
// time and the engine of such a run are taken from the router's last dispatch. Desks list their runs.
func (s *scenario) upstreamRuns(history checker.History) ([]checker.Run, error) {
	lastEvents := make(map[string]recorder.Event)
	for _, reply := range history.Answers {
		lastEvents[reply.RequestID] = recorder.Event{At: reply.At, RequestID: reply.RequestID}
	}
	for _, event := range history.Events {
		if _, known := lastEvents[event.RequestID]; !known || event.Kind == recorder.Dispatched {
			lastEvents[event.RequestID] = event
		}
	}
	var stats struct {
		DuplicateStreamIDs []string `json:"duplicate_stream_ids"`
	}
	if err := s.getControl("/control/stats", &stats); err != nil {
		return nil, err
	}
	for _, id := range stats.DuplicateStreamIDs {
		lastEvents[id] = recorder.Event{RequestID: id, Upstream: lastEvents[id].Upstream, At: lastEvents[id].At}
	}
	delete(lastEvents, "")
	var group errgroup.Group
	group.SetLimit(8)
	foundRuns := make(chan checker.Run, 2*len(lastEvents)+1)
	for id, event := range lastEvents {
		group.Go(func() error {
			var count struct {
				Runs int `json:"runs"`
			}
			err := s.getControl("/control/runs/"+id, &count)
			// Two runs of a request already violate P1, so further ones are not needed.
			for range min(count.Runs, 2) {
				foundRuns <- checker.Run{At: event.At, Upstream: event.Upstream, RequestID: id}
			}
			return err
		})
	}
	err := group.Wait()
	close(foundRuns)
	var runs []checker.Run
	for run := range foundRuns {
		runs = append(runs, run)
	}
	if err != nil {
		return nil, err
	}
	deskRuns, err := s.deskRuns()
	return append(runs, deskRuns...), err
}

// deskRuns reads the runs of all desks from the first desk that responds, since every desk lists the runs of all.
func (s *scenario) deskRuns() ([]checker.Run, error) {
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
		if text, err = s.call("GET", s.basePort+portDesk+desk, "/v1/ledger", ""); err == nil {
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

// getControl decodes the response of the stand-in's control port to a GET request.
func (s *scenario) getControl(path string, target any) error {
	text, err := s.call("GET", s.basePort+portControl, path, "")
	if err != nil {
		return err
	}
	return Error.Wrap(json.Unmarshal(text, target))
}
