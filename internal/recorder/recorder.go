// Package recorder keeps the recent history of request and control events of one router.
//
// The history is part of the state dump; the checker verifies the product's invariants against it.
package recorder

import (
	"sync/atomic"
	"time"
)

// Kind is the kind of an event.
type Kind string

// Kinds of events, in the order of a request's life cycle.
const (
	Accepted   Kind = "accepted"
	Claimed    Kind = "claimed"
	Ticketed   Kind = "ticketed"
	Granted    Kind = "granted"
	Returned   Kind = "returned"
	Dispatched Kind = "dispatched"
	FirstToken Kind = "first_token"
	Resumed    Kind = "resumed"
	Cancelled  Kind = "cancelled"
	Answered   Kind = "answered"
	Refused    Kind = "refused"
	Released   Kind = "released"
)

// Event is one step of one request. Code and Outcome are set on refusals.
type Event struct {
	At        time.Time `json:"at"`
	Router    string    `json:"router"`
	Kind      Kind      `json:"kind"`
	RequestID string    `json:"request_id"`
	Workspace string    `json:"workspace"`
	Work      string    `json:"work"`
	Pool      string    `json:"pool,omitempty"`
	Tier      int       `json:"tier"`
	Key       string    `json:"key,omitempty"`
	Upstream  string    `json:"upstream,omitempty"`
	Outcome   string    `json:"outcome,omitempty"`
	Code      string    `json:"code,omitempty"`
	Detail    string    `json:"detail,omitempty"`
	// AgeMS is the time since the request arrived. Version is the version of the publication under which it was
	// accepted.
	AgeMS   int64 `json:"age_ms"`
	Version int64 `json:"version,omitempty"`
}

// Recorder is a fixed-size ring buffer of events. Its methods may be called concurrently.
type Recorder struct {
	router string
	slots  []atomic.Pointer[Event]
	next   atomic.Uint64
	watch  atomic.Pointer[func(Event)]
}

// New returns a recorder for the named router that keeps the last size events.
func New(router string, size int) *Recorder {
	return &Recorder{router: router, slots: make([]atomic.Pointer[Event], max(size, 1))}
}

// Watch calls notify for each later event, in the goroutine that records it. notify must not block.
func (r *Recorder) Watch(notify func(Event)) { r.watch.Store(&notify) }

// Record adds an event and stamps it with the time and the router's name.
func (r *Recorder) Record(event Event) {
	event.At = time.Now()
	event.Router = r.router
	index := r.next.Add(1) - 1
	r.slots[index%uint64(len(r.slots))].Store(&event)
	if notify := r.watch.Load(); notify != nil {
		(*notify)(event)
	}
}

// Events returns the kept events, oldest first.
func (r *Recorder) Events() []Event {
	end := r.next.Load()
	size := uint64(len(r.slots))
	start := uint64(0)
	if end > size {
		start = end - size
	}
	events := make([]Event, 0, end-start)
	for i := start; i < end; i++ {
		if event := r.slots[i%size].Load(); event != nil {
			events = append(events, *event)
		}
	}
	return events
}
