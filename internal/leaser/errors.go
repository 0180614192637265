package leaser

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of errors that wrap failures of library calls.
var Error = errs.Class("lease")

// HeldError reports that another router holds the lease.
type HeldError struct {
	Engine string
	Holder string
}

func (e *HeldError) Error() string {
	return fmt.Sprintf("acquire lease of engine %s: held by %s", e.Engine, e.Holder)
}

// NotHeldError reports an operation that requires a lease that is not held or has expired.
type NotHeldError struct {
	Engine string
}

func (e *NotHeldError) Error() string { return fmt.Sprintf("lease of engine %s is not held", e.Engine) }

// UnavailableError reports that a lease record could not be appended or read back in time.
type UnavailableError struct {
	Engine string
	Cause  error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("lease of engine %s: log unavailable: %v", e.Engine, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// NotCaughtUpError reports that the stream of leases has not been read to its end, or can't be read now.
type NotCaughtUpError struct{}

func (e *NotCaughtUpError) Error() string { return "the leases stream has not been read to its end" }
