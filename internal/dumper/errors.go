package dumper

import (
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of errors from encoding a dump or the metrics.
var Error = errs.Class("state dump")

// DuplicateError reports a section name that is already registered.
type DuplicateError struct {
	Section string
}

func (e *DuplicateError) Error() string {
	return fmt.Sprintf("register state section %q: the name is already registered", e.Section)
}

// UnknownSectionError reports a section that isn't registered.
type UnknownSectionError struct {
	Section string
	Known   []string
}

func (e *UnknownSectionError) Error() string {
	return fmt.Sprintf("unknown state section %q (known: %s)", e.Section, strings.Join(e.Known, ", "))
}
