package holder

import (
	"fmt"
	"time"
)

// Outcome says what is certain about a request that got no answer.
type Outcome string

// Outcomes of a refusal. OutcomeNotRun is said only if no byte was written to an upstream.
const (
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeFailed  Outcome = "failed"
)

// Code is the stable name of a refusal's reason.
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
	CodeAllowanceExceeded  Code = "allowance_exceeded"
)

// Refusal is the typed answer to a request that got no whole answer. RetryAfter is 0 if a retry doesn't help.
type Refusal struct {
	Outcome    Outcome
	Code       Code
	Message    string
	RetryAfter time.Duration
}

// String returns the refusal for logs.
func (r *Refusal) String() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Message)
}
