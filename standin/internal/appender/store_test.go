package appender

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestRetention guards against offsets that change when old records are removed, and against a read that silently
// skips removed records.
func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore(3, time.Minute)
		for i := range 5 {
			assert.Equal(t, s.append("a", []byte{byte(i)}), int64(i))
		}
		assert.Equal(t, s.append("b", nil), int64(0))
		_, _, err := s.read("a", 1, 10)
		var trimmed *TrimmedError
		assert.Assert(t, errors.As(err, &trimmed))
		assert.Equal(t, trimmed.First, int64(2))
		page, _, err := s.read("a", 2, 2)
		assert.NilError(t, err)
		assert.Equal(t, page.Next, int64(4))
		assert.DeepEqual(t, page.Records[1].Data, []byte{3})
		time.Sleep(2 * time.Minute)
		page, _, err = s.read("a", 5, 10)
		assert.NilError(t, err)
		assert.Equal(t, page.First, int64(5))
		assert.Equal(t, s.append("a", nil), int64(5))
	})
}
