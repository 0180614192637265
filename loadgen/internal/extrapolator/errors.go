package extrapolator

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of wrapped errors of this package.
var Error = errs.Class("capacity")

// MarkerError reports a page without the two markers between which the tables go.
type MarkerError struct {
	File   string
	Marker string
}

func (e *MarkerError) Error() string { return fmt.Sprintf("%s: marker %q not found", e.File, e.Marker) }

// TimeoutError reports a state that a measurement waited for and that didn't come.
type TimeoutError struct {
	Waiting string
}

func (e *TimeoutError) Error() string { return "gave up waiting until " + e.Waiting }

// UnexpectedError reports an answer that the measured part should not have given.
type UnexpectedError struct {
	Part   string
	Detail string
}

func (e *UnexpectedError) Error() string { return e.Part + ": " + e.Detail }
