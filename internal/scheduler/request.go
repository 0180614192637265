package scheduler

import (
	"time"

	"coltsfootplank/internal/estimator"
	"coltsfootplank/internal/protocol"
)

// lengthClass is the class of a ticket by its expected output length. Each class has its own queue, because engines
// admit them by different rules.
type lengthClass int

const (
	classShort lengthClass = iota
	classLong
	// classAlone holds suspects of a crash, which run alone on an engine, whatever their length.
	classAlone
	classCount
)

// request is one ticket, queued or granted. It keeps its arrival while granted, so that a grant that is returned unused
// goes back to its old place in the queue.
type request struct {
	ticket *protocol.Ticket
	holder string
	tier   int
	bucket int
	class  lengthClass
	// arrivedAt is the time of arrival, less the age that the holder reported; sequence breaks ties.
	arrivedAt time.Time
	sequence  uint64
	// returning is set if the caller was refused and returned when it was told to.
	returning bool
	// deadline is zero if there is none.
	deadline time.Time
	// startBy is the time by which the answer has to begin; zero if there is no such time.
	startBy time.Time
	// maxStall is the time in seconds for which the prefill may stall the streams that run on the engine; 0 means no
	// bound. fastestPrefill is the time that the fastest engine takes for the whole prompt if none of it is cached, in
	// seconds.
	maxStall       float64
	fastestPrefill float64
	// latestStart is the time after which even the fastest engine would miss deadline or startBy; zero if neither is
	// set.
	latestStart time.Time
	// prompt and output are expected lengths in tokens.
	prompt float64
	// declaredOutput is the output length in tokens that the ticket or the catalogue states.
	declaredOutput float64
	output         float64
	// requiredOutput is the output in tokens that must fit before the deadline. slotSeconds is the expected time in a
	// slot.
	requiredOutput float64
	slotSeconds    float64

	account        *account
	workQueue      *workQueue
	workQueueIndex int
	accountIndex   int
	deadlineIndex  int

	// engine is nil while the ticket is queued.
	engine    *engine
	grantedAt time.Time
	// hasAlternative is set if an engine that hasn't failed the request is usable; avoidUntil is until when it waits for one.
	hasAlternative bool
	avoidUntil     time.Time
	charged        float64
	// allowanceCharge is what was taken from the workspace's allowance. It is refunded if the request ends without a grant.
	allowanceCharge float64
	// workDone is the work in tokens that the release reported, and the estimate until then.
	workDone float64
	// prefillWork and decodeWork are what the request added to its engine's work ahead, in seconds.
	prefillWork float64
	decodeWork  float64
	// prefillAhead and expectedRun are the estimates at the time of the grant, in seconds: the wait for earlier
	// prefills, and the run including that wait.
	prefillAhead float64
	expectedRun  float64
	// workTotal is the total of the engine's workFactor at workSince, the time of the grant.
	workTotal float64
	workSince time.Time
	// promptWork is the uncached prompt in tokens, and inFlight the number of requests on the engine after the grant.
	promptWork float64
	inFlight   int
	// alone is set if the request has its engine to itself; crashed if the engine restarted during the run.
	alone   bool
	crashed bool
	// adopted is set if another scheduler made the grant.
	adopted bool
}

// lengthKey returns the key of the requests whose output lengths are estimated together.
func (r *request) lengthKey() estimator.Key {
	return estimator.Key{Workspace: r.ticket.GetWorkspace(), Work: r.ticket.GetWork()}
}

// cost returns the request's expected work in tokens, at least one.
func (r *request) cost() float64 { return max(1, r.prompt+r.output) }

// tokens returns the number of KV tokens that the request is expected to fill.
func (r *request) tokens() float64 { return r.prompt + r.output }

// older reports whether a arrived before b.
func older(a, b *request) bool {
	if !a.arrivedAt.Equal(b.arrivedAt) {
		return a.arrivedAt.Before(b.arrivedAt)
	}
	return a.sequence < b.sequence
}

func newer(a, b *request) bool { return older(b, a) }

// servedBefore reports whether a is served before b, a ticket of the same workspace and tier. A caller that was refused, and
// returned when it was told to, goes first; its request would be lost with a second refusal.
func servedBefore(a, b *request) bool {
	if a.returning != b.returning {
		return a.returning
	}
	return older(a, b)
}

func servedAfter(a, b *request) bool { return servedBefore(b, a) }
