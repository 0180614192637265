package checker

import (
	"time"

	"coltsfootplank/internal/recorder"
)

// Run is one execution that an upstream started.
type Run struct {
	At        time.Time `json:"at"`
	Upstream  string    `json:"upstream"`
	RequestID string    `json:"request_id"`
}

// Reply is what a caller got. Tokens lists the token indices of a stream in the order of arrival; Total is the number
// that the upstream's final frame announced. ForeignID is set if a part named another request.
type Reply struct {
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

// MarkedLeaving is the moment at which an upstream was marked as leaving.
type MarkedLeaving struct {
	At       time.Time `json:"at"`
	Upstream string    `json:"upstream"`
}

// Stop is a planned stop of a router.
type Stop struct {
	At     time.Time `json:"at"`
	Router string    `json:"router"`
}

// Accepted is a catalogue edit that was answered as accepted.
type Accepted struct {
	At       time.Time `json:"at"`
	Revision uint64    `json:"revision"`
	Digest   string    `json:"digest"`
}

// InForce is a catalogue revision seen on a router. Digest identifies the content.
type InForce struct {
	At       time.Time `json:"at"`
	Router   string    `json:"router"`
	Revision uint64    `json:"revision"`
	Digest   string    `json:"digest"`
}

// Bounds are the time limits of the invariants, from the stated targets.
type Bounds struct {
	// LeavingGrace is how long a leaving upstream may still get new work.
	LeavingGrace time.Duration
	// CatalogueDelay is how long an accepted change may take to be in force on a live router.
	CatalogueDelay time.Duration
	// MessageDelay is the longest one-way delay between routers; events closer than that are not ordered.
	MessageDelay time.Duration
}

// DefaultBounds returns the targets of the design page.
func DefaultBounds() Bounds {
	return Bounds{LeavingGrace: 5 * time.Second, CatalogueDelay: 14 * time.Second, MessageDelay: 100 * time.Millisecond}
}

// History is everything that was seen in one experiment. Ended is when it ended.
type History struct {
	Events        []recorder.Event
	Runs          []Run
	Replies       []Reply
	MarkedLeaving []MarkedLeaving
	Stops         []Stop
	Accepted      []Accepted
	InForce       []InForce
	Ended         time.Time
}
