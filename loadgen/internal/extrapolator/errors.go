package extrapolator

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of wrapped errors of this package.
var Error = errs.Class("capacity")

// MarkerError reports a page that lacks one of the two markers around the tables.
type MarkerError struct {
	File   string
	Marker string
}

func (e *MarkerError) Error() string { return fmt.Sprintf("%s: marker %q not found", e.File, e.Marker) }

// TimeoutError reports a condition that didn't become true within the time limit of a measurement.
type TimeoutError struct {
	Condition string
}

func (e *TimeoutError) Error() string { return "timed out waiting until " + e.Condition }

// UnexpectedError reports a result that the measured component should not have given.
type UnexpectedError struct {
	Component string
	Detail    string
}

func (e *UnexpectedError) Error() string { return e.Component + ": " + e.Detail }
