package subscriber

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
)

// TestCompressedRecordLimit guards against a compressed record of another router that uses up the memory once it is
// decompressed.
func TestCompressedRecordLimit(t *testing.T) {
	cases := []struct {
		name     string
		size     int
		tooLarge bool
	}{
		// The value is encoded in base64.
		{"below the limit", maxRecordBytes/4*3 - (1 << 10), false},
		{"above the limit", maxRecordBytes, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := decompressRecord(compressRecord(kernel.DirectoryRecord{Key: "config", Value: make([]byte, c.size)}))
			var malformed *kernel.MalformedRecordError
			var tooLarge *RecordTooLargeError
			assert.Equal(t, errors.As(err, &malformed), c.tooLarge, "%v", err)
			assert.Equal(t, errors.As(err, &tooLarge), c.tooLarge, "%v", err)
			assert.Equal(t, len(got.Value) == c.size, !c.tooLarge)
		})
	}
}
