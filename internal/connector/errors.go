package connector

import "fmt"

// StrayAnswerError reports that an upstream answered other requests only.
type StrayAnswerError struct {
	Want string
}

func (e *StrayAnswerError) Error() string {
	return fmt.Sprintf("the answers on the connection don't belong to request %s", e.Want)
}
