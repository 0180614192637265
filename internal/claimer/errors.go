package claimer

import (
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors that wrap failures of library calls.
var Error = errs.Class("claim")

// UnavailableError reports a claim that can't be decided. The request must not be dispatched: the claim either does
// not win, or is voided once its record has been read back as the winner.
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

// KeyTooOldError reports a key so old that retention may have removed an earlier claim with it from the log.
type KeyTooOldError struct {
	Age   time.Duration
	Limit time.Duration
}

func (e *KeyTooOldError) Error() string {
	return fmt.Sprintf("idempotency key is %s old, the limit is %s", e.Age.Round(time.Second), e.Limit)
}

// KeyFormatError reports a key whose format is invalid or not accepted by the work.
type KeyFormatError struct {
	Reason string
}

func (e *KeyFormatError) Error() string { return "idempotency key: " + e.Reason }

// FingerprintMismatchError reports a key that was used before with a different request body.
type FingerprintMismatchError struct {
	ClaimID string
}

func (e *FingerprintMismatchError) Error() string {
	return fmt.Sprintf("idempotency key was used with a different request (claim %s)", e.ClaimID)
}

// ResultTooLargeError reports a result that is too large to be stored. Repeated requests are reported as duplicates
// without a result.
type ResultTooLargeError struct {
	Size  int
	Limit int
}

func (e *ResultTooLargeError) Error() string {
	return fmt.Sprintf("result of %d bytes is not stored, the limit is %d", e.Size, e.Limit)
}

// QueueFullError reports that too many entries are waiting to be appended to the log.
type QueueFullError struct {
	Limit int
}

func (e *QueueFullError) Error() string {
	return fmt.Sprintf("append queue is full: %d entries are waiting for the log", e.Limit)
}

// RecordError reports a log record that is not a batch of claim entries.
type RecordError struct {
	Offset int64
	Reason string
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("decode claim record at offset %d: %s", e.Offset, e.Reason)
}
