package forwarder

import "fmt"

// UntrustedAnswerError reports an answer that the upstream did not make, or not in its plain form.
type UntrustedAnswerError struct {
	Status int
}

func (e *UntrustedAnswerError) Error() string {
	return fmt.Sprintf("the answer with status %d isn't the upstream's own", e.Status)
}

// EventTooLargeError reports an event of a stream that exceeds the limit, in bytes.
type EventTooLargeError struct {
	Limit int
}

func (e *EventTooLargeError) Error() string {
	return fmt.Sprintf("an event of the stream exceeds %d bytes", e.Limit)
}
