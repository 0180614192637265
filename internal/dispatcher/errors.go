package dispatcher

import "fmt"

// TruncatedError reports a stream that ended before its final frame and could not be resumed.
type TruncatedError struct {
	StreamID string
	Tokens   int
	Cause    error
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("stream %s: truncated after %d tokens: %v", e.StreamID, e.Tokens, e.Cause)
}

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.Cause }

// CallerGoneError reports that the caller disconnected before it had the complete answer.
type CallerGoneError struct {
	StreamID string
	Cause    error
}

func (e *CallerGoneError) Error() string {
	return fmt.Sprintf("stream %s: caller disconnected: %v", e.StreamID, e.Cause)
}

// Unwrap returns the cause.
func (e *CallerGoneError) Unwrap() error { return e.Cause }

// gapError reports missing tokens: a frame whose index or total isn't the expected one, or a stream that ended without
// its final frame.
type gapError struct {
	want, got int
}

func (e *gapError) Error() string {
	return fmt.Sprintf("token %d arrived, want %d", e.got, e.want)
}

// idleError reports that no frame arrived on a stream within the idle timeout.
type idleError struct {
	seconds float64
}

func (e *idleError) Error() string {
	return fmt.Sprintf("no frame for %.1f s", e.seconds)
}
