package kernel

import "fmt"

// PublicationSource is a configuration as an operator wrote it.
type PublicationSource struct {
	*Publication
	// Lines holds the lines of the entries and fields by their paths in Publication, such as Routes[2].Timeout.
	Lines map[string]int
	// Notes lists values that a router doesn't use as they are written.
	Notes []PublicationNote
}

// PublicationNote is a remark about the value at a path in Publication.
type PublicationNote struct {
	Path    string
	Message string
}

// PublicationReader reads the text of a configuration. Errors: *MalformedTextError.
type PublicationReader func(text []byte) (*PublicationSource, error)

// PublicationReaders holds the readers by the name of the directory's protocol.
var PublicationReaders = NewRegistry[PublicationReader]("publication reader")

// MalformedTextError reports a configuration that can't be decoded.
type MalformedTextError struct {
	Line  int
	Cause error
}

func (e *MalformedTextError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Cause) }

// Unwrap returns the cause.
func (e *MalformedTextError) Unwrap() error { return e.Cause }
