package forwarder

import (
	"bytes"
	"strconv"

	"coltsfootplank/internal/kernel"
)

// minStartID is the lowest id that the first event of a whole stream is taken to have.
const minStartID = 1

var (
	idField   = []byte("id:")
	dataField = []byte("data:")
)

// sequence decides by their ids which events of a stream's attempts the caller gets. Ids are numbers that increase. They
// are taken for consecutive unless the first event of a whole stream has another id than 1.
type sequence struct {
	// lastID is the id of the last event that the caller has, last its number. numbered is false as long as there is none.
	lastID   string
	last     uint64
	numbered bool
	// startID is the id of the first event of the whole stream, or minStartID if only later events were seen.
	startID uint64
	// consecutive is set if a jump of the ids means that events are missing.
	consecutive bool
	// events is the number of relayed events with an id.
	events int
	// unnumbered is set once an event without a number was relayed, after which the stream can't be resumed.
	unnumbered bool
	// highest is the highest number of an event of the current attempt.
	highest uint64
	// hasNew is set once the current attempt has had an event that the caller did not have.
	hasNew bool
}

// newSequence returns the sequence of a caller of a route. On resumable routes, lastID is the id of the last event that the
// caller already has; "" stands for none.
func newSequence(route *kernel.Route, lastID string) sequence {
	s := sequence{startID: minStartID}
	if number, err := strconv.ParseUint(lastID, 10, 64); err == nil && route.Resumable {
		s.lastID, s.last, s.numbered, s.consecutive = lastID, number, true, true
	}
	return s
}

// beginAttempt prepares for the events of another attempt, which may repeat some that the caller has.
func (s *sequence) beginAttempt() { s.hasNew, s.highest = false, 0 }

// endsEarly reports whether the current attempt has events, all of them before the last one that the caller has. Its end
// isn't the end of the caller's stream.
func (s *sequence) endsEarly() bool { return s.highest > 0 && s.highest < s.last }

// accept reports whether the caller gets the event with an id. Errors: *UnnumberedEventError, *EventOrderError,
// *StreamRestartedError, *MissingEventsError.
func (s *sequence) accept(id string, event []byte) (bool, error) {
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return s.acceptUnnumbered(event, id)
	}
	s.highest = max(s.highest, number)
	if s.numbered && number <= s.last {
		return false, s.checkRepeated(id, number)
	}
	isNext := number == s.last+1
	if s.consecutive && !isNext {
		return false, &MissingEventsError{ID: id, Last: s.lastID}
	}
	if !s.numbered {
		s.consecutive, s.startID = isNext, max(s.startID, number)
	}
	s.lastID, s.last, s.numbered, s.hasNew = id, number, true, true
	s.events++
	return true, nil
}

// checkRepeated checks an event that the caller already has; without an error it is dropped. An attempt may repeat events at
// its start, but an attempt that begins with the first event of the stream is another run, and its events don't continue
// those of the run before.
func (s *sequence) checkRepeated(id string, number uint64) error {
	switch {
	case s.hasNew:
		return &EventOrderError{ID: id, Last: s.lastID}
	case number <= s.startID:
		return &StreamRestartedError{ID: id, Last: s.lastID}
	}
	return nil
}

// acceptUnnumbered accepts comments, and data in streams that have no numbers at all. Other bytes are no events.
func (s *sequence) acceptUnnumbered(event []byte, id string) (bool, error) {
	if isComment(event) {
		return true, nil
	}
	if s.numbered || !hasData(event) {
		return false, &UnnumberedEventError{ID: id, Last: s.lastID}
	}
	s.unnumbered = true
	return true, nil
}

// eventID returns the id of an event, or "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// hasData reports whether an event has a data field.
func hasData(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if bytes.HasPrefix(line, dataField) {
			return true
		}
	}
	return false
}

// isComment reports whether an event consists of comment lines and empty lines.
func isComment(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if len(bytes.TrimRight(line, "\r")) > 0 && !bytes.HasPrefix(line, fieldMark) {
			return false
		}
	}
	return true
}
