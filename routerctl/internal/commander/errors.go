package commander

import "fmt"

// UsageError reports a wrong command line.
type UsageError struct {
	Cause error
}

func (e *UsageError) Error() string { return e.Cause.Error() + " (see routerctl --help)" }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Cause }

// CallError reports a failed read from a router.
type CallError struct {
	Operation string
	Address   string
	Cause     error
}

func (e *CallError) Error() string {
	return fmt.Sprintf("%s at router %s: %v", e.Operation, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// ChangeError reports a failed call that would have changed something. Unless the cause rules it out, the change may
// have taken effect.
type ChangeError struct {
	Operation string
	Address   string
	Cause     error
}

func (e *ChangeError) Error() string {
	return fmt.Sprintf("%s at router %s: %v", e.Operation, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ChangeError) Unwrap() error { return e.Cause }

// FileError reports a file that can't be read.
type FileError struct {
	File  string
	Cause error
}

func (e *FileError) Error() string { return fmt.Sprintf("read file %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// UnreadableError reports a file that check can't decode.
type UnreadableError struct {
	Cause error
}

func (e *UnreadableError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// FindingsError reports that check has found something.
type FindingsError struct {
	Count int
}

func (e *FindingsError) Error() string { return fmt.Sprintf("findings: %d", e.Count) }

// CatalogueError reports a catalogue text that can't be decoded.
type CatalogueError struct {
	Source string
	Cause  error
}

func (e *CatalogueError) Error() string { return fmt.Sprintf("catalogue %s: %v", e.Source, e.Cause) }

// Unwrap returns the cause.
func (e *CatalogueError) Unwrap() error { return e.Cause }
