package administrator

import (
	"context"
	"time"
)

// Snapshot is one revision of the catalogue as text. Offset is the log offset of the record that made it.
type Snapshot struct {
	Revision uint64
	Offset   int64
	YAML     []byte
}

// HistoryRow is one edit, accepted or refused. Reason says why it was refused.
type HistoryRow struct {
	Revision uint64
	Offset   int64
	Editor   string
	Accepted bool
	Reason   string
	Applied  time.Time
}

// Catalogue is what the administration API needs of the catalogue. Errors of Apply: *ConflictError,
// *ValidationError, *UnavailableError, *OutcomeUnknownError; errors of Validate: *ValidationError.
type Catalogue interface {
	// Current returns the newest revision that this router knows.
	Current() (Snapshot, error)
	// Validate checks a whole catalogue without changing anything.
	Validate(yaml []byte) error
	// Apply replaces the revision base by the given catalogue. It returns only after the edit was read back
	// from the log as the winner.
	Apply(ctx context.Context, base uint64, editor string, yaml []byte) (revision uint64, offset int64, err error)
	// History returns the last edits, newest first.
	History(limit int) []HistoryRow
}

// Dumper returns the state of the process as JSON; an empty section means all.
type Dumper interface {
	Dump(section string) ([]byte, error)
}

// Drainer starts the planned stop of the process. Drain returns when the stop has begun, not when it is over;
// calling it again is harmless.
type Drainer interface {
	Drain() error
}
