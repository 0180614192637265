package cataloguer

import (
	"github.com/goccy/go-yaml"
)

// Stream is the name of the log stream that holds the catalogue.
const Stream = "catalogue"

type recordKind string

const (
	recordEdit     recordKind = "edit"
	recordSnapshot recordKind = "snapshot"
)

// logRecord is one record of the stream, encoded as YAML. An edit is accepted if and only if BaseRevision is the
// current revision at that point of the log and the resulting catalogue is valid.
type logRecord struct {
	Kind           recordKind `yaml:"kind"`
	AppendedUnixMS int64      `yaml:"appended_unix_ms"`
	BaseRevision   uint64     `yaml:"base_revision,omitempty"`
	Nonce          string     `yaml:"nonce,omitempty"`
	Editor         string     `yaml:"editor,omitempty"`
	Changes        *Changes   `yaml:"changes,omitempty"`
	Snapshot       *snapshot  `yaml:"snapshot,omitempty"`
}

// snapshot is the state of a fold that has applied the log up to and including FoldedOffset. BaseUnixMS is the append
// time of the oldest record that a reader without a snapshot needs, 0 if it is unknown. History holds the newest
// accepted edits, so that a call of Apply learns the outcome even if the adopted snapshot skips its record.
type snapshot struct {
	Catalogue      Catalogue      `yaml:"catalogue"`
	RevisionOffset int64          `yaml:"revision_offset"`
	FoldedOffset   int64          `yaml:"folded_offset"`
	BaseUnixMS     int64          `yaml:"base_unix_ms,omitempty"`
	History        []HistoryEntry `yaml:"history,omitempty"`
}

// HistoryEntry is one edit that was read from the log. Revision is the revision that it created, or its base revision
// if it was rejected. Reason is the reason of a rejection. AppliedUnixMS is the wall clock time of the appending
// router.
type HistoryEntry struct {
	Revision      uint64 `yaml:"revision"`
	Offset        int64  `yaml:"offset"`
	Nonce         string `yaml:"nonce"`
	Editor        string `yaml:"editor"`
	Accepted      bool   `yaml:"accepted"`
	Reason        string `yaml:"reason,omitempty"`
	AppliedUnixMS int64  `yaml:"applied_unix_ms"`
}

func (r *logRecord) encode() ([]byte, error) {
	data, err := yaml.Marshal(r)
	return data, Error.Wrap(err)
}

// decodeRecord decodes and validates a record. It ignores unknown fields, so that routers of different versions can
// read the same log during an upgrade.
func decodeRecord(data []byte) (*logRecord, error) {
	var record logRecord
	if err := yaml.Unmarshal(data, &record); err != nil {
		return nil, Error.Wrap(err)
	}
	switch {
	case record.Kind == recordEdit && record.Changes != nil:
	case record.Kind == recordSnapshot && record.Snapshot != nil:
		if err := record.Snapshot.prepare(); err != nil {
			return nil, err
		}
	default:
		return nil, &RecordError{Reason: "neither an edit with changes nor a snapshot"}
	}
	return &record, nil
}

func (s *snapshot) prepare() error {
	s.Catalogue.Offset = s.RevisionOffset
	return s.Catalogue.Validate()
}

func decodeSnapshot(data []byte) (*snapshot, error) {
	var s snapshot
	if err := yaml.Unmarshal(data, &s); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := s.prepare(); err != nil {
		return nil, err
	}
	return &s, nil
}
