package faulter

import (
	"fmt"
	"strings"
)

// UnknownTargetError reports a fault request for a target that doesn't exist.
type UnknownTargetError struct {
	Target string
	Known  []string
}

func (e *UnknownTargetError) Error() string {
	return fmt.Sprintf("set fault: unknown target %q (known: %s)", e.Target, strings.Join(e.Known, ", "))
}

// UnknownFaultError reports a fault that the target doesn't support.
type UnknownFaultError struct {
	Target string
	Fault  string
	Known  []string
}

func (e *UnknownFaultError) Error() string {
	return fmt.Sprintf("set fault on %s: unknown fault %q (known: %s)", e.Target, e.Fault, strings.Join(e.Known, ", "))
}

// InvalidValueError reports a fault value that is neither a number nor a string.
type InvalidValueError struct {
	Text string
}

func (e *InvalidValueError) Error() string {
	return fmt.Sprintf("read fault value %s: want a number or a string", e.Text)
}
