package commander

import (
	"errors"
	"net"

	"connectrpc.com/connect"

	"coltsfootplank/internal/loader"
)

// Exit codes, documented in the help text.
const (
	exitSuccess     = 0
	exitFailure     = 1
	exitUsage       = 2
	exitFindings    = 1
	exitUnreadable  = 2
	exitConflict    = 3
	exitValidation  = 4
	exitUnavailable = 5
	exitUnknown     = 6
)

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var (
		usage    *UsageError
		change   *ChangeError
		settings loader.SettingsErrors
		read     *loader.ReadError
		invalid  *CatalogueError
		findings *FindingsError
		unread   *UnreadableError
	)
	switch {
	case errors.As(err, &findings):
		return exitFindings
	case errors.As(err, &unread):
		return exitUnreadable
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &read):
		return exitFailure
	case errors.As(err, &settings), errors.As(err, &invalid):
		return exitValidation
	case errors.As(err, &change) && outcomeUnknown(err):
		return exitUnknown
	}
	switch connect.CodeOf(err) {
	case connect.CodeAborted:
		return exitConflict
	case connect.CodeInvalidArgument:
		return exitValidation
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded:
		return exitUnavailable
	}
	return exitFailure
}

// outcomeUnknown reports whether a change may have taken effect: the router's answer doesn't rule it out, or no answer
// came although the request may have been sent.
func outcomeUnknown(err error) bool {
	if connect.IsWireError(err) {
		switch connect.CodeOf(err) {
		case connect.CodeAborted, connect.CodeInvalidArgument, connect.CodeUnavailable, connect.CodeUnimplemented:
			return false
		}
		return true
	}
	var dial *net.OpError
	return !errors.As(err, &dial) || dial.Op != "dial"
}
