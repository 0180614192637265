package cataloguer

import (
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of errors that wrap failures of library calls.
var Error = errs.Class("catalogue")

// ValidationError reports one problem in a catalogue. File is empty if the source has no name. Line counts from 1 and
// is 0 if the line is unknown. Field is a path such as works[2].pool.
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

// ValidationErrors reports all problems found in a catalogue; errors.As finds the first as *ValidationError.
type ValidationErrors []*ValidationError

func (e ValidationErrors) Error() string {
	lines := make([]string, len(e))
	for i, problem := range e {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the individual problems.
func (e ValidationErrors) Unwrap() []error {
	problems := make([]error, len(e))
	for i, problem := range e {
		problems[i] = problem
	}
	return problems
}

// ConflictError reports an edit whose base is not the current revision. Current is the revision on which the editor
// must base the next attempt.
type ConflictError struct {
	Base    uint64
	Current uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("apply catalogue: based on revision %d, but the current one is %d", e.Base, e.Current)
}

// OutcomeUnknownError reports an edit that may or may not have been accepted, because its record could not be read back
// in time. Nonce identifies the edit in the history.
type OutcomeUnknownError struct {
	Nonce string
	Cause error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("apply catalogue: outcome of edit %s is unknown: %v", e.Nonce, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// IncompleteError reports that the log has not been read to its end yet, can't be read, or lost records to retention so
// that a snapshot is needed. It occurs as the cause of a *kernel.LogUnavailableError.
type IncompleteError struct {
	Revision uint64
}

func (e *IncompleteError) Error() string {
	return fmt.Sprintf("catalogue revision %d may be out of date: the log has not been read to its end", e.Revision)
}

// RecordError reports a log record that is not a valid catalogue record, or a rejected edit. The reason is
// listed in the history.
type RecordError struct {
	Reason string
}

func (e *RecordError) Error() string { return "read catalogue record: " + e.Reason }
