package receiver

import "fmt"

// WriteError reports that an answer couldn't be written to the caller.
type WriteError struct {
	Cause error
}

func (e *WriteError) Error() string {
	return fmt.Sprintf("write answer to caller: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Cause }

// AnswerStartedError reports a whole answer for a request whose answer has already begun.
type AnswerStartedError struct {
	RequestID string
}

func (e *AnswerStartedError) Error() string {
	return fmt.Sprintf("write answer of request %s: the answer has already begun", e.RequestID)
}

// StreamNotSupportedError reports tokens for a plain service, which has no token stream.
type StreamNotSupportedError struct{}

func (e *StreamNotSupportedError) Error() string {
	return "write answer: a plain service has no token stream"
}
