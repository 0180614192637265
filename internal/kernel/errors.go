package kernel

import (
	"errors"
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of the errors that wrap a failure of a platform protocol.
var Error = errs.Class("platform")

// DuplicatePluginError reports two plug-ins with one name.
type DuplicatePluginError struct {
	Kind string
	Name string
}

func (e *DuplicatePluginError) Error() string {
	return fmt.Sprintf("register %s %q: the name is taken", e.Kind, e.Name)
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

// NotSent says whether an error proves that nothing was sent. An error that wraps a NotSentError as the cause of a
// later failure, such as a resume that could not connect, proves nothing of the kind.
func NotSent(err error) bool {
	for ; err != nil; err = errors.Unwrap(err) {
		switch err.(type) { //nolint:errorlint // The outermost error of the chain decides, not any in it.
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

// RejectedError reports an HTTP error answer of an upstream.
type RejectedError struct {
	Address string
	Status  int
	Body    string
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("upstream %s answered status %d: %s", e.Address, e.Status, e.Body)
}

// StaleFencingError reports an order that the engine refused because of an old fencing number.
type StaleFencingError struct {
	Address string
	Fencing int64
}

func (e *StaleFencingError) Error() string {
	return fmt.Sprintf("engine %s refused an order: fencing number %d is stale", e.Address, e.Fencing)
}

// StreamUnknownError reports that the engine doesn't know the stream that was to be resumed.
type StreamUnknownError struct {
	Address  string
	StreamID string
}

func (e *StreamUnknownError) Error() string {
	return fmt.Sprintf("resume stream %s: engine %s does not know it", e.StreamID, e.Address)
}

// LogUnavailableError reports that the log refused a call or could not be reached, and that an append
// certainly took no effect.
type LogUnavailableError struct {
	Operation string
	Cause     error
}

func (e *LogUnavailableError) Error() string {
	return fmt.Sprintf("log %s: unavailable: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *LogUnavailableError) Unwrap() error { return e.Cause }

// AppendOutcomeUnknownError reports an append whose answer was lost: it may or may not have taken effect.
type AppendOutcomeUnknownError struct {
	Stream string
	Cause  error
}

func (e *AppendOutcomeUnknownError) Error() string {
	return fmt.Sprintf("append to log stream %s: outcome unknown: %v", e.Stream, e.Cause)
}

// Unwrap returns the cause.
func (e *AppendOutcomeUnknownError) Unwrap() error { return e.Cause }

// TrimmedError reports a read from an offset that retention has dropped. First is the first offset kept.
type TrimmedError struct {
	Stream string
	First  int64
}

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("read log stream %s: records before offset %d were dropped", e.Stream, e.First)
}

// RateLimitedError reports a call over the rate of the log or the weight store.
type RateLimitedError struct {
	Operation string
}

func (e *RateLimitedError) Error() string {
	return e.Operation + ": rate limit exceeded"
}

// MalformedHeaderError reports a header of a caller that can't be read.
type MalformedHeaderError struct {
	Header string
	Value  string
}

func (e *MalformedHeaderError) Error() string {
	return fmt.Sprintf("header %s: malformed value %q", e.Header, e.Value)
}

// MalformedRecordError reports a directory record that can't be used.
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
