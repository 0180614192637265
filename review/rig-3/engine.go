package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in for a server of a plain service or, with few answers of its own, of the model service.
type engine struct {
	id, service, zone string
	address           string
	born              int64
	slots, queue      int
	work              time.Duration
	heartbeat         time.Duration
	store             *store
	record            *record

	mu       sync.Mutex
	state    string
	leaving  bool
	gone     bool
	sequence int
	running  int
	waiting  int
	conns    map[net.Conn]bool
	listener net.Listener
	free     chan struct{}
}

// newEngine starts a server that registers itself at the store.
func newEngine(id, service, zone string, slots int, work, heartbeat time.Duration, s *store, rec *record) *engine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	e := &engine{
		id: id, service: service, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(),
		slots: slots, queue: 4 * slots, work: work, heartbeat: heartbeat, store: s, record: rec, state: "ready",
		conns: make(map[net.Conn]bool), listener: listener, free: make(chan struct{}, slots),
	}
	server := &http.Server{
		Handler: e, IdleTimeout: 30 * time.Second,
		ConnState: func(c net.Conn, state http.ConnState) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if state == http.StateClosed || state == http.StateHijacked {
				delete(e.conns, c)
				return
			}
			e.conns[c] = true
		},
	}
	go func() { _ = server.Serve(listener) }()
	go e.beat()
	return e
}

// beat writes the server's entry every heartbeat, and at once when the store is back.
func (e *engine) beat() {
	for {
		wait := e.heartbeat
		if !e.register() {
			wait = 100 * time.Millisecond
		}
		time.Sleep(wait)
	}
}

// register writes the entry. It returns false if the store didn't take it.
func (e *engine) register() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone || e.state == "" {
		return true
	}
	_, ok := e.store.put(topicServers, e.id, e.entry())
	return ok
}

// entry returns the next entry; the caller holds the lock.
func (e *engine) entry() []byte {
	e.sequence++
	entry, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "1", "slots": e.slots, "state": e.state,
		"cold_remaining_ms": 0, "sequence": e.sequence, "born": e.born,
	})
	check(err)
	return entry
}

// beatLate sends a heartbeat that gets no answer and that the store executes later.
func (e *engine) beatLate(after time.Duration) {
	e.mu.Lock()
	entry, sequence := e.entry(), e.sequence
	e.mu.Unlock()
	e.record.note("server    %s sends heartbeat %d and gets no answer", e.id, sequence)
	go func() {
		time.Sleep(after)
		offset, _ := e.store.put(topicServers, e.id, entry)
		e.record.note("store     executes heartbeat %d of %s at offset %d", sequence, e.id, offset)
	}()
}

// leave makes the server leave without reporting that it drains: its entry is removed, and it says so in its answers. It
// returns when the store has acknowledged that.
func (e *engine) leave() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state, e.leaving = "", true
	if _, ok := e.store.put(topicServers, e.id, nil); !ok {
		fatal("the store took no removal")
	}
	return time.Now()
}

// exit ends the server: its connections are reset.
func (e *engine) exit() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gone = true
	_ = e.listener.Close()
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/report":
		e.report(w)
		return
	case "/health":
		w.Header().Set("X-Instance-Id", e.id)
		return
	}
	arrived := time.Now()
	id := r.Header.Get("X-Attempt-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Attempt-Id", id)
	e.mu.Lock()
	if e.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	e.mu.Unlock()
	if r.Header.Get("X-Expect-Instance") != e.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !e.enter(w) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.record.ran(run{id: id, engine: e.id, service: e.service, tenant: r.Header.Get("X-Tenant"), at: arrived})
	time.Sleep(e.work)
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	<-e.free
	w.Header().Set("X-Server-Stamp", "stamp."+e.id+"."+id)
	w.Header().Set("X-Instance-Load", e.load())
	body := strings.Repeat("x", 800)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body)
}

// enter waits for a slot. It returns false if the queue is full.
func (e *engine) enter(w http.ResponseWriter) bool {
	e.mu.Lock()
	if e.running+e.waiting >= e.slots+e.queue {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	e.mu.Unlock()
	e.free <- struct{}{}
	e.mu.Lock()
	e.waiting--
	e.running++
	e.mu.Unlock()
	return true
}

func (e *engine) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", e.running, e.waiting, e.slots)
}

// report answers the call for the state of a model server.
func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	answer(w, map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false,
		"sequence": 0, "queued_requests": e.waiting, "running_requests": e.running, "kv_used_tokens": 0,
		"kv_total_tokens": 514793, "kv_handles": 0, "born": e.born,
	})
}
