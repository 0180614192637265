package leaser

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of the errors that wrap a failure of a library call.
var Error = errs.Class("lease")

// HeldError reports a lease that another holder has.
type HeldError struct {
	Engine string
	Holder string
}

func (e *HeldError) Error() string {
	return fmt.Sprintf("acquire lease of engine %s: held by %s", e.Engine, e.Holder)
}

// NotHeldError reports an operation that needs a lease that is not held or no longer lasts.
type NotHeldError struct {
	Engine string
}

func (e *NotHeldError) Error() string { return fmt.Sprintf("lease of engine %s is not held", e.Engine) }

// UnavailableError reports a lease whose record could not be appended or read back in time.
type UnavailableError struct {
	Engine string
	Cause  error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("lease of engine %s: log unavailable: %v", e.Engine, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// NotCaughtUpError reports a log that has not been read to its end.
type NotCaughtUpError struct{}

func (e *NotCaughtUpError) Error() string { return "the leases have not been read to the end" }
