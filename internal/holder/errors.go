package holder

import "fmt"

// DrainError reports that the context of a drain ended while requests were still in flight.
type DrainError struct {
	InFlight int
	Cause    error
}

func (e *DrainError) Error() string {
	return fmt.Sprintf("drain: %d requests still in flight: %v", e.InFlight, e.Cause)
}

// Unwrap returns the cause.
func (e *DrainError) Unwrap() error { return e.Cause }
