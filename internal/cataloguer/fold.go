package cataloguer

import (
	"slices"

	"coltsfootplank/internal/kernel"
)

const (
	historyLimit = 256
	// snapshotHistoryLimit is the maximum number of accepted edits in a snapshot.
	snapshotHistoryLimit = 64
)

// fold derives the catalogue by applying the records in log order. Its state depends on the records and adopted
// snapshots alone, so all routers reach the same decisions. It is not safe for concurrent use.
type fold struct {
	current *Catalogue
	// foldedOffset is the offset of the last record that current accounts for, -1 at the start.
	foldedOffset int64
	// baseUnixMS is the append time of the oldest record that a reader without a snapshot needs; 0 means unknown.
	baseUnixMS int64
	history    []HistoryEntry
	// gapEnd is above 0 while records before this offset are missing from the state. No edit can be accepted or
	// rejected during that time, because a lost record may have created the revision that the edit is based on. Records
	// that are read meanwhile are kept in deferred.
	gapEnd   int64
	deferred []kernel.LogRecord
}

func newFold() *fold {
	return &fold{current: (&Catalogue{Offset: -1}).Index(), foldedOffset: -1}
}

func (f *fold) complete() bool { return f.gapEnd == 0 }

// trimmed handles the removal of the records before first by retention. They are lost unless an adopted snapshot
// accounts for them.
func (f *fold) trimmed(first int64) {
	if first <= f.foldedOffset+1 {
		return
	}
	f.gapEnd = first
	f.deferred = nil
}

// apply applies one record. Records must be given in offset order. nowUnixMS is the upper limit for append times, so
// that a writer with a fast clock can't delay the next snapshot.
func (f *fold) apply(record kernel.LogRecord, nowUnixMS int64) {
	if record.Offset <= f.foldedOffset {
		return
	}
	decoded, err := decodeRecord(record.Data)
	if !f.complete() {
		f.deferred = append(f.deferred, record)
		if err == nil && decoded.Kind == recordSnapshot {
			decoded.Snapshot.BaseUnixMS = min(decoded.AppendedUnixMS, nowUnixMS)
			f.adopt(decoded.Snapshot, nowUnixMS)
		}
		return
	}
	f.foldedOffset = record.Offset
	if err != nil {
		f.addHistory(HistoryEntry{Revision: f.current.Revision, Offset: record.Offset, Reason: err.Error()})
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
		f.addHistory(entry)
		return
	}
	next := f.current.with(edit.Changes, offset)
	if err := next.Validate(); err != nil {
		entry.Reason = err.Error()
		f.addHistory(entry)
		return
	}
	if f.current.Revision == 0 {
		f.baseUnixMS = appended
	}
	f.current = next.Index()
	entry.Revision, entry.Accepted = next.Revision, true
	f.addHistory(entry)
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

// adopt replaces the state with the snapshot of a fold that has read further, and reports whether anything changed. It
// never returns to an older state. If the snapshot accounts for all lost records, the gap ends and the deferred records
// are applied.
func (f *fold) adopt(s *snapshot, nowUnixMS int64) bool {
	if s.Catalogue.Revision < f.current.Revision || s.FoldedOffset <= f.foldedOffset {
		return false
	}
	if s.Catalogue.Revision > f.current.Revision {
		f.current = s.Catalogue.Index()
	}
	f.foldedOffset = s.FoldedOffset
	f.baseUnixMS = s.BaseUnixMS
	f.mergeHistory(s.History)
	if f.complete() || s.FoldedOffset < f.gapEnd-1 {
		return true
	}
	deferred := f.deferred
	f.gapEnd, f.deferred = 0, nil
	for _, record := range deferred {
		f.apply(record, nowUnixMS)
	}
	return true
}

func (f *fold) snapshot() *snapshot {
	s := &snapshot{
		Catalogue:      *f.current,
		RevisionOffset: f.current.Offset,
		FoldedOffset:   f.foldedOffset,
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

func (f *fold) addHistory(entry HistoryEntry) {
	if accepted, ok := f.acceptedEdit(entry.Nonce); ok && accepted.Offset != entry.Offset {
		// This is a second copy of an accepted record: its append was repeated after a lost acknowledgement.
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

// acceptedEdit returns the accepted edit with the given nonce, if the history has one.
func (f *fold) acceptedEdit(nonce string) (HistoryEntry, bool) {
	for _, entry := range slices.Backward(f.history) {
		if nonce != "" && entry.Accepted && entry.Nonce == nonce {
			return entry, true
		}
	}
	return HistoryEntry{}, false
}

// outcome returns the outcome of an edit: its accepted entry, or the error that it was rejected with. decided is
// false while neither is known. If another edit was accepted on the same base, the edit is rejected even if its own
// record has not been read, or never will be.
func (f *fold) outcome(nonce string, base uint64) (accepted HistoryEntry, decided bool, err error) {
	if entry, ok := f.acceptedEdit(nonce); ok {
		return entry, true, nil
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
