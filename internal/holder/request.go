package holder

import (
	"time"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

// Answer receives the parts of an answer. Its methods are called by one goroutine; an error means that the
// caller is gone.
type Answer interface {
	// Token passes on one token of a stream.
	Token(frame kernel.Frame) error
	// Finish ends a whole stream of total tokens.
	Finish(total int) error
	// Response passes on the whole answer of a plain service.
	Response(response kernel.ServiceResponse) error
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
	Arrived      time.Time
	Deadline     time.Time
	Answer       Answer
	// StartBy is when the answer has to begin to be worth a run; zero if there is no such time.
	StartBy time.Time
	// Pause is the longest pause between two events of the answer that counts as on time; 0 if there is no such limit.
	Pause time.Duration
	// Charge counts against the workspace's allowance.
	Charge int
	// Version is that of the configuration by which the request was accepted.
	Version int64
	// Exchange is set on opaque requests, which have no Answer.
	Exchange Exchange

	state     stateWord
	decisions chan decision
	attempt   uint32
	upstream  string
	claimID   string
	// ran says that an upstream may have run the request under an earlier grant.
	ran bool
}

// decision is what the scheduler, or the limit on waiting requests, decided about a request.
type decision struct {
	grant   *protocol.Grant
	refusal *Refusal
}

// State returns where the request stands.
func (r *Request) State() State { return r.state.load() }

// Granted passes a grant to the goroutine that serves the request.
func (r *Request) Granted(grant *protocol.Grant) {
	r.deliver(decision{grant: grant})
}

// Refused passes a refusal of the scheduler to the goroutine that serves the request. A scheduler refuses only
// tickets that it hasn't granted, so the refusal is "not run" unless the request was dispatched already.
func (r *Request) Refused(refusal *protocol.Refusal) {
	r.deliver(decision{refusal: &Refusal{
		Outcome:    OutcomeNotRun,
		Code:       Code(refusal.GetCode()),
		Message:    refusal.GetMessage(),
		RetryAfter: time.Duration(refusal.GetRetryAfterMs()) * time.Millisecond,
	}})
}

// deliver never blocks: the channel holds the decisions of one attempt, and a surplus decision is a repeat.
func (r *Request) deliver(d decision) {
	select {
	case r.decisions <- d:
	default:
	}
}

// ticket describes the request to the scheduler.
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
		AgeMs:        now.Sub(r.Arrived).Milliseconds(),
		Attempt:      r.attempt,
		Charge:       uint32(r.Charge),
		PauseMs:      r.Pause.Milliseconds(),
	}
	if !r.StartBy.IsZero() {
		ticket.StartMs = max(r.StartBy.Sub(now).Milliseconds(), 1)
	}
	if !r.Deadline.IsZero() {
		ticket.DeadlineMs = max(r.Deadline.Sub(now).Milliseconds(), 1)
	}
	return ticket
}
