package subscriber

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"coltsfootplank/internal/kernel"
)

// noOffset is below the offset of each record; the first one has 0.
const noOffset = -1

// table holds the newest known record of each upstream. Records are ordered by their offset, wherever they come from.
type table struct {
	entries map[string]*entry
	// changed is the offset of the last record that changed more than a heartbeat.
	changed int64
}

// entry is what is known of one upstream.
type entry struct {
	record kernel.DirectoryRecord
	// registration is valid if usable is set.
	registration kernel.Registration
	usable       bool
	// changed is the offset of the last record that changed more than a heartbeat.
	changed int64
	// dropAt is when an upstream whose record has lapsed counts as gone; zero if its record stands.
	dropAt time.Time
	// forgetAt is when the memory of an upstream that is gone ends.
	forgetAt time.Time
}

// forgetAfter is how long it is remembered that an upstream is gone, so that no grant of another router revives it.
const forgetAfter = time.Minute

func newTable() *table { return &table{entries: make(map[string]*entry), changed: noOffset} }

// apply takes a record. A dropped record counts from dropAt on. It returns whether the usable upstreams may have changed.
func (t *table) apply(record kernel.DirectoryRecord, decode func(kernel.DirectoryRecord) (kernel.Registration, error), dropAt time.Time) (bool, error) {
	known := t.entries[record.Key]
	if known != nil && known.record.Offset >= record.Offset {
		return false, nil
	}
	if known == nil {
		known = &entry{changed: noOffset}
		t.entries[record.Key] = known
	}
	if record.Value == nil {
		return t.lapse(known, record, dropAt), nil
	}
	if !known.dropAt.IsZero() || !bytes.Equal(known.record.Value, record.Value) {
		registration, err := decode(record)
		changed := registration != known.registration || (err == nil) != known.usable || !known.dropAt.IsZero()
		*known = entry{record: record, registration: registration, usable: err == nil, changed: known.changed}
		if changed {
			known.changed = record.Offset
			t.changed = max(t.changed, record.Offset)
		}
		return changed, err
	}
	known.record = record
	return false, nil
}

// lapse notes that an upstream's record was dropped.
func (t *table) lapse(known *entry, record kernel.DirectoryRecord, dropAt time.Time) bool {
	known.record = record
	if known.dropAt.IsZero() {
		known.dropAt = dropAt
		known.forgetAt = dropAt.Add(forgetAfter)
		if known.registration.Leaving {
			known.dropAt = time.Time{}.Add(time.Nanosecond)
		}
		known.changed = record.Offset
		t.changed = max(t.changed, record.Offset)
	}
	return true
}

// dropMissing drops what isn't among the newest records of all keys as of an offset.
func (t *table) dropMissing(page kernel.DirectoryPage, dropAt time.Time) bool {
	changed := false
	present := make(map[string]bool, len(page.Records))
	for _, record := range page.Records {
		present[record.Key] = true
	}
	for key, known := range t.entries {
		if !present[key] && known.record.Offset < page.Next && known.dropAt.IsZero() {
			t.lapse(known, kernel.DirectoryRecord{Offset: max(known.record.Offset, page.Next-1), Key: key}, dropAt)
			changed = true
		}
	}
	return changed
}

// upstreams returns the registrations that stand at now, sorted by name, and when the next of them lapses.
func (t *table) upstreams(now time.Time) (list []kernel.Registration, next time.Time) {
	for _, key := range slices.Sorted(maps.Keys(t.entries)) {
		known := t.entries[key]
		switch {
		case !known.dropAt.IsZero() && !now.Before(known.forgetAt):
			delete(t.entries, key)
			continue
		case !known.dropAt.IsZero() && !now.Before(known.dropAt):
			continue
		case !known.dropAt.IsZero() && (next.IsZero() || known.dropAt.Before(next)):
			next = known.dropAt
		}
		if known.usable {
			list = append(list, known.registration)
		}
	}
	return list, next
}

// departed says whether an upstream is known to be leaving or gone.
func (t *table) departed(now time.Time, name string) bool {
	known := t.entries[name]
	if known == nil {
		return false
	}
	return !known.usable || known.registration.Leaving || !known.dropAt.IsZero() && !now.Before(known.dropAt)
}
