package administrator

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/dumper"
	"coltsfootplank/internal/kernel"
)

// MissingEditorError reports an edit without the name of its editor.
type MissingEditorError struct{}

func (e *MissingEditorError) Error() string { return "apply catalogue: the editor's name is empty" }

// codeOf maps an error to a status code of the API. Codes that tell the client that nothing was changed are used only
// for errors that guarantee it; with any other code the edit may have taken effect.
func codeOf(err error) connect.Code {
	var (
		conflict      *cataloguer.ConflictError
		invalid       *cataloguer.ValidationError
		noEditor      *MissingEditorError
		section       *dumper.UnknownSectionError
		logDown       *kernel.LogUnavailableError
		rateLimited   *kernel.RateLimitedError
		editUnknown   *cataloguer.OutcomeUnknownError
		appendUnknown *kernel.AppendOutcomeUnknownError
	)
	switch {
	// These cases come first, because such an error may wrap one of the others.
	case errors.As(err, &editUnknown), errors.As(err, &appendUnknown):
		return connect.CodeUnknown
	case errors.As(err, &conflict):
		return connect.CodeAborted
	case errors.As(err, &invalid), errors.As(err, &noEditor):
		return connect.CodeInvalidArgument
	case errors.As(err, &section):
		return connect.CodeNotFound
	case errors.As(err, &logDown), errors.As(err, &rateLimited):
		return connect.CodeUnavailable
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return connect.CodeUnknown
	}
	return connect.CodeInternal
}

func connectError(err error) error { return connect.NewError(codeOf(err), err) }
