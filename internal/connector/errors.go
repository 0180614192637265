package connector

import "fmt"

// MismatchedAnswerError reports that an upstream answered other requests only.
type MismatchedAnswerError struct {
	RequestID string
}

func (e *MismatchedAnswerError) Error() string {
	return fmt.Sprintf("the answers on the connection don't belong to request %s", e.RequestID)
}
