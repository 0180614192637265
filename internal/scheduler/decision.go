package scheduler

import (
	"time"

	"coltsfootplank/internal/protocol"
)

// Decision is a grant or a refusal for a holder; exactly one of them is set.
type Decision struct {
	Holder  string
	Grant   *protocol.Grant
	Refusal *protocol.Refusal
}

// Refusal codes of the scheduler.
const (
	CodeOverloaded          = "overloaded"
	CodeDeadlineInfeasible  = "deadline_infeasible"
	CodeDeadlineExpired     = "deadline_expired"
	CodeLimitExceeded       = "limit_exceeded"
	CodePoison              = "poison"
	CodeNoUpstream          = "no_upstream"
	CodeRetryBudgetExceeded = "retry_budget_exceeded"
	CodeAllowanceExceeded   = "allowance_exceeded"
)

// refuse adds a refusal to the decisions of the next step and removes the request. A retryAfter of 0 means that a retry
// can't succeed.
func (s *Scheduler) refuse(r *request, code, message string, retryAfter time.Duration) {
	s.counters.Refusals[code]++
	s.decisions = append(s.decisions, Decision{Holder: r.holder, Refusal: &protocol.Refusal{
		RequestId:    r.ticket.GetRequestId(),
		Code:         code,
		Message:      message,
		RetryAfterMs: retryAfter.Milliseconds(),
		Attempt:      r.ticket.GetAttempt(),
	}})
	s.retries.RecordFailure(s.engines.now, r.ticket.GetFingerprint())
	s.removeRequest(r)
}

// grantDecision adds the grant message of a request that was assigned to an engine.
func (s *Scheduler) grantDecision(r *request) {
	s.counters.Grants++
	s.decisions = append(s.decisions, Decision{Holder: r.holder, Grant: &protocol.Grant{
		RequestId: r.ticket.GetRequestId(),
		Engine:    r.engine.info.Name,
		Attempt:   r.ticket.GetAttempt(),
	}})
}

// jitter returns a random duration between half of wait and one and a half times wait, after limiting wait to the
// bounds of the settings.
func (s *Scheduler) jitter(wait time.Duration) time.Duration {
	wait = min(max(wait, s.settings.RetryAfterMin), s.settings.RetryAfterMax)
	return time.Duration(float64(wait) * (0.5 + s.random.Float64()))
}

// drainSeconds returns the expected time in seconds until the bucket and those before it have drained: their queued
// slot time divided by the slots of the pool.
func (s *Scheduler) drainSeconds(bucket int) float64 {
	var seconds float64
	for _, b := range s.buckets[:bucket+1] {
		seconds += b.slotSeconds
	}
	return seconds / float64(max(1, s.engines.slots))
}
