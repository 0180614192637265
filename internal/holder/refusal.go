package holder

import (
	"fmt"
	"time"
)

// Outcome states what is known about the execution of a request that got no complete answer.
type Outcome string

// Outcomes of a refusal. OutcomeNotRun is given only if no byte was written to an upstream, or if the upstream stated
// that it didn't run the request.
const (
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeFailed  Outcome = "failed"
)

// Code is the machine-readable reason of a refusal.
type Code string

// Codes of refusals.
const (
	CodeUnauthorized       Code = "unauthorized"
	CodeUnknownEntry       Code = "unknown_entry"
	CodeInvalidRequest     Code = "invalid_request"
	CodeOverloaded         Code = "overloaded"
	CodeDeadlineInfeasible Code = "deadline_infeasible"
	CodeDeadlineExpired    Code = "deadline_expired"
	CodeLimitExceeded      Code = "limit_exceeded"
	CodePoison             Code = "poison"
	CodeDraining           Code = "draining"
	CodeClaimUnavailable   Code = "claim_unavailable"
	CodeDuplicate          Code = "duplicate"
	CodeKeyTooOld          Code = "key_too_old"
	CodeRetryBudget        Code = "retry_budget_exceeded"
	CodeUpstreamFailed     Code = "upstream_failed"
	CodeUpstreamLost       Code = "upstream_lost"
	CodeStreamTruncated    Code = "stream_truncated"
	CodeNoUpstream         Code = "no_upstream"
	CodeCallerGone         Code = "caller_gone"
	CodeTooLarge           Code = "too_large"
	CodeBodyTimeout        Code = "body_timeout"
	CodeAllowanceExceeded  Code = "allowance_exceeded"
)

// Refusal is the error answer to a request that got no complete answer. RetryAfter is 0 if a retry wouldn't help.
type Refusal struct {
	Outcome    Outcome
	Code       Code
	Message    string
	RetryAfter time.Duration
}

// String formats the refusal for logs.
func (r *Refusal) String() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Message)
}
