package holder

import "fmt"

// DrainError reports a drain that ended with requests in flight.
type DrainError struct {
	InFlight int
	Cause    error
}

func (e *DrainError) Error() string {
	return fmt.Sprintf("drain: %d requests still in flight: %v", e.InFlight, e.Cause)
}

// Unwrap returns the cause.
func (e *DrainError) Unwrap() error { return e.Cause }
