package assembler

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of errors from starting and stopping a router.
var Error = errs.Class("router")

// ListenError reports an address that could not be bound.
type ListenError struct {
	Listener string
	Address  string
	Cause    error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("listen for %s on %s: %v", e.Listener, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// MemberUnknownError reports a router that isn't in the member table.
type MemberUnknownError struct {
	Name string
}

func (e *MemberUnknownError) Error() string {
	return fmt.Sprintf("find router %s: not in the member table", e.Name)
}

// ReadOnlyError reports an attempt to edit a catalogue that is derived from the platform's directory.
type ReadOnlyError struct{}

func (*ReadOnlyError) Error() string {
	return "edit the catalogue: this router takes its routes from the platform's directory"
}

// RecordError reports a router's record in the directory with a value that no router writes.
type RecordError struct {
	Field string
}

func (e *RecordError) Error() string { return fmt.Sprintf("field %s is out of range", e.Field) }
