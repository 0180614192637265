package claimer

import (
	"encoding/json"

	"coltsfootplank/internal/kernel"
)

// Stream is the name of the log stream that holds the claims.
const Stream = "claims"

// MaxResultBytes is the maximum size of the body of a stored result.
const MaxResultBytes = 16 << 10

// Result is the answer to a request, stored so that repeated requests get it.
type Result struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// size returns the approximate memory use of the result in bytes.
func (r *Result) size() int { return len(r.Body) + len(r.ContentType) + entryBytes }

type entryKind string

const (
	entryClaim  entryKind = "claim"
	entryVoid   entryKind = "void"
	entryResult entryKind = "result"
	// entryMarker has no effect on scopes. The time of its record is an upper bound for the times of earlier records.
	entryMarker entryKind = "marker"
)

// entry is one claim, void, result or marker. Fingerprint and RequestID belong to claims, Result to results. InMemory
// marks a claim that won in memory while the log was unavailable, so that no call of Claim waits for its record.
type entry struct {
	Kind        entryKind `json:"kind"`
	ScopeHash   ScopeHash `json:"scope_hash"`
	ClaimID     string    `json:"claim_id"`
	RequestID   string    `json:"request_id,omitempty"`
	Fingerprint uint64    `json:"fingerprint,omitempty"`
	InMemory    bool      `json:"memory,omitempty"`
	Result      *Result   `json:"result,omitempty"`
}

// batch is one record of the stream, encoded as JSON. UnixMS is the wall clock time of the appending router, taken
// before the append. A batch without entries only records that time.
type batch struct {
	Router      string  `json:"router"`
	Incarnation uint64  `json:"incarnation"`
	UnixMS      int64   `json:"unix_ms"`
	Entries     []entry `json:"entries"`
}

func (b *batch) encode() ([]byte, error) {
	data, err := json.Marshal(b)
	return data, Error.Wrap(err)
}

func decodeBatch(record kernel.LogRecord) (*batch, error) {
	var b batch
	if err := json.Unmarshal(record.Data, &b); err != nil {
		return nil, &RecordError{Offset: record.Offset, Reason: err.Error()}
	}
	return &b, nil
}
