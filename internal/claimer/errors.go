package claimer

import (
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of the errors that wrap a failure of a library call.
var Error = errs.Class("claim")

// UnavailableError reports a claim that can't be decided. The request must not be dispatched: the claim isn't
// the winner, or it is voided as soon as it turns out to be.
type UnavailableError struct {
	Reason string
	Cause  error
}

func (e *UnavailableError) Error() string {
	if e.Cause == nil {
		return "claim unavailable: " + e.Reason
	}
	return fmt.Sprintf("claim unavailable: %s: %v", e.Reason, e.Cause)
}

// Unwrap returns the cause; it may be nil.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// KeyTooOldError reports a key that may have been used by a request whose claim the log no longer keeps.
type KeyTooOldError struct {
	Age   time.Duration
	Limit time.Duration
}

func (e *KeyTooOldError) Error() string {
	return fmt.Sprintf("idempotency key is %s old, the limit is %s", e.Age.Round(time.Second), e.Limit)
}

// KeyFormatError reports a key that the work does not accept.
type KeyFormatError struct {
	Reason string
}

func (e *KeyFormatError) Error() string { return "idempotency key: " + e.Reason }

// FingerprintMismatchError reports a key that was used before with another body.
type FingerprintMismatchError struct {
	ClaimID string
}

func (e *FingerprintMismatchError) Error() string {
	return fmt.Sprintf("idempotency key was used with a different request (claim %s)", e.ClaimID)
}

// ResultTooLargeError reports a result that is not stored. Repeats of its request get no answer.
type ResultTooLargeError struct {
	Size  int
	Limit int
}

func (e *ResultTooLargeError) Error() string {
	return fmt.Sprintf("result of %d bytes is not stored, the limit is %d", e.Size, e.Limit)
}

// QueueFullError reports that too many entries wait for the log.
type QueueFullError struct {
	Limit int
}

func (e *QueueFullError) Error() string {
	return fmt.Sprintf("%d entries wait for the log already", e.Limit)
}

// RecordError reports a log record that is not a batch of claim entries.
type RecordError struct {
	Offset int64
	Reason string
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("read claim record at offset %d: %s", e.Offset, e.Reason)
}
