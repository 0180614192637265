package administrator

import (
	"context"

	"coltsfootplank/internal/cataloguer"
)

// Catalogue is the part of *cataloguer.Cataloguer that the administration API uses.
type Catalogue interface {
	// Current returns the newest catalogue revision that this router knows.
	Current() *cataloguer.Catalogue
	// Apply replaces the revision base with the given catalogue. It returns only after reading the edit back from the
	// log and finding that it was accepted.
	Apply(ctx context.Context, base uint64, editor string, yaml []byte) (revision uint64, offset int64, err error)
	// History returns the last edits, newest first.
	History(limit int) []cataloguer.HistoryEntry
}

// Dumper returns the state of the process as JSON; an empty section means all sections.
type Dumper interface {
	Dump(section string) ([]byte, error)
}

// Drainer starts the planned stop of the process. Drain returns when the stop has begun, not when it has ended. Further
// calls have no effect.
type Drainer interface {
	Drain() error
}
