package cataloguer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootplank/internal/kernel"
)

// foldMachine is a state machine test that compares a fold that restarts, loses records and adopts snapshots with a
// reference fold that reads every record.
type foldMachine struct {
	log       []kernel.LogRecord
	reference *fold
	revisions map[uint64]*Catalogue
	snapshots []*snapshot
	atOffset  map[int64]uint64
	nonces    []string
	reader    *fold
	next      int64
}

func encodeRecord(t *rapid.T, record *logRecord) []byte {
	data, err := record.encode()
	assert.NilError(t, err)
	return data
}

func (m *foldMachine) append(data []byte) {
	record := kernel.LogRecord{Offset: int64(len(m.log)), Data: data}
	m.log = append(m.log, record)
	m.reference.apply(record, 1000)
	m.revisions[m.reference.current.Revision] = m.reference.current
	m.atOffset[record.Offset] = m.reference.current.Revision
	m.snapshots = append(m.snapshots, m.reference.snapshot())
}

// Edit appends an edit on the current or an outdated base. The edit may be invalid and may be appended twice.
func (m *foldMachine) Edit(t *rapid.T) {
	nonce := fmt.Sprintf("n%d", len(m.nonces))
	m.nonces = append(m.nonces, nonce)
	current := m.reference.current.Revision
	data := encodeRecord(t, &logRecord{
		Kind:           recordEdit,
		AppendedUnixMS: 1,
		Nonce:          nonce,
		BaseRevision:   current - min(current, uint64(rapid.IntRange(0, 2).Draw(t, "outdated"))),
		Changes: &Changes{Workspaces: []Workspace{{
			Name:   rapid.SampledFrom([]string{"a", "b", "c", "Invalid Name"}).Draw(t, "name"),
			Weight: float64(len(m.log) + 1),
		}}},
	})
	for range rapid.IntRange(1, 2).Draw(t, "copies") {
		m.append(data)
	}
}

// Republish appends a snapshot, which may be up to two records old.
func (m *foldMachine) Republish(t *rapid.T) {
	if len(m.snapshots) == 0 {
		t.Skip("no snapshot yet")
	}
	lag := rapid.IntRange(1, min(3, len(m.snapshots))).Draw(t, "lag")
	m.append(encodeRecord(t, &logRecord{Kind: recordSnapshot, AppendedUnixMS: 1, Snapshot: m.snapshots[len(m.snapshots)-lag]}))
}

// Garbage appends a record that is not a catalogue record.
func (m *foldMachine) Garbage(*rapid.T) { m.append([]byte("{")) }

// Read lets the reader apply some records.
func (m *foldMachine) Read(t *rapid.T) {
	for range rapid.IntRange(1, 5).Draw(t, "records") {
		if m.next < int64(len(m.log)) {
			m.reader.apply(m.log[m.next], 1000)
			m.next++
		}
	}
}

// Trim lets retention remove records before the reader has read them.
func (m *foldMachine) Trim(t *rapid.T) {
	m.next += int64(rapid.IntRange(0, len(m.log)-int(m.next)).Draw(t, "lost"))
	m.reader.trimmed(m.next)
}

// Adopt gives the reader a peer's snapshot.
func (m *foldMachine) Adopt(t *rapid.T) {
	if len(m.snapshots) == 0 {
		t.Skip("no snapshot yet")
	}
	s := *rapid.SampledFrom(m.snapshots).Draw(t, "peer")
	m.reader.adopt(&s, 1000)
}

// Restart replaces the reader with one that starts at the first record.
func (m *foldMachine) Restart(*rapid.T) { m.reader, m.next = newFold(), 0 }

func (m *foldMachine) Check(t *rapid.T) {
	reader := m.reader
	known := m.revisions[reader.current.Revision]
	assert.Assert(t, known != nil, "revision %d does not exist", reader.current.Revision)
	assert.Assert(t, Diff(known, reader.current).Empty() && Diff(reader.current, known).Empty(), "revision %d differs", known.Revision)
	if reader.complete() && reader.foldedOffset >= 0 {
		assert.Equal(t, reader.current.Revision, m.atOffset[reader.foldedOffset], "at offset %d", reader.foldedOffset)
	}
	for _, nonce := range m.nonces {
		if accepted, ok := reader.acceptedEdit(nonce); ok {
			want, _ := m.reference.acceptedEdit(nonce)
			assert.DeepEqual(t, accepted, want)
		}
	}
}

// TestFoldAgrees guards against two routers that reach different decisions on an edit, and against a reader that
// continues from a state without the lost records.
func TestFoldAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &foldMachine{
			reference: newFold(),
			revisions: map[uint64]*Catalogue{0: newFold().current},
			atOffset:  make(map[int64]uint64),
			reader:    newFold(),
		}
		last := uint64(0)
		actions := rapid.StateMachineActions(m)
		check, restart := actions[""], actions["Restart"]
		actions["Restart"] = func(t *rapid.T) { restart(t); last = 0 }
		actions[""] = func(t *rapid.T) {
			check(t)
			assert.Assert(t, m.reader.current.Revision >= last, "went back from revision %d", last)
			last = m.reader.current.Revision
		}
		t.Repeat(actions)
	})
}

// TestAdoptOlder guards against a snapshot of an older revision that makes the fold skip records it has not read.
func TestAdoptOlder(t *testing.T) {
	f := newFold()
	f.current = f.current.with(&Changes{}, 0).with(&Changes{}, 1).Index()
	f.foldedOffset = 1
	older := f.snapshot()
	older.Catalogue.Revision, older.FoldedOffset = 1, 5
	assert.Assert(t, !f.adopt(older, 1000))
	edit := &logRecord{Kind: recordEdit, BaseRevision: 2, Nonce: "n", Changes: &Changes{}}
	data, err := edit.encode()
	assert.NilError(t, err)
	f.apply(kernel.LogRecord{Offset: 2, Data: data}, 1000)
	assert.Equal(t, f.current.Revision, uint64(3))
}
