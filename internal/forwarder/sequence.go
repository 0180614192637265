package forwarder

import (
	"bytes"
	"strconv"
)

var (
	idField     = []byte("id:")
	commentMark = []byte(":")
)

// sequence decides by their ids which events of a stream's attempts the caller gets. Ids are numbers that increase. They
// are consecutive if the first event has the id after the caller's position.
type sequence struct {
	// lastID is the id of the last event that the caller has, last its number. numbered is false as long as there is none.
	lastID   string
	last     uint64
	numbered bool
	// consecutive is set if a jump of the ids means that events are missing.
	consecutive bool
	// events is the number of relayed events with an id.
	events int
	// unnumbered is set once an event without a number was relayed, after which the stream can't be resumed.
	unnumbered bool
	// advanced is set once the current attempt has had an event that the caller did not have.
	advanced bool
}

// newSequence returns the sequence of a caller that already has the event with the given id; "" stands for none.
func newSequence(callerHas string) sequence {
	s := sequence{}
	if number, err := strconv.ParseUint(callerHas, 10, 64); err == nil {
		s.lastID, s.last, s.numbered = callerHas, number, true
	}
	return s
}

// beginAttempt prepares for the events of another attempt, which may repeat some that the caller has.
func (s *sequence) beginAttempt() { s.advanced = false }

// accept reports whether the caller gets an event. Errors: *UnnumberedEventError, *EventOrderError, *MissingEventsError.
func (s *sequence) accept(event []byte) (bool, error) {
	id := eventID(event)
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return s.acceptUnnumbered(event, id)
	}
	if s.numbered && number <= s.last {
		if s.advanced {
			return false, &EventOrderError{ID: id, Last: s.lastID}
		}
		return false, nil
	}
	if s.events == 0 {
		s.consecutive = number == s.last+1
	} else if s.consecutive && number != s.last+1 {
		return false, &MissingEventsError{ID: id, Last: s.lastID}
	}
	s.lastID, s.last, s.numbered, s.advanced = id, number, true, true
	s.events++
	return true, nil
}

// acceptUnnumbered accepts comments, and events of streams that have no numbers at all.
func (s *sequence) acceptUnnumbered(event []byte, id string) (bool, error) {
	if isComment(event) {
		return true, nil
	}
	if s.numbered {
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

// isComment reports whether an event consists of comment lines and empty lines.
func isComment(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if len(bytes.TrimRight(line, "\r")) > 0 && !bytes.HasPrefix(line, commentMark) {
			return false
		}
	}
	return true
}
