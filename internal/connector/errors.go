package connector

import (
	"fmt"
	"time"
)

// MismatchedAnswerError reports that the answers on a connection belong to other requests than the one sent.
type MismatchedAnswerError struct {
	// RequestID is the ID of the request that got no answer.
	RequestID string
}

func (e *MismatchedAnswerError) Error() string {
	return fmt.Sprintf("the answers on the connection don't belong to request %s", e.RequestID)
}

// HeadTooLargeError reports that the head of an answer, with the interim answers before it, exceeds the size limit.
type HeadTooLargeError struct {
	// Limit is in bytes.
	Limit int64
}

func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("read head of answer: larger than %d bytes", e.Limit)
}

// InvalidStatusError reports an answer whose status is outside 100 to 599, or 101 without a request for another protocol.
type InvalidStatusError struct {
	// Status is the number and the reason phrase.
	Status string
}

func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("read head of answer: invalid status %.64q", e.Status)
}

// InvalidFieldNameError reports an answer with a space in the name of a header field.
type InvalidFieldNameError struct {
	Name string
}

func (e *InvalidFieldNameError) Error() string {
	return fmt.Sprintf("read head of answer: invalid field name %.64q", e.Name)
}

// ContinuedLineError reports an answer with a line in its head that begins with a blank.
type ContinuedLineError struct{}

func (e *ContinuedLineError) Error() string { return "read head of answer: a line begins with a blank" }

// ExtraAnswerTooLargeError reports that the body of an answer to another request is too long to be skipped.
type ExtraAnswerTooLargeError struct {
	// Limit is in bytes.
	Limit int64
}

func (e *ExtraAnswerTooLargeError) Error() string {
	return fmt.Sprintf("skip answer to another request: its body is larger than %d bytes", e.Limit)
}

// BodyTooLargeError reports an answer whose body exceeds the size limit.
type BodyTooLargeError struct {
	// Limit is in bytes.
	Limit int64
}

func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("read body of answer: larger than %d bytes", e.Limit)
}

// BodyBudgetError reports a body that wasn't read to its end because the buffers of all answers take too much memory.
type BodyBudgetError struct {
	// Limit is in bytes.
	Limit int64
}

func (e *BodyBudgetError) Error() string {
	return fmt.Sprintf("read body of answer: the buffers of all answers exceed %d bytes", e.Limit)
}

// UnacknowledgedError reports a connection that was reset because the upstream acknowledged no more bytes of a request.
type UnacknowledgedError struct {
	Waited time.Duration
}

func (e *UnacknowledgedError) Error() string {
	return fmt.Sprintf("send request: the upstream acknowledged no bytes for %s", e.Waited)
}
