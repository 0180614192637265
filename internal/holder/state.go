package holder

import "sync/atomic"

// State is the processing state of a request.
type State int32

// States of a request. A request enters Dispatched right before its first byte is written to an upstream.
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

// atomicState is the state of a request. Its atomic transitions decide whether the request is sent or refused as not
// run.
type atomicState struct {
	value atomic.Int32
}

func (s *atomicState) load() State { return State(s.value.Load()) }

// transition changes the state if it equals from, and reports whether it did.
func (s *atomicState) transition(from, to State) bool {
	return s.value.CompareAndSwap(int32(from), int32(to))
}

// markNotRun enters NotRun if the request wasn't dispatched, and reports whether it did.
func (s *atomicState) markNotRun() bool {
	return s.transition(Waiting, NotRun) || s.transition(Granted, NotRun)
}
