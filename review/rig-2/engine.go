package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	slots     = 13
	// eventTime is the time between two events of a stream.
	eventTime = 20 * time.Millisecond
)

// arrival is a request that reached an engine.
type arrival struct {
	at     time.Time
	id     string
	engine string
	poison bool
	ran    bool
}

// fleet is what all engines share.
type fleet struct {
	store   *store
	record  *record
	zone    string
	service string
	// marker is the body of the request that crashes each engine that begins to run it; "" stands for none.
	marker string
	// downTime is how long a crashed engine stays away.
	downTime time.Duration

	mu       sync.Mutex
	arrivals []arrival
	crashes  []time.Time
	started  int
}

func (f *fleet) arrived(a arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, a)
}

func (f *fleet) all() []arrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]arrival(nil), f.arrivals...)
}

// engine is a stand-in for one engine. Each start is a new boot with a new id.
type engine struct {
	fleet   *fleet
	id      string
	address string
	born    int64

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	sequence int
	// down is set once the process has ended, quiet once it sends no heartbeats any more.
	down, quiet bool
}

// start starts an engine at an address, 127.0.0.1:0 for a free port.
func (f *fleet) start(address string) (*engine, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.started++
	id := fmt.Sprintf("i-%s%04d", f.service, f.started)
	f.mu.Unlock()
	e := &engine{fleet: f, id: id, address: listener.Addr().String(), born: time.Now().UnixMilli(), listener: listener,
		conns: make(map[net.Conn]bool)}
	server := &http.Server{Handler: e, ConnState: func(c net.Conn, state http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		switch state {
		case http.StateNew:
			e.conns[c] = true
		case http.StateClosed, http.StateHijacked:
			delete(e.conns, c)
		}
	}}
	go server.Serve(listener) //nolint
	e.beat("ready")
	go func() {
		for range time.Tick(heartbeat) {
			e.mu.Lock()
			ended := e.quiet
			e.mu.Unlock()
			if ended {
				return
			}
			e.beat("ready")
		}
	}()
	return e, nil
}

// beat writes the engine's entry.
func (e *engine) beat(state string) time.Time {
	e.mu.Lock()
	e.sequence++
	entry := map[string]any{
		"service": e.fleet.service, "address": e.address, "zone": e.fleet.zone, "version": "v1", "slots": slots, "state": state,
		"cold_remaining_ms": 0, "stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
		"sequence": e.sequence, "born": e.born,
	}
	e.mu.Unlock()
	return e.fleet.store.putJSON(topicServers, e.id, entry)
}

// crash ends the process. The entry lapses after three heartbeats, and another boot starts at the same address.
func (e *engine) crash() {
	e.end()
	e.fleet.record.printf("engine %s crashes", e.id)
	e.fleet.mu.Lock()
	e.fleet.crashes = append(e.fleet.crashes, time.Now())
	e.fleet.mu.Unlock()
	time.AfterFunc(3*heartbeat, func() { e.fleet.store.put(topicServers, e.id, nil) })
	time.AfterFunc(e.fleet.downTime, func() {
		if next, err := e.fleet.start(e.address); err == nil {
			e.fleet.record.printf("engine %s starts at the address of %s", next.id, e.id)
		}
	})
}

// end closes the listener and resets all connections.
func (e *engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down, e.quiet = true, true
	_ = e.listener.Close()
	for conn := range e.conns {
		reset(conn)
	}
}

// withdraw removes the engine's entry without reporting that it drains, and returns the time of the ack. The engine goes on
// serving.
func (e *engine) withdraw() time.Time {
	e.mu.Lock()
	e.quiet = true
	e.mu.Unlock()
	return e.fleet.store.put(topicServers, e.id, nil)
}

func (e *engine) load() (running int, down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running, e.down
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	running, _ := e.load()
	switch {
	case r.URL.Path == "/-/report":
		writeJSON(w, map[string]any{
			"stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 0,
			"queued_requests": max(0, running-slots), "running_requests": min(running, slots), "kv_used_tokens": 1000 * running,
			"kv_total_tokens": 756803, "kv_handles": 0, "state": "ready", "born": e.born,
		})
		return
	case r.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", e.id)
		return
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != e.id:
		w.Header().Set("X-Instance-Id", e.id)
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	poison := e.fleet.marker != "" && string(body) == e.fleet.marker
	e.fleet.arrived(arrival{at: time.Now(), id: id, engine: e.id, poison: poison, ran: true})
	e.fleet.record.printf("request %s reaches engine %s", id, e.id)
	if poison {
		time.Sleep(eventTime)
		e.crash()
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	e.running++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.answer(w, r, id)
}

// answer serves a sound request: a stream of as many events as X-Token-Counts asks for, or a short body.
func (e *engine) answer(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Server-Stamp", e.id+"."+id)
	running, _ := e.load()
	w.Header().Set("X-Instance-Load", fmt.Sprintf("%d,%d,%d", min(running, slots), max(0, running-slots), slots))
	_, output, stream := strings.Cut(r.Header.Get("X-Token-Counts"), ",")
	if !stream {
		time.Sleep(eventTime)
		w.Header().Set("Content-Length", "5")
		_, _ = io.WriteString(w, "done\n")
		return
	}
	tokens, _ := strconv.Atoi(output)
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i := range max(1, tokens/6) {
		time.Sleep(eventTime)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i+1, i+1); err != nil {
			return
		}
		_ = controller.Flush()
	}
}
