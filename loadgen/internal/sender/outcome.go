package sender

import "time"

// Outcome says how one request ended.
type Outcome string

// Outcomes. Good and Late are whole answers; NotRun is a refusal before dispatch; the others are losses.
const (
	// Good is a whole answer within the limits of its kind of work.
	Good Outcome = "good"
	// Late is a whole answer outside of the limits.
	Late Outcome = "late"
	// NotRun is a refusal that certainly did not run.
	NotRun Outcome = "not_run"
	// Unknown is an error after which the request may have run.
	Unknown Outcome = "unknown"
	// Failed is an error of the upstream.
	Failed Outcome = "failed"
	// Truncated is a stream that ended early, with an error that says so.
	Truncated Outcome = "truncated"
	// ConnectionLost is an answer that broke off without an error.
	ConnectionLost Outcome = "connection_lost"
	// Corrupt is an answer that claims to be whole, but isn't, or isn't the own one.
	Corrupt Outcome = "corrupt"
)

// Codes made by the generator itself.
const (
	codeUnreachable = "unreachable"
	codeNoAnswer    = "no_answer"
)

// Result is the end of one request. Times count from the planned arrival, so that a slow generator or router
// can't hide a delay.
type Result struct {
	Tier      int
	Outcome   Outcome
	Code      string
	RequestID string
	// Detail says what was wrong, for people.
	Detail     string
	FirstToken time.Duration
	// Gaps are the times between the tokens of a stream.
	Gaps   []time.Duration
	Total  time.Duration
	Tokens int
}

// Lost reports whether an accepted request has no whole answer.
func (o Outcome) Lost() bool { return o != Good && o != Late && o != NotRun }
