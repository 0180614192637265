package messenger

import (
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of the errors that wrap a failure of the transport.
var Error = errs.Class("messenger")

// CallError reports a failed call of a peer.
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

// HeartbeatTimeoutError reports a stream on which nothing was received for too long.
type HeartbeatTimeoutError struct {
	Elapsed time.Duration
}

func (e *HeartbeatTimeoutError) Error() string {
	return fmt.Sprintf("schedule stream: nothing received for %s", e.Elapsed)
}

// OverflowError reports a peer that takes messages too slowly: the outbox reached its limit.
type OverflowError struct {
	Items int
}

func (e *OverflowError) Error() string {
	return fmt.Sprintf("schedule stream: %d items wait to be sent", e.Items)
}

// ClosedError reports a message for a stream that has ended.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "schedule stream: closed" }

// NoHelloError reports a stream whose first message carries no hello.
type NoHelloError struct{}

func (e *NoHelloError) Error() string { return "schedule stream: the first message carries no hello" }
