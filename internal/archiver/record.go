package archiver

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

// KeyPrefix is the prefix of the keys of stored convictions among the routers' records. The fingerprint follows in
// hexadecimal.
const KeyPrefix = "conviction/"

// Bounds of a stored conviction, far above those of one that a router writes. Another writer may have left a record.
const (
	maxCrashIDs = 64
	maxTogether = 1024
)

// record is the JSON form of a stored conviction; protocol.Conviction describes the fields.
type record struct {
	Part          bool     `json:"part,omitempty"`
	Convicted     bool     `json:"convicted,omitempty"`
	Crashes       uint32   `json:"crashes"`
	CrashIDs      []uint64 `json:"crash_ids"`
	Together      []uint64 `json:"together,omitempty"`
	ExpiresUnixMS int64    `json:"expires_unix_ms"`
}

func key(fingerprint uint64) string { return KeyPrefix + strconv.FormatUint(fingerprint, 16) }

// encode returns the record of a conviction.
func encode(c *protocol.Conviction) (kernel.DirectoryRecord, error) {
	value, err := json.Marshal(record{
		Part: c.GetPart(), Convicted: c.GetConvicted(), Crashes: c.GetCrashes(), CrashIDs: c.GetCrashIds(),
		Together: c.GetTogether(), ExpiresUnixMS: c.GetExpiresUnixMs(),
	})
	return kernel.DirectoryRecord{Key: key(c.GetFingerprint()), Value: value}, err
}

// decode returns the conviction of a record, or nil if the record is of another kind or deletes one. An expiry beyond the
// retention is shortened. Errors: *kernel.MalformedRecordError.
func decode(stored kernel.DirectoryRecord, now time.Time, retention time.Duration) (*protocol.Conviction, error) {
	text, ok := strings.CutPrefix(stored.Key, KeyPrefix)
	if !ok || len(stored.Value) == 0 {
		return nil, nil
	}
	fingerprint, err := strconv.ParseUint(text, 16, 64)
	var r record
	if err == nil {
		err = json.Unmarshal(stored.Value, &r)
	}
	switch {
	case err != nil:
	case fingerprint == 0 || text != strconv.FormatUint(fingerprint, 16):
		err = &FieldError{Field: "fingerprint"}
	case len(r.CrashIDs) > maxCrashIDs:
		err = &FieldError{Field: "crash_ids"}
	case len(r.Together) > maxTogether:
		err = &FieldError{Field: "together"}
	}
	if err != nil {
		return nil, &kernel.MalformedRecordError{Key: stored.Key, Cause: err}
	}
	return &protocol.Conviction{
		Fingerprint: fingerprint, Part: r.Part, Convicted: r.Convicted, Crashes: r.Crashes, CrashIds: r.CrashIDs, Together: r.Together,
		ExpiresUnixMs: min(r.ExpiresUnixMS, now.Add(retention).UnixMilli()),
	}, nil
}
