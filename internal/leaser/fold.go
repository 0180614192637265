package leaser

import (
	"encoding/json"
	"time"

	"coltsfootplank/internal/kernel"
)

// Stream is the name of the log stream that holds the leases.
const Stream = "leases"

const (
	// noLease is the offset that a record supersedes if the engine has no lease.
	noLease int64 = -1
	// maxSupersedeAge is the maximum age of a lease record that a new record must supersede. After an older one, the
	// new record supersedes noLease. It must be well above the TTL and the clock skew, and well below the log's
	// retention, because a router that started later doesn't know the offset of a record removed by retention.
	maxSupersedeAge = time.Hour
)

// record is one record of the stream, encoded as JSON. It is valid if and only if it supersedes the current lease of
// the engine in the fold. A TTL of 0 releases the lease.
type record struct {
	Engine      string `json:"engine"`
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	Supersedes  int64  `json:"supersedes_offset"`
	TTLMS       int64  `json:"ttl_ms"`
	Nonce       string `json:"nonce"`
	UnixMS      int64  `json:"unix_ms"`
}

// entry is the current lease of an engine. readAt is when this router read its record. predecessorLost is true if
// retention removed the superseded record before this router read it.
type entry struct {
	record
	offset          int64
	readAt          time.Time
	predecessorLost bool
}

// fold derives the current lease of each engine by applying the records in log order. Which records are valid depends
// on the records alone; readAt only delays a takeover by this router.
type fold struct {
	leases map[string]entry
	// firstKept is the offset of the first record that retention kept; it is above 0 if earlier records were lost. A
	// record that supersedes a lost one is accepted as valid if no other lease of the engine is known. If there are
	// several such records, which takes a race just as retention removes the lease, the last one is valid.
	firstKept int64
}

// current returns the offset that a valid record with the time unixMS must supersede.
func (f *fold) current(engine string, unixMS int64) int64 {
	current, known := f.leases[engine]
	if !known || unixMS-current.UnixMS > maxSupersedeAge.Milliseconds() {
		return noLease
	}
	return current.offset
}

// apply applies one record and reports whether it is valid.
func (f *fold) apply(r record, offset int64, now time.Time) bool {
	last, known := f.leases[r.Engine]
	predecessorLost := r.Supersedes != f.current(r.Engine, r.UnixMS)
	if predecessorLost && (r.Supersedes >= f.firstKept || r.Supersedes == noLease || (known && !last.predecessorLost)) {
		return false
	}
	f.leases[r.Engine] = entry{record: r, offset: offset, readAt: now, predecessorLost: predecessorLost}
	return true
}

func decodeRecord(logged kernel.LogRecord) (record, error) {
	var r record
	err := json.Unmarshal(logged.Data, &r)
	return r, Error.Wrap(err)
}
