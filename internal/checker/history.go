package checker

import (
	"time"

	"coltsfootplank/internal/recorder"
)

// Run is one execution of a request that an upstream started.
type Run struct {
	At        time.Time `json:"at"`
	Upstream  string    `json:"upstream"`
	RequestID string    `json:"request_id"`
}

// Answer is what a caller received. Tokens lists the token indices of a stream in the order of arrival, and Total is
// the number of tokens according to the upstream's final frame. ForeignID is the id of another request if a part of
// the answer belongs to that request.
type Answer struct {
	At         time.Time `json:"at"`
	RequestID  string    `json:"request_id"`
	Workspace  string    `json:"workspace"`
	Work       string    `json:"work"`
	Key        string    `json:"key,omitempty"`
	Idempotent bool      `json:"idempotent"`
	Stream     bool      `json:"stream"`
	Whole      bool      `json:"whole"`
	Outcome    string    `json:"outcome,omitempty"`
	Code       string    `json:"code,omitempty"`
	Tokens     []int     `json:"tokens,omitempty"`
	Total      int       `json:"total,omitempty"`
	ForeignID  string    `json:"foreign_id,omitempty"`
	// Cut is set if the connection ended without an answer or a refusal.
	Cut    bool   `json:"cut,omitempty"`
	Router string `json:"router"`
}

// MarkedLeaving records when an upstream was marked as leaving.
type MarkedLeaving struct {
	At       time.Time `json:"at"`
	Upstream string    `json:"upstream"`
}

// Stop is a planned stop of a router.
type Stop struct {
	At     time.Time `json:"at"`
	Router string    `json:"router"`
}

// Accepted is a catalogue edit that a router acknowledged as accepted.
type Accepted struct {
	At       time.Time `json:"at"`
	Revision uint64    `json:"revision"`
	Digest   string    `json:"digest"`
}

// InForce is a catalogue revision that a router was observed to use. Digest identifies the content.
type InForce struct {
	At       time.Time `json:"at"`
	Router   string    `json:"router"`
	Revision uint64    `json:"revision"`
	Digest   string    `json:"digest"`
}

// Bounds are the time limits that the invariants allow.
type Bounds struct {
	// LeavingGrace is how long a leaving upstream may still get new work.
	LeavingGrace time.Duration
	// CatalogueDelay is how long an accepted change may take to be in force on every live router.
	CatalogueDelay time.Duration
	// MessageDelay is the longest one-way delay between routers. Events closer together than that have no known order.
	MessageDelay time.Duration
}

// DefaultBounds returns the time limits that the design page sets as targets.
func DefaultBounds() Bounds {
	return Bounds{LeavingGrace: 5 * time.Second, CatalogueDelay: 14 * time.Second, MessageDelay: 100 * time.Millisecond}
}

// History is everything that was recorded in one test run. Ended is when the run ended.
type History struct {
	Events        []recorder.Event
	Runs          []Run
	Answers       []Answer
	MarkedLeaving []MarkedLeaving
	Stops         []Stop
	Accepted      []Accepted
	InForce       []InForce
	Ended         time.Time
}
