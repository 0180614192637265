package cataloguer

import (
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of the errors that wrap a failure of a library call.
var Error = errs.Class("catalogue")

// ValidationError reports one problem of a catalogue. File is empty if the source has no name, Line counts
// from 1 and is 0 if the place is unknown, Field is a path such as works[2].pool.
type ValidationError struct {
	File   string
	Line   int
	Field  string
	Reason string
}

func (e *ValidationError) Error() string {
	file := e.File
	if file == "" {
		file = "catalogue"
	}
	if e.Field == "" {
		return fmt.Sprintf("%s:%d: %s", file, e.Line, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", file, e.Line, e.Field, e.Reason)
}

// ValidationErrors reports all problems of a catalogue; errors.As finds the first as *ValidationError.
type ValidationErrors []*ValidationError

func (e ValidationErrors) Error() string {
	lines := make([]string, len(e))
	for i, problem := range e {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the problems.
func (e ValidationErrors) Unwrap() []error {
	problems := make([]error, len(e))
	for i, problem := range e {
		problems[i] = problem
	}
	return problems
}

// ConflictError reports an edit whose base is not the current revision. Current is the revision that the
// editor has to start from.
type ConflictError struct {
	Base    uint64
	Current uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("apply catalogue: based on revision %d, but the current one is %d", e.Base, e.Current)
}

// OutcomeUnknownError reports an edit that may or may not be accepted: its record could not be read back in
// time. Nonce identifies it in the history.
type OutcomeUnknownError struct {
	Nonce string
	Cause error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("apply catalogue: outcome of edit %s is unknown: %v", e.Nonce, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// IncompleteError reports a fold that has not read to the end of the log yet, can't read it, or lost records to
// retention and waits for a snapshot. It appears as the cause of a *kernel.LogUnavailableError.
type IncompleteError struct {
	Revision uint64
}

func (e *IncompleteError) Error() string {
	return fmt.Sprintf("catalogue revision %d may be out of date: the log has not been read to its end", e.Revision)
}

// RecordError reports a log record that is not a catalogue record. It appears in the history.
type RecordError struct {
	Reason string
}

func (e *RecordError) Error() string { return "read catalogue record: " + e.Reason }
