package leaser

import (
	"encoding/json"
	"time"

	"coltsfootplank/internal/kernel"
)

// Stream is the log stream of the leases.
const Stream = "leases"

const (
	// noLease is superseded by the first lease of an engine.
	noLease int64 = -1
	// forgetAfter is the distance in time from which on a record no longer supersedes the one before it, but
	// none. It must be well above the time of a lease and the difference of two clocks, and well below the
	// log's retention: a router that started later doesn't know the offset of a lease that the log has dropped.
	forgetAfter = time.Hour
)

// record is one record of the stream, in JSON. It is valid if and only if it supersedes the current lease of the
// engine in the fold. A TTL of 0 releases the lease.
type record struct {
	Engine      string `json:"engine"`
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	Supersedes  int64  `json:"supersedes_offset"`
	TTLMS       int64  `json:"ttl_ms"`
	Nonce       string `json:"nonce"`
	UnixMS      int64  `json:"unix_ms"`
}

// entry is the current lease of an engine. readAt is when this router read it. assumed tells that the record
// which it supersedes was lost.
type entry struct {
	record
	offset  int64
	readAt  time.Time
	assumed bool
}

// fold computes the lease table. Which record is valid depends on the records alone; readAt only delays this
// router's own takeover.
type fold struct {
	leases map[string]entry
	// firstKept is above 0 after records before it were lost. A record that supersedes a lost one is taken for
	// valid if nothing else is known of the engine. Of several such records, which need a race right at the
	// edge of the retention, the last one counts.
	firstKept int64
}

// current returns the offset that a valid record made at unixMS supersedes.
func (f *fold) current(engine string, unixMS int64) int64 {
	current, known := f.leases[engine]
	if !known || unixMS-current.UnixMS > forgetAfter.Milliseconds() {
		return noLease
	}
	return current.offset
}

// apply folds one record and tells whether it is the valid one.
func (f *fold) apply(r record, offset int64, now time.Time) bool {
	last, known := f.leases[r.Engine]
	assumed := r.Supersedes != f.current(r.Engine, r.UnixMS)
	if assumed && (r.Supersedes >= f.firstKept || r.Supersedes == noLease || (known && !last.assumed)) {
		return false
	}
	f.leases[r.Engine] = entry{record: r, offset: offset, readAt: now, assumed: assumed}
	return true
}

func decodeRecord(logged kernel.LogRecord) (record, error) {
	var r record
	err := json.Unmarshal(logged.Data, &r)
	return r, Error.Wrap(err)
}
