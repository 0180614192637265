package messenger

import (
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors that wrap transport failures.
var Error = errs.Class("messenger")

// CallError reports a failed call to another router.
type CallError struct {
	Operation string
	Address   string
	Cause     error
}

func (e *CallError) Error() string {
	return fmt.Sprintf("%s at router %s: %v", e.Operation, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// HeartbeatTimeoutError reports a stream on which no message was received for HeartbeatTimeout.
type HeartbeatTimeoutError struct {
	Elapsed time.Duration
}

func (e *HeartbeatTimeoutError) Error() string {
	return fmt.Sprintf("schedule stream: nothing received for %s", e.Elapsed)
}

// OverflowError reports that an outbox has reached OutboxLimit because the peer receives too slowly.
type OverflowError struct {
	Items int
}

func (e *OverflowError) Error() string {
	return fmt.Sprintf("schedule stream: too many unsent items (%d)", e.Items)
}

// ClosedError reports that the outbox of a stream was closed.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "schedule stream: closed" }

// NoHelloError reports a stream whose first message has no hello.
type NoHelloError struct{}

func (e *NoHelloError) Error() string { return "schedule stream: the first message has no hello" }
