package detector

import "fmt"

// NoAnswerError reports a probe that a member didn't answer.
type NoAnswerError struct {
	Member string
	Cause  error
}

func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("probe member %s: %v", e.Member, e.Cause)
}

// Unwrap returns the cause of the failure.
func (e *NoAnswerError) Unwrap() error { return e.Cause }

// UnknownMemberError reports a probe of a member that isn't in the table.
type UnknownMemberError struct {
	Member string
}

func (e *UnknownMemberError) Error() string {
	return "probe member " + e.Member + ": not in the member table"
}

// StoppedError reports a probe that reached this router after Depart.
type StoppedError struct{}

func (e *StoppedError) Error() string { return "gossip: this router has departed" }

// UnexpectedMemberError reports that another member than the probed one answered at its address.
type UnexpectedMemberError struct {
	Member   string
	Answerer string
}

func (e *UnexpectedMemberError) Error() string {
	return fmt.Sprintf("probe member %s: answered by %s", e.Member, e.Answerer)
}
