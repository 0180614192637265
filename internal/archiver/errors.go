package archiver

import "fmt"

// FieldError reports a stored conviction with a field that is out of its bounds.
type FieldError struct {
	Field string
}

func (e *FieldError) Error() string { return fmt.Sprintf("%s is out of bounds", e.Field) }
