package scheduler

import (
	"time"

	"coltsfootplank/internal/estimator"
	"coltsfootplank/internal/protocol"
)

// length classes of tickets; each has its own queue, because engines admit them by different rules.
type lengthClass int

const (
	classShort lengthClass = iota
	classLong
	// classAlone holds suspects of a crash, which run alone on an engine.
	classAlone
	classCount
)

// request is one ticket, queued or granted. It keeps its place in the queue while granted.
type request struct {
	ticket *protocol.Ticket
	holder string
	tier   int
	bucket int
	class  lengthClass
	// since is the arrival, including the age that the holder reported; sequence breaks ties.
	since    time.Time
	sequence uint64
	// deadline is zero if there is none.
	deadline time.Time
	// startBy is when the answer has to begin; zero if there is no such time.
	startBy time.Time
	// stall is the time in seconds for which a prefill may hold up the streams that run on the engine; 0 means no bound.
	// fastestPrefill is how long the fastest engine reads the prompt.
	stall          float64
	fastestPrefill float64
	// latestStart is when even the fastest engine would miss the deadline, or startBy; zero without either.
	latestStart time.Time
	// prompt and output are estimates in tokens, seconds the expected time in a slot.
	prompt float64
	// declared is the output length that the ticket or the catalogue states.
	declared float64
	output   float64
	// safeOutput is the output that must fit before the deadline.
	safeOutput float64
	seconds    float64

	account       *account
	lane          *lane
	laneIndex     int
	accountIndex  int
	deadlineIndex int

	// engine is nil while the ticket is queued.
	engine    *engine
	grantedAt time.Time
	charged   float64
	// prepaid is what was taken from the workspace's allowance and is given back if the request doesn't run.
	prepaid float64
	// done is the work in tokens that the release reported; the estimate until then.
	done float64
	// prefillWork and decodeWork are what the request added to its engine's work, in seconds.
	prefillWork float64
	decodeWork  float64
	// prefillAhead and expectedRun are what the grant expected, in seconds.
	prefillAhead float64
	expectedRun  float64
	// alone is set if nothing else can run on the engine; crashed if the engine restarted during the run.
	alone   bool
	crashed bool
}

// lengthKey names the requests whose lengths are alike.
func (r *request) lengthKey() estimator.Key {
	return estimator.Key{Workspace: r.ticket.GetWorkspace(), Work: r.ticket.GetWork()}
}

// cost is the ticket's work in tokens, at least one.
func (r *request) cost() float64 { return max(1, r.prompt+r.output) }

// tokens is what the request may occupy in an engine's KV cache.
func (r *request) tokens() float64 { return r.prompt + r.output }

// older is the order of arrival.
func older(a, b *request) bool {
	if !a.since.Equal(b.since) {
		return a.since.Before(b.since)
	}
	return a.sequence < b.sequence
}

func newer(a, b *request) bool { return older(b, a) }
