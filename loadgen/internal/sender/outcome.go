package sender

import "time"

// Outcome is the way in which a request ended.
type Outcome string

// Outcomes. Good and Late are complete answers, NotRun is a refusal before dispatch, and all others count as lost.
const (
	// Good is a complete answer within the limits of its kind of work.
	Good Outcome = "good"
	// Late is a complete answer outside those limits.
	Late Outcome = "late"
	// NotRun is a refusal of a request that certainly did not run.
	NotRun Outcome = "not_run"
	// Unknown is an error after which the request may have run.
	Unknown Outcome = "unknown"
	// Failed is an error of the upstream, or an error answer without an outcome.
	Failed Outcome = "failed"
	// Truncated is a stream that ended early with an error event that reports the truncation.
	Truncated Outcome = "truncated"
	// ConnectionLost is an answer that ended early without an error from the router.
	ConnectionLost Outcome = "connection_lost"
	// Corrupt is an answer that is invalid or inconsistent, or that belongs to another request.
	Corrupt Outcome = "corrupt"
)

// Codes that the load generator sets itself.
const (
	codeUnreachable = "unreachable"
	codeNoAnswer    = "no_answer"
)

// Result is the result of one request. Times are measured from the planned arrival, so that delays in the load generator
// and in the routers are included.
type Result struct {
	Tier      int
	Outcome   Outcome
	Code      string
	RequestID string
	// Detail describes the error for the reader of the report.
	Detail     string
	FirstToken time.Duration
	// Gaps are the times between the tokens of a stream.
	Gaps   []time.Duration
	Total  time.Duration
	Tokens int
}

// Lost reports whether an accepted request has no complete answer.
func (o Outcome) Lost() bool { return o != Good && o != Late && o != NotRun }
