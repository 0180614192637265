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
	record kernel.DirectoryRecord
	// registration is valid if usable is set.
	registration kernel.Registration
	usable       bool
	// changed is the position of the last record that changed the registration. Heartbeats don't count.
	changed kernel.Position
	// goneAt is when an upstream whose record was dropped counts as gone; zero while it has a record.
	goneAt time.Time
	// removeAt is when the entry of an upstream whose record was dropped is removed.
	removeAt time.Time
}

// goneRetention is how long the entry of a gone upstream is kept, so that a grant from another router isn't dispatched
// to it.
const goneRetention = time.Minute

func newTable() *table { return &table{entries: make(map[string]*entry), changed: noPosition} }

// apply applies a record and reports whether the usable upstreams may have changed. A dropped record takes effect at
// goneAt.
func (t *table) apply(record kernel.DirectoryRecord, decode func(kernel.DirectoryRecord) (kernel.Registration, error),
	goneAt time.Time,
) (bool, error) {
	known := t.entries[record.Key]
	if known != nil && known.record.Position >= record.Position {
		return false, nil
	}
	if known == nil {
		known = &entry{changed: noPosition}
		t.entries[record.Key] = known
	}
	if record.Value == nil {
		return t.markDropped(known, record, goneAt), nil
	}
	if !known.goneAt.IsZero() || !bytes.Equal(known.record.Value, record.Value) {
		registration, err := decode(record)
		if known.usable && registration.Incarnation == known.registration.Incarnation {
			// The remaining time passes from heartbeat to heartbeat. The first record of a process states it as of its start.
			registration.ColdRemaining = known.registration.ColdRemaining
		}
		changed := registration != known.registration || (err == nil) != known.usable || !known.goneAt.IsZero()
		*known = entry{record: record, registration: registration, usable: err == nil, changed: known.changed}
		if changed {
			known.changed = record.Position
			t.changed = max(t.changed, record.Position)
		}
		return changed, err
	}
	known.record = record
	return false, nil
}

// markDropped marks an upstream's record as dropped, with effect from goneAt, or immediately if the upstream was
// leaving.
func (t *table) markDropped(known *entry, record kernel.DirectoryRecord, goneAt time.Time) bool {
	known.record = record
	if known.goneAt.IsZero() {
		known.goneAt = goneAt
		known.removeAt = goneAt.Add(goneRetention)
		if known.registration.Leaving {
			// This is in the past, but not the zero time, which would mean that there is a record.
			known.goneAt = time.Time{}.Add(time.Nanosecond)
		}
		known.changed = record.Position
		t.changed = max(t.changed, record.Position)
	}
	return true
}

// dropMissing marks the records of the upstreams that aren't registered as dropped, and returns these records. registered
// holds the names of all that were registered at position next.
func (t *table) dropMissing(registered map[string]bool, next kernel.Position, goneAt time.Time) (dropped []kernel.DirectoryRecord) {
	for key, known := range t.entries {
		if !registered[key] && known.record.Position < next && known.goneAt.IsZero() {
			record := kernel.DirectoryRecord{Position: max(known.record.Position, next-1), Key: key}
			t.markDropped(known, record, goneAt)
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

// upstreams returns the usable registrations at now, sorted by name, and when the next of them counts as gone.
func (t *table) upstreams(now time.Time) (list []kernel.Registration, next time.Time) {
	for _, key := range slices.Sorted(maps.Keys(t.entries)) {
		known := t.entries[key]
		switch {
		case !known.goneAt.IsZero() && !now.Before(known.removeAt):
			delete(t.entries, key)
			continue
		case !known.goneAt.IsZero() && !now.Before(known.goneAt):
			continue
		case !known.goneAt.IsZero() && (next.IsZero() || known.goneAt.Before(next)):
			next = known.goneAt
		}
		if known.usable {
			registration := known.registration
			registration.Registered = int64(known.changed) + 1
			list = append(list, registration)
		}
	}
	return list, next
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
