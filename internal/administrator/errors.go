package administrator

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"connectrpc.com/connect"

	"coltsfootplank/internal/dumper"
	"coltsfootplank/internal/kernel"
)

// ConflictError reports an edit of a revision that is no longer the current one. Nothing was changed.
type ConflictError struct {
	Base    uint64
	Current uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("apply catalogue: base revision %d is not the current revision %d", e.Base, e.Current)
}

// ValidationError lists what is wrong with a catalogue. Nothing was changed.
type ValidationError struct {
	Problems []string
}

func (e *ValidationError) Error() string {
	return "invalid catalogue: " + strings.Join(e.Problems, "; ")
}

// UnavailableError reports an edit that certainly took no effect, because the log could not be used.
type UnavailableError struct {
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("apply catalogue: no effect: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// OutcomeUnknownError reports an edit that may or may not have taken effect.
type OutcomeUnknownError struct {
	Cause error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("apply catalogue: outcome unknown, compare the catalogue before a repeat: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// MissingEditorError reports an edit without the name of its editor.
type MissingEditorError struct{}

func (e *MissingEditorError) Error() string { return "apply catalogue: the editor's name is empty" }

// codeOf maps an error to the status code of the API. A code that promises "no effect" is used only for errors
// that promise it; everything else is unknown.
func codeOf(err error) connect.Code {
	var (
		conflict    *ConflictError
		invalid     *ValidationError
		noEditor    *MissingEditorError
		section     *dumper.UnknownSectionError
		unavailable *UnavailableError
		logDown     *kernel.LogUnavailableError
		limited     *kernel.RateLimitedError
		uncertain   *OutcomeUnknownError
		appendLost  *kernel.AppendUnknownError
	)
	switch {
	case errors.As(err, &uncertain), errors.As(err, &appendLost):
		return connect.CodeUnknown
	case errors.As(err, &conflict):
		return connect.CodeAborted
	case errors.As(err, &invalid), errors.As(err, &noEditor):
		return connect.CodeInvalidArgument
	case errors.As(err, &section):
		return connect.CodeNotFound
	case errors.As(err, &unavailable), errors.As(err, &logDown), errors.As(err, &limited):
		return connect.CodeUnavailable
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return connect.CodeUnknown
	}
	return connect.CodeInternal
}

func coded(err error) error { return connect.NewError(codeOf(err), err) }
