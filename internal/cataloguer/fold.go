package cataloguer

import (
	"slices"

	"coltsfootplank/internal/kernel"
)

const (
	historyLimit = 256
	// snapshotHistoryLimit bounds the accepted edits in a snapshot.
	snapshotHistoryLimit = 64
)

// fold computes the catalogue from the records of the log. It depends on nothing but the records (and
// snapshots) that it is given, so all routers decide alike. It is not safe for concurrent use.
type fold struct {
	current *Catalogue
	// folded is the offset of the last record that current accounts for, -1 at the start.
	folded int64
	// baseUnixMS is the append time of the oldest record that a reader without a snapshot needs; 0 is unknown.
	baseUnixMS int64
	history    []HistoryEntry
	// gapEnd is above 0 while records before this offset are lost. An edit can't be judged then: a lost
	// record may have made the revision that it is based on. Records read meanwhile wait in held.
	gapEnd int64
	held   []kernel.LogRecord
}

func newFold() *fold {
	return &fold{current: (&Catalogue{Offset: -1}).Index(), folded: -1}
}

func (f *fold) complete() bool { return f.gapEnd == 0 }

// trimmed notes that records before first are lost unless an adopted snapshot accounts for them.
func (f *fold) trimmed(first int64) {
	if first <= f.folded+1 {
		return
	}
	f.gapEnd = first
	f.held = nil
}

// apply folds one record. Records must come in offset order. now bounds append times, so that a writer with
// a fast clock can't postpone the next snapshot.
func (f *fold) apply(record kernel.LogRecord, nowUnixMS int64) {
	if record.Offset <= f.folded {
		return
	}
	decoded, err := decodeRecord(record.Data)
	if !f.complete() {
		f.held = append(f.held, record)
		if err == nil && decoded.Kind == recordSnapshot {
			decoded.Snapshot.BaseUnixMS = min(decoded.AppendedUnixMS, nowUnixMS)
			f.adopt(decoded.Snapshot, nowUnixMS)
		}
		return
	}
	f.folded = record.Offset
	if err != nil {
		f.remember(HistoryEntry{Revision: f.current.Revision, Offset: record.Offset, Reason: err.Error()})
		return
	}
	appended := min(decoded.AppendedUnixMS, nowUnixMS)
	switch decoded.Kind {
	case recordEdit:
		f.applyEdit(decoded, record.Offset, appended)
	case recordSnapshot:
		f.applySnapshot(decoded.Snapshot, appended)
	}
}

func (f *fold) applyEdit(edit *logRecord, offset, appended int64) {
	entry := HistoryEntry{
		Revision:      edit.BaseRevision,
		Offset:        offset,
		Nonce:         edit.Nonce,
		Editor:        edit.Editor,
		AppliedUnixMS: appended,
	}
	if edit.BaseRevision != f.current.Revision {
		conflict := &ConflictError{Base: edit.BaseRevision, Current: f.current.Revision}
		entry.Reason = conflict.Error()
		f.remember(entry)
		return
	}
	next := f.current.with(edit.Changes, offset)
	if err := next.Validate(); err != nil {
		entry.Reason = err.Error()
		f.remember(entry)
		return
	}
	if f.current.Revision == 0 {
		f.baseUnixMS = appended
	}
	f.current = next.Index()
	entry.Revision, entry.Accepted = next.Revision, true
	f.remember(entry)
}

func (f *fold) applySnapshot(s *snapshot, appended int64) {
	if s.Catalogue.Revision > f.current.Revision {
		f.current = s.Catalogue.Index()
		f.mergeHistory(s.History)
	}
	if s.Catalogue.Revision == f.current.Revision {
		f.baseUnixMS = appended
	}
}

// adopt takes over the state of a fold that has read further and returns whether anything changed. It never
// goes back. It ends a gap if the snapshot accounts for all lost records, and then folds the held records.
func (f *fold) adopt(s *snapshot, nowUnixMS int64) bool {
	if s.Catalogue.Revision < f.current.Revision || s.FoldedOffset <= f.folded {
		return false
	}
	if s.Catalogue.Revision > f.current.Revision {
		f.current = s.Catalogue.Index()
	}
	f.folded = s.FoldedOffset
	f.baseUnixMS = s.BaseUnixMS
	f.mergeHistory(s.History)
	if f.complete() || s.FoldedOffset < f.gapEnd-1 {
		return true
	}
	held := f.held
	f.gapEnd, f.held = 0, nil
	for _, record := range held {
		f.apply(record, nowUnixMS)
	}
	return true
}

func (f *fold) snapshot() *snapshot {
	s := &snapshot{
		Catalogue:      *f.current,
		RevisionOffset: f.current.Offset,
		FoldedOffset:   f.folded,
		BaseUnixMS:     f.baseUnixMS,
	}
	for _, entry := range f.history {
		if entry.Accepted {
			s.History = append(s.History, entry)
		}
	}
	s.History = s.History[max(0, len(s.History)-snapshotHistoryLimit):]
	return s
}

func (f *fold) remember(entry HistoryEntry) {
	if won, ok := f.winner(entry.Nonce); ok && won.Offset != entry.Offset {
		// A second copy of an accepted record: the append was repeated after a lost answer.
		return
	}
	f.history = append(f.history, entry)
	f.history = f.history[max(0, len(f.history)-historyLimit):]
}

func (f *fold) mergeHistory(entries []HistoryEntry) {
	for _, entry := range entries {
		at, known := slices.BinarySearchFunc(f.history, entry.Offset, func(e HistoryEntry, offset int64) int {
			return int(e.Offset - offset)
		})
		if !known {
			f.history = slices.Insert(f.history, at, entry)
		}
	}
	f.history = f.history[max(0, len(f.history)-historyLimit):]
}

// winner returns the accepted edit with this nonce.
func (f *fold) winner(nonce string) (HistoryEntry, bool) {
	for _, entry := range slices.Backward(f.history) {
		if nonce != "" && entry.Accepted && entry.Nonce == nonce {
			return entry, true
		}
	}
	return HistoryEntry{}, false
}

// outcome returns what became of an edit: its accepted entry, or the error that it was rejected with. decided
// is false while neither is known. A revision that another edit made on the same base decides against it,
// even if its own record has not been read (or never will be).
func (f *fold) outcome(nonce string, base uint64) (won HistoryEntry, decided bool, err error) {
	if won, ok := f.winner(nonce); ok {
		return won, true, nil
	}
	rejection := error(nil)
	for _, entry := range f.history {
		if entry.Accepted && entry.Revision == base+1 {
			return HistoryEntry{}, true, &ConflictError{Base: base, Current: f.current.Revision}
		}
		if !entry.Accepted && entry.Nonce == nonce {
			rejection = &RecordError{Reason: entry.Reason}
		}
	}
	return HistoryEntry{}, rejection != nil, rejection
}
