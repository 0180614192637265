package subscriber

import (
	"cmp"
	"time"

	"coltsfootplank/internal/kernel"
)

// lapseHeartbeats is the number of heartbeats without a sign of an upstream after which the directory drops its registration.
const lapseHeartbeats = 3

// maxLateness is longer than the directory takes to execute a write that got no answer.
const maxLateness = 10 * time.Second

// stamp orders the records of an upstream by when its processes wrote them. The directory may execute a write seconds after it
// was sent, when it has long executed later ones.
type stamp struct {
	Incarnation int64 `json:"incarnation"`
	Sequence    int64 `json:"sequence"`
}

// newest returns the later of two stamps.
func (s stamp) newest(other stamp) stamp {
	if cmp.Or(cmp.Compare(other.Incarnation, s.Incarnation), cmp.Compare(other.Sequence, s.Sequence)) > 0 {
		return other
	}
	return s
}

// heldRecord is a record that the upstream may have written before the record that is in force, or before it left.
type heldRecord struct {
	record       kernel.DirectoryRecord
	registration kernel.Registration
	stamp        stamp
	// source is where the record comes from.
	source string
	// until is when the record is put in force. If its upstream were gone, the directory would have dropped it by then.
	until time.Time
	// silent reports whether the upstream wrote nothing before its removal for as long as a registration takes to lapse. Then its
	// own answer tells whether it has left.
	silent bool
}

// position returns the position of the newest record, whether it is in force or held back.
func (e *entry) position() kernel.Position {
	if e.held != nil {
		return e.held.record.Position
	}
	return e.record.Position
}

// doubts reports whether a record may be outdated: an earlier process of the upstream wrote it, or the same process wrote it
// before another one that is known, or its upstream has been removed since. The sequence alone doesn't show the latter where
// the directory stores changes only, and not each heartbeat. Only if the registration may have lapsed in an outage of the
// directory, its upstream is expected back. What a reader passes on has been held back by it. That an upstream is leaving is
// never doubted, unless an earlier process says so.
func (e *entry) doubts(next stamp, leaving bool, a arrival) bool {
	removed := !e.goneAt.IsZero() && !e.lapsed && a.source == sourceDirectory && a.at.Sub(e.droppedAt) < maxLateness
	switch known := next.Incarnation != 0 && e.stamp.Incarnation != 0; {
	case known && next.Incarnation != e.stamp.Incarnation:
		return next.Incarnation < e.stamp.Incarnation
	case leaving:
		return false
	case !known:
		return removed
	case next.Sequence > 0 && next.Sequence <= e.stamp.Sequence:
		return true
	default:
		return removed
	}
}

// contradicts reports whether the record in force isn't newer than what the upstream has stated before it left.
func (e *entry) contradicts(stated stamp) bool {
	return stated != (stamp{}) && e.usable && e.goneAt.IsZero() && !e.registration.Leaving && stated.newest(e.stamp) == stated
}

// holdInForce holds back the record in force, and puts an earlier one in its place, by which the upstream is leaving or gone.
func (t *table) holdInForce(known *entry, earlier kernel.DirectoryRecord, registration kernel.Registration, a arrival) {
	held := &heldRecord{record: known.record, registration: known.registration, stamp: known.stamp, source: sourceDirectory, until: a.heldUntil}
	*known = entry{
		record: earlier, registration: registration, usable: earlier.Value != nil, changed: earlier.Position, heardAt: known.heardAt,
		held: held,
	}
	if earlier.Value == nil {
		known.goneAt, known.droppedAt = a.at, a.at
	}
}

// hold holds back a record. It takes the place of one that is held already, and its time, since both show a sign of the upstream
// in the same era.
func (e *entry) hold(next *heldRecord) {
	if e.held != nil && e.held.record.Position.Era() == next.record.Position.Era() {
		next.until = e.held.until
	}
	e.held = next
}

// postpone holds back all held records until a time at least, because the directory can't have dropped any.
func (t *table) postpone(until time.Time) {
	for _, known := range t.entries {
		if known.held != nil && known.held.until.Before(until) {
			known.held.until = until
		}
	}
}

// forgetHeld drops the held records before a position, up to which a reader states what is in force. What a reader has stated
// itself stays held.
func (t *table) forgetHeld(next kernel.Position) {
	for _, known := range t.entries {
		if known.held != nil && known.held.source == sourceDirectory && known.held.record.Position < next {
			known.held = nil
		}
	}
}

// settled returns the position up to which every change is known and none is held back.
func (t *table) settled() kernel.Position {
	settled := t.next
	for _, known := range t.entries {
		if known.held != nil {
			settled = min(settled, known.held.record.Position)
		}
	}
	return settled
}

// release puts the held records that are due in force.
func (t *table) release(now time.Time) (released []kernel.DirectoryRecord) {
	for _, known := range t.entries {
		held := known.held
		if held == nil || now.Before(held.until) {
			continue
		}
		t.replace(known, held.record, held.registration, true, true)
		known.stamp = held.stamp
		released = append(released, held.record)
	}
	return released
}
