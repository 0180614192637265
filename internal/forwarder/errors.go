package forwarder

import "fmt"

// UntrustedAnswerError reports an answer that lacks the upstream's signature or has a content encoding.
type UntrustedAnswerError struct {
	Status int
}

func (e *UntrustedAnswerError) Error() string {
	return fmt.Sprintf("answer with status %d isn't signed by the upstream or has a content encoding", e.Status)
}

// FalsePromiseError reports an answer of an upstream that ran the request with a status that tells the caller that it
// has not run.
type FalsePromiseError struct {
	Status int
}

func (e *FalsePromiseError) Error() string {
	return fmt.Sprintf("upstream ran the request and answered with status %d, which promises that it has not run", e.Status)
}

// EventTooLargeError reports a stream event that exceeds the size limit.
type EventTooLargeError struct {
	// Limit is in bytes.
	Limit int
}

func (e *EventTooLargeError) Error() string {
	return fmt.Sprintf("stream event exceeds %d bytes", e.Limit)
}

// ResumeFailedError reports an answer that isn't a stream, to an attempt that should have continued one.
type ResumeFailedError struct {
	Status int
}

func (e *ResumeFailedError) Error() string {
	return fmt.Sprintf("resume the stream: answer with status %d isn't the rest of it", e.Status)
}

// MalformedEventError reports an event with a line that is neither a field nor a comment. Such bytes belong to another answer.
type MalformedEventError struct {
	ID string
}

func (e *MalformedEventError) Error() string {
	return fmt.Sprintf("event %s of the stream has a line that is neither a field nor a comment", e.ID)
}

// IncompleteEventError reports the body of a stream that ended in the regular way in the middle of an event.
type IncompleteEventError struct {
	// Bytes is the number of bytes after the last complete event.
	Bytes int
}

func (e *IncompleteEventError) Error() string {
	return fmt.Sprintf("stream ended %d bytes into an event", e.Bytes)
}

// EmptyStreamError reports a stream without an event and without a stated length, whose connection was closed. A crash of
// the upstream looks the same.
type EmptyStreamError struct{}

func (e *EmptyStreamError) Error() string {
	return "connection closed before the first event of the stream"
}

// EarlyEndError reports a stream that ended in the regular way before the last event that its caller has.
type EarlyEndError struct {
	Last string
}

func (e *EarlyEndError) Error() string {
	return fmt.Sprintf("stream ended before event %s, which its caller has", e.Last)
}

// CallerWriteError reports that an answer could not be written to its caller.
type CallerWriteError struct {
	Cause error
}

func (e *CallerWriteError) Error() string { return "write to the caller: " + e.Cause.Error() }

func (e *CallerWriteError) Unwrap() error { return e.Cause }

// EventOrderError reports an event whose id isn't greater than that of an event before it in the same attempt.
type EventOrderError struct {
	ID, Last string
}

func (e *EventOrderError) Error() string {
	return fmt.Sprintf("event %s follows event %s of the stream", e.ID, e.Last)
}

// StreamRestartedError reports an attempt that began with the first event of the stream instead of after the last one.
type StreamRestartedError struct {
	ID, Last string
}

func (e *StreamRestartedError) Error() string {
	return fmt.Sprintf("resume the stream after event %s: it starts over with event %s", e.Last, e.ID)
}

// MissingEventsError reports an event that isn't the next one of a stream whose ids are consecutive.
type MissingEventsError struct {
	ID, Last string
}

func (e *MissingEventsError) Error() string {
	return fmt.Sprintf("events between %s and %s of the stream are missing", e.Last, e.ID)
}

// UnnumberedEventError reports bytes that have no place in a stream: an event whose id isn't a number after events with
// numbers, or lines with neither an id nor data.
type UnnumberedEventError struct {
	ID, Last string
}

func (e *UnnumberedEventError) Error() string {
	return fmt.Sprintf("event after event %q of the stream has the id %q, which isn't a number", e.Last, e.ID)
}
