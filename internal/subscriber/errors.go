package subscriber

import "fmt"

// RecordTooLargeError reports a record of another router that exceeds the size limit once it is decompressed.
type RecordTooLargeError struct {
	// Limit is in bytes.
	Limit int
}

func (e *RecordTooLargeError) Error() string {
	return fmt.Sprintf("decompress record: larger than %d bytes", e.Limit)
}
