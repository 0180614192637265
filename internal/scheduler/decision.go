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

// refuse adds a refusal to the decisions of the next step. retryAfter zero means that a retry can't help.
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
	s.forgetRequest(r)
}

// grantDecision adds the grant message for a request that runs on its engine.
func (s *Scheduler) grantDecision(r *request) {
	s.counters.Grants++
	s.decisions = append(s.decisions, Decision{Holder: r.holder, Grant: &protocol.Grant{
		RequestId: r.ticket.GetRequestId(),
		Engine:    r.engine.info.Name,
		Attempt:   r.ticket.GetAttempt(),
	}})
}

// jitter spreads a wait over half to one and a half of it, within the bounds of the settings.
func (s *Scheduler) jitter(wait time.Duration) time.Duration {
	wait = min(max(wait, s.settings.RetryAfterMin), s.settings.RetryAfterMax)
	return time.Duration(float64(wait) * (0.5 + s.random.Float64()))
}

// drainSeconds is the slot time queued in a bucket and those before it, divided by the slots.
func (s *Scheduler) drainSeconds(bucket int) float64 {
	var seconds float64
	for _, b := range s.buckets[:bucket+1] {
		seconds += b.seconds
	}
	return seconds / float64(max(1, s.engines.slots))
}
