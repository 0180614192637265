package holder

import "sync/atomic"

// State is where a request stands.
type State int32

// States of a request. Dispatched is entered right before the first byte is written to an upstream.
const (
	Waiting State = iota
	Granted
	Dispatched
	Answered
	Failed
	Unknown
	NotRun
)

var stateNames = [...]string{"waiting", "granted", "dispatched", "answered", "failed", "unknown", "not_run"}

func (s State) String() string { return stateNames[s] }

// stateWord is the one word that decides whether a request may be sent or refused as not run.
type stateWord struct {
	value atomic.Int32
}

func (w *stateWord) load() State { return State(w.value.Load()) }

// move changes the state from one value to another and returns false if it was something else.
func (w *stateWord) move(from, to State) bool {
	return w.value.CompareAndSwap(int32(from), int32(to))
}

// refuse enters NotRun if nothing was sent. It returns false if the request was dispatched.
func (w *stateWord) refuse() bool {
	return w.move(Waiting, NotRun) || w.move(Granted, NotRun)
}
