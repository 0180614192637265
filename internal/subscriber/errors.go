package subscriber

import "fmt"

// OutdatedEraError reports the state of a router that hasn't heard of the last restoration of the directory.
type OutdatedEraError struct {
	Era, Known int64
}

func (e *OutdatedEraError) Error() string {
	return fmt.Sprintf("state is of era %d of the directory, which is in era %d", e.Era, e.Known)
}

// RecordTooLargeError reports a record of another router that exceeds the size limit once it is decompressed.
type RecordTooLargeError struct {
	// Limit is in bytes.
	Limit int
}

func (e *RecordTooLargeError) Error() string {
	return fmt.Sprintf("decompress record: larger than %d bytes", e.Limit)
}
