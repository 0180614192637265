package claimer

import (
	"encoding/json"

	"coltsfootplank/internal/kernel"
)

// Stream is the log stream of the claims.
const Stream = "claims"

// MaxResultBytes bounds the body of a stored result.
const MaxResultBytes = 16 << 10

// Result is the answer of a request, for its repeats.
type Result struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// size returns about the memory that the result takes.
func (r *Result) size() int { return len(r.Body) + len(r.ContentType) + entryBytes }

type entryKind string

const (
	entryClaim  entryKind = "claim"
	entryVoid   entryKind = "void"
	entryResult entryKind = "result"
	// entryMarker changes nothing. Its record's time shows how old the records before it are.
	entryMarker entryKind = "marker"
)

// entry is one claim, void or result. Fingerprint and RequestID belong to claims, Result to results. Memory marks
// a claim that was won in memory while the log was down: its holder doesn't wait for the record.
type entry struct {
	Kind        entryKind `json:"kind"`
	ScopeHash   ScopeHash `json:"scope_hash"`
	ClaimID     string    `json:"claim_id"`
	RequestID   string    `json:"request_id,omitempty"`
	Fingerprint uint64    `json:"fingerprint,omitempty"`
	Memory      bool      `json:"memory,omitempty"`
	Result      *Result   `json:"result,omitempty"`
}

// batch is one record of the stream, in JSON. UnixMS is the wall clock of the router that appends it, taken
// before the append. A batch without entries only marks the time.
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
