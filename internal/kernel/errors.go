package kernel

import (
	"errors"
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of the errors that wrap a failure of a platform protocol.
var Error = errs.Class("platform")

// DuplicatePluginError reports a plug-in name that is registered twice.
type DuplicatePluginError struct {
	Kind string
	Name string
}

func (e *DuplicatePluginError) Error() string {
	return fmt.Sprintf("register %s %q: the name is already registered", e.Kind, e.Name)
}

// UnknownPluginError reports a plug-in name that isn't registered.
type UnknownPluginError struct {
	Kind  string
	Name  string
	Known []string
}

func (e *UnknownPluginError) Error() string {
	return fmt.Sprintf("find %s %q: not registered (known: %s)", e.Kind, e.Name, strings.Join(e.Known, ", "))
}

// NotSentError reports that no byte of a request was written to the upstream, so the request may be sent
// to another upstream.
type NotSentError struct {
	Address string
	Cause   error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("connect to upstream %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// MalformedAnswerError reports an answer that isn't valid JSON or has fields of other types than expected.
type MalformedAnswerError struct {
	Cause error
}

func (e *MalformedAnswerError) Error() string { return fmt.Sprintf("parse answer: %v", e.Cause) }

// Unwrap returns the cause.
func (e *MalformedAnswerError) Unwrap() error { return e.Cause }

// Answered reports whether err shows that the upstream is running: it answered, but with a status or a content that can't
// be used.
func Answered(err error) bool {
	var rejected *RejectedError
	var malformed *MalformedAnswerError
	return errors.As(err, &rejected) || errors.As(err, &malformed)
}

// NotSent reports whether err proves that no byte of the request was sent. A NotSentError that is only the cause of a
// later failure, such as a stream resume that could not connect, doesn't prove it.
func NotSent(err error) bool {
	for ; err != nil; err = errors.Unwrap(err) {
		switch err.(type) { //nolint:errorlint // The outermost of these types decides, not any match in the chain.
		case *NotSentError:
			return true
		case *ConnectionLostError, *RejectedError:
			return false
		}
	}
	return false
}

// ConnectionLostError reports that the connection to the upstream failed after the first byte was written, so the
// request may or may not have run.
type ConnectionLostError struct {
	Address string
	Cause   error
}

func (e *ConnectionLostError) Error() string {
	return fmt.Sprintf("upstream %s: connection lost after the request was sent: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectionLostError) Unwrap() error { return e.Cause }

// RejectedError reports that an upstream or a service of the platform answered a call with an HTTP error status. The
// status may stand for a refusal of the call or for a failure while it was handled.
type RejectedError struct {
	Address string
	Status  int
	Body    string
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("upstream %s answered status %d: %s", e.Address, e.Status, e.Body)
}

// StaleFencingError reports an order that the engine refused because its fencing token is stale.
type StaleFencingError struct {
	Address string
	Fencing int64
}

func (e *StaleFencingError) Error() string {
	return fmt.Sprintf("engine %s refused an order: fencing token %d is stale", e.Address, e.Fencing)
}

// StreamUnknownError reports that the engine doesn't know the stream to resume.
type StreamUnknownError struct {
	Address  string
	StreamID string
}

func (e *StreamUnknownError) Error() string {
	return fmt.Sprintf("resume stream %s: engine %s does not know it", e.StreamID, e.Address)
}

// LogUnavailableError reports that the log refused a call or could not be reached. If the call was an append, it
// certainly had no effect.
type LogUnavailableError struct {
	Operation string
	Cause     error
}

func (e *LogUnavailableError) Error() string {
	return fmt.Sprintf("log %s: unavailable: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *LogUnavailableError) Unwrap() error { return e.Cause }

// AppendOutcomeUnknownError reports an append whose answer was lost, so the record may or may not have been stored.
type AppendOutcomeUnknownError struct {
	Stream string
	Cause  error
}

func (e *AppendOutcomeUnknownError) Error() string {
	return fmt.Sprintf("append to log stream %s: outcome unknown: %v", e.Stream, e.Cause)
}

// Unwrap returns the cause.
func (e *AppendOutcomeUnknownError) Unwrap() error { return e.Cause }

// TrimmedError reports a read from an offset whose record has been removed by retention. First is the oldest offset
// that is still stored.
type TrimmedError struct {
	Stream string
	First  int64
}

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("read log stream %s: records before offset %d have been removed by retention", e.Stream, e.First)
}

// RestoredError reports a read from a position in another era than the answer's: the log has been restored from a copy, and what
// it has at the offset may be another record. Era is that of the answer.
type RestoredError struct {
	Stream string
	From   Position
	Era    int64
}

func (e *RestoredError) Error() string {
	return fmt.Sprintf("read log stream %s from %s: the log has been restored from a copy and is in era %d", e.Stream, e.From, e.Era)
}

// RateLimitedError reports a call that exceeded the rate limit of the log or the weight store.
type RateLimitedError struct {
	Operation string
}

func (e *RateLimitedError) Error() string {
	return e.Operation + ": rate limit exceeded"
}

// ConflictError reports a conditional append to a topic that no longer ends where its writer expected.
type ConflictError struct {
	Operation string
	// Expected is the position at which the writer expected the topic to end.
	Expected Position
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: the topic doesn't end at offset %s any more", e.Operation, e.Expected)
}

// MalformedHeaderError reports a caller's header that can't be parsed.
type MalformedHeaderError struct {
	Header string
	Value  string
}

func (e *MalformedHeaderError) Error() string {
	return fmt.Sprintf("header %s: malformed value %q", e.Header, e.Value)
}

// MalformedRecordError reports a directory record that can't be decoded or holds invalid values.
type MalformedRecordError struct {
	Key   string
	Cause error
}

func (e *MalformedRecordError) Error() string {
	return fmt.Sprintf("directory record %q: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *MalformedRecordError) Unwrap() error { return e.Cause }

// MissingFieldError reports a required field that is absent or has no usable value.
type MissingFieldError struct {
	Field string
}

func (e *MissingFieldError) Error() string {
	return fmt.Sprintf("field %q is missing or unusable", e.Field)
}
