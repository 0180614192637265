package requester

import "fmt"

// WritesBlockedError reports a write on a connection whose request was already reported as not sent.
type WritesBlockedError struct{}

func (*WritesBlockedError) Error() string {
	return "write request: the request was already reported as not sent"
}

// InvalidAddressError reports an upstream address that isn't "ip:port".
type InvalidAddressError struct {
	Address string
}

func (e *InvalidAddressError) Error() string {
	return fmt.Sprintf("upstream address %q: want ip:port", e.Address)
}

// InvalidPathError reports a request path that doesn't start with a slash or can't be parsed.
type InvalidPathError struct {
	Path string
}

func (e *InvalidPathError) Error() string {
	return fmt.Sprintf("build request: invalid path %q", e.Path)
}

// AnswerTooLargeError reports an answer that exceeds the size limit.
type AnswerTooLargeError struct {
	// Limit is in bytes.
	Limit int64
}

func (e *AnswerTooLargeError) Error() string {
	return fmt.Sprintf("read answer: larger than %d bytes", e.Limit)
}
