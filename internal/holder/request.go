package holder

import (
	"slices"
	"time"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

// Answer writes an answer to the caller. Its methods are called by one goroutine; an error means that the caller has
// disconnected.
type Answer interface {
	// Token writes one token of a stream.
	Token(frame kernel.Frame) error
	// Finish ends a complete stream of total tokens.
	Finish(total int) error
	// Response writes the complete answer of a plain service.
	Response(answer kernel.ServiceResponse) error
}

// Request is one request of a caller. Deadline is zero if there is none.
type Request struct {
	ID           string
	Workspace    string
	Work         *cataloguer.Work
	Key          string
	Method       string
	Path         string
	Body         []byte
	ContentType  string
	Model        string
	Prompt       string
	PromptTokens int
	MaxTokens    int
	PrefixHashes []uint64
	Fingerprint  uint64
	// Parts are hashes of the parts of the prompt that other requests may share.
	Parts    []uint64
	Arrived  time.Time
	Deadline time.Time
	Answer   Answer
	// StartBy is the latest useful start of the answer; a request that can't meet it isn't worth running. Zero means no
	// limit.
	StartBy time.Time
	// MaxPause is the longest acceptable pause between two events of the answer; 0 means no limit.
	MaxPause time.Duration
	// Charge is the number of units deducted from the workspace's allowance.
	Charge int
	// Version is the version of the publication under which the request was accepted.
	Version int64
	// Exchange is set on opaque requests, which have no Answer.
	Exchange Exchange

	state     atomicState
	decisions chan decision
	attempt   uint32
	upstream  string
	claimID   string
	// mayHaveRun is set if an upstream may have run the request under an earlier grant.
	mayHaveRun bool
	// failedUpstreams lists the upstreams that failed or lost the request, each as often as it did.
	failedUpstreams []string
}

// decision is a grant or refusal by the scheduler, or a refusal by the limit on waiting requests.
type decision struct {
	grant   *protocol.Grant
	refusal *Refusal
}

// State returns the current state of the request.
func (r *Request) State() State { return r.state.load() }

// Granted passes a grant to the goroutine that serves the request.
func (r *Request) Granted(grant *protocol.Grant) {
	r.deliver(decision{grant: grant})
}

// Refused passes a refusal by the scheduler to the goroutine that serves the request. A scheduler refuses only tickets
// that it hasn't granted, so the outcome is "not run" unless the request was already dispatched.
func (r *Request) Refused(refusal *protocol.Refusal) {
	r.deliver(decision{refusal: &Refusal{
		Outcome:    OutcomeNotRun,
		Code:       Code(refusal.GetCode()),
		Message:    refusal.GetMessage(),
		RetryAfter: time.Duration(refusal.GetRetryAfterMs()) * time.Millisecond,
	}})
}

// deliver queues a decision without blocking. The channel has room for all decisions of one attempt, so a decision that
// doesn't fit is a duplicate and is dropped.
func (r *Request) deliver(d decision) {
	select {
	case r.decisions <- d:
	default:
	}
}

// ticket returns the ticket that describes the request to the scheduler.
func (r *Request) ticket(now time.Time) *protocol.Ticket {
	ticket := &protocol.Ticket{
		RequestId:    r.ID,
		Pool:         r.Work.Pool,
		Tier:         uint32(r.Work.Tier),
		Workspace:    r.Workspace,
		Work:         r.Work.Name,
		PromptTokens: uint32(r.PromptTokens),
		OutputTokens: uint32(r.MaxTokens),
		PrefixHashes: r.PrefixHashes,
		Fingerprint:  r.Fingerprint,
		Parts:        r.Parts,
		AgeMs:        now.Sub(r.Arrived).Milliseconds(),
		Attempt:      r.attempt,
		Charge:       uint32(r.Charge),
		PauseMs:      r.MaxPause.Milliseconds(),
		Avoid:        slices.Clone(r.failedUpstreams),
	}
	if !r.StartBy.IsZero() {
		ticket.StartMs = max(r.StartBy.Sub(now).Milliseconds(), 1)
	}
	if !r.Deadline.IsZero() {
		ticket.DeadlineMs = max(r.Deadline.Sub(now).Milliseconds(), 1)
	}
	return ticket
}
