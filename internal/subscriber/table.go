package subscriber

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"coltsfootplank/internal/kernel"
)

// noPosition is lower than the position of any record; the first record has position 0.
const noPosition kernel.Position = -1

// table holds the newest known record of each upstream. Records are ordered by position, regardless of their source.
type table struct {
	entries map[string]*entry
	// changed is the position of the last record that changed a registration. Heartbeats don't count.
	changed kernel.Position
	// next is the position up to which every change is known. Later ones may be known too.
	next kernel.Position
}

// entry is the known state of one upstream.
type entry struct {
	// record is the newest record that is in force.
	record kernel.DirectoryRecord
	// registration is valid if usable is set.
	registration kernel.Registration
	usable       bool
	// stamp is the newest one that the upstream has stated.
	stamp stamp
	// changed is the position of the last record that changed the registration. Heartbeats don't count.
	changed kernel.Position
	// goneAt is when an upstream whose record was dropped counts as gone; zero while it has a record.
	goneAt time.Time
	// droppedAt is from when on a dropped record is no longer in force, unless the upstream was leaving anyway.
	droppedAt time.Time
	// heardAt is when the newest record of the upstream arrived, and silent reports whether that was a lapse before it was dropped.
	heardAt time.Time
	silent  bool
	// lapsed reports whether the dropped record may have lapsed in an outage of the directory.
	lapsed bool
	// held is a later record that may be outdated, nil if there is none.
	held *heldRecord
}

// goneRetention is how long the entry of a gone upstream is kept, so that a grant from another router isn't dispatched
// to it.
const goneRetention = time.Minute

func newTable() *table { return &table{entries: make(map[string]*entry), changed: noPosition} }

// arrival tells how records have come.
type arrival struct {
	source string
	at     time.Time
	// goneAt is when an upstream whose record is dropped counts as gone. It is later than at if the record may have lapsed in an
	// outage of the directory.
	goneAt time.Time
	// lapse is the time of silence after which the directory drops a registration.
	lapse time.Duration
	// left are the upstreams whose record, if it is dropped, can't have lapsed in an outage.
	left []string
	// heldUntil is until when records that may be outdated are held back.
	heldUntil time.Time
}

// apply applies a record and reports whether the usable upstreams may have changed, or will change at a known time. A dropped
// record takes effect at goneAt.
func (t *table) apply(record kernel.DirectoryRecord, decode func(kernel.DirectoryRecord) (kernel.Registration, error),
	a arrival,
) (bool, error) {
	known := t.entries[record.Key]
	if known != nil && known.position() >= record.Position {
		return false, nil
	}
	if known == nil {
		known = &entry{changed: noPosition}
		t.entries[record.Key] = known
	}
	if record.Value == nil {
		if slices.Contains(a.left, record.Key) {
			a.goneAt = a.at
		}
		return t.markDropped(known, record, a), nil
	}
	silent := known.silent
	known.heardAt = a.at
	if known.goneAt.IsZero() && bytes.Equal(known.record.Value, record.Value) {
		known.record, known.held = record, nil
		return false, nil
	}
	registration, err := decode(record)
	if known.usable && registration.Incarnation == known.registration.Incarnation {
		// The remaining time passes from heartbeat to heartbeat. The first record of a process states it as of its start.
		registration.ColdRemaining = known.registration.ColdRemaining
	}
	next := stamp{registration.Incarnation, registration.Sequence}
	// Heartbeats, which change nothing else, are no change of the registration.
	registration.Sequence = 0
	changed := registration != known.registration || (err == nil) != known.usable || !known.goneAt.IsZero()
	if changed && err == nil && known.doubts(next, registration.Leaving, a) {
		known.hold(&heldRecord{record: record, registration: registration, stamp: next, source: a.source, until: a.heldUntil, silent: silent})
		return true, nil
	}
	t.replace(known, record, registration, err == nil, changed)
	known.stamp = known.stamp.newest(next)
	return changed, err
}

// replace puts a record in force.
func (t *table) replace(known *entry, record kernel.DirectoryRecord, registration kernel.Registration, usable, changed bool) {
	*known = entry{record: record, registration: registration, usable: usable, stamp: known.stamp, changed: known.changed, heardAt: known.heardAt}
	if changed {
		known.changed = record.Position
		t.changed = max(t.changed, record.Position)
	}
}

// markDropped marks an upstream's record as dropped, with effect from goneAt, or immediately if the upstream was
// leaving.
func (t *table) markDropped(known *entry, record kernel.DirectoryRecord, a arrival) bool {
	known.record = record
	if known.held != nil && known.held.record.Position < record.Position {
		known.held = nil
		// Followers may hold the record back too.
		known.changed = record.Position
		t.changed = max(t.changed, record.Position)
	}
	if known.goneAt.IsZero() {
		known.goneAt, known.droppedAt, known.lapsed = a.goneAt, a.goneAt, a.goneAt.After(a.at)
		known.silent = a.source == sourceDirectory && !known.registration.Leaving && a.at.Sub(known.heardAt) >= a.lapse
		if known.registration.Leaving {
			// This is in the past, but not the zero time, which would mean that there is a record.
			known.goneAt, known.lapsed = time.Time{}.Add(time.Nanosecond), false
		}
		known.changed = record.Position
		t.changed = max(t.changed, record.Position)
	}
	return true
}

// extendLapses lets the upstreams whose registration may have lapsed count as gone no earlier than until. After a restoration they
// couldn't register again, because the directory was restored, or away, once more.
func (t *table) extendLapses(now, until time.Time) {
	for _, known := range t.entries {
		if known.lapsed && known.goneAt.After(now) && known.goneAt.Before(until) {
			known.goneAt, known.droppedAt = until, until
		}
	}
}

// dropMissing marks the records of the upstreams that aren't registered as dropped, and returns these records. registered
// holds the names of all that were registered at position next.
func (t *table) dropMissing(registered map[string]bool, next kernel.Position, a arrival) (dropped []kernel.DirectoryRecord) {
	for key, known := range t.entries {
		if registered[key] || known.record.Position >= next {
			continue
		}
		if a.source == sourceDirectory && known.position() < next {
			// Peers don't list what they hold back themselves.
			known.held = nil
		}
		if known.goneAt.IsZero() {
			record := kernel.DirectoryRecord{Position: max(known.record.Position, next-1), Key: key}
			t.markDropped(known, record, a)
			dropped = append(dropped, record)
		}
	}
	return dropped
}

// registered returns the names of all upstreams that have a record.
func (t *table) registered() []string {
	names := []string{}
	for key, known := range t.entries {
		if known.goneAt.IsZero() {
			names = append(names, key)
		}
	}
	return names
}

// upstreams returns the usable registrations at now, sorted by name, and when the next of them counts as gone or a held record
// is due.
func (t *table) upstreams(now time.Time) (list []kernel.Registration, next time.Time) {
	for _, key := range slices.Sorted(maps.Keys(t.entries)) {
		known := t.entries[key]
		if known.held != nil {
			next = earlier(next, known.held.until)
		}
		switch {
		case !known.goneAt.IsZero() && now.Sub(known.droppedAt) >= goneRetention && known.held == nil:
			delete(t.entries, key)
			continue
		case !known.goneAt.IsZero() && !now.Before(known.goneAt):
			continue
		case !known.goneAt.IsZero():
			next = earlier(next, known.goneAt)
		}
		if known.usable {
			registration := known.registration
			registration.Registered = int64(known.changed) + 1
			list = append(list, registration)
		}
	}
	return list, next
}

// earlier returns the earlier of two times, of which the first may be zero for none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// departed reports whether an upstream is known to be leaving, gone or unusable. An upstream without an entry is gone if the
// registration by which another router knows it isn't newer than what is known here.
func (t *table) departed(now time.Time, name string, registered int64) bool {
	known := t.entries[name]
	if known == nil {
		return registered > 0 && registered <= int64(t.next)
	}
	return !known.usable || known.registration.Leaving || !known.goneAt.IsZero() && !now.Before(known.goneAt)
}
