package claimer

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/cataloguer"
)

func uuidV7At(keyTime time.Time) string {
	id := uuid.Must(uuid.NewV7())
	var stamp [8]byte
	binary.BigEndian.PutUint64(stamp[:], uint64(keyTime.UnixMilli())<<16)
	copy(id[:6], stamp[:6])
	return id.String()
}

// TestCheckKey guards against accepting keys whose claims retention may have removed from the log, and keys in a wrong
// format.
func TestCheckKey(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	options := Options{}.withDefaults()
	cases := []struct {
		name   string
		key    string
		format cataloguer.KeyFormat
		want   string
	}{
		{name: "any", key: "order 17"},
		{name: "empty", key: "", want: "*claimer.KeyFormatError"},
		{name: "long", key: string(make([]byte, maxKeyBytes+1)), want: "*claimer.KeyFormatError"},
		{name: "young", key: uuidV7At(now.Add(-time.Hour))},
		{name: "just young enough", key: uuidV7At(now.Add(-24*time.Hour + 2*time.Minute))},
		{name: "too old", key: uuidV7At(now.Add(-24*time.Hour + time.Minute)), want: "*claimer.KeyTooOldError"},
		{name: "clock skew", key: uuidV7At(now.Add(30 * time.Second)), format: cataloguer.KeyFormatUUIDv7},
		{name: "future", key: uuidV7At(now.Add(time.Hour)), want: "*claimer.KeyFormatError"},
		{name: "version 4", key: uuid.NewString()},
		{name: "version 4 refused", key: uuid.NewString(), format: cataloguer.KeyFormatUUIDv7, want: "*claimer.KeyFormatError"},
		{name: "text refused", key: "order 17", format: cataloguer.KeyFormatUUIDv7, want: "*claimer.KeyFormatError"},
	}
	for _, c := range cases {
		_, err := checkKey(Scope{Key: c.key, Format: c.format}, now, options)
		got := ""
		if err != nil {
			got = fmt.Sprintf("%T", err)
		}
		assert.Equal(t, got, c.want, "%s: %v", c.name, err)
	}
}

// TestScopeHash guards against two different scopes with the same hash.
func TestScopeHash(t *testing.T) {
	scopes := []Scope{
		{Workspace: "a", Work: "b", Key: "c"},
		{Workspace: "ab", Key: "c"},
		{Workspace: "a", Work: "bc"},
		{Workspace: "a", Work: "b", Key: "d"},
	}
	seen := make(map[ScopeHash]bool)
	for _, s := range scopes {
		seen[s.Hash()] = true
	}
	assert.Equal(t, len(seen), len(scopes))
	withBody := scopes[0]
	withBody.Fingerprint = 7
	assert.Equal(t, withBody.Hash(), scopes[0].Hash())
}
