package forwarder

import (
	"bytes"
	"io"

	"coltsfootplank/internal/connector"
)

const (
	// eventBufferBytes is the initial size of an event buffer; it holds a few events.
	eventBufferBytes = 2 << 10
	// maxEventBytes is the size limit of one event.
	maxEventBytes = 256 << 10
)

// fieldMark ends the name of a field. A line that begins with it is a comment.
var fieldMark = []byte(":")

// eventBuffer splits the body of a stream into events. An event ends with an empty line; lines end with LF or CR LF.
type eventBuffer struct {
	data []byte
	// next is the offset of the next event. No event ends before the line end at offset scanned.
	next, scanned int
	memory        *connector.Memory
}

func newEventBuffer(memory *connector.Memory) *eventBuffer {
	return &eventBuffer{data: make([]byte, 0, eventBufferBytes), memory: memory}
}

// fill reads once from the body. The events returned before become invalid. Errors: *connector.BodyBudgetError if a longer
// event would take too much memory, and those of the reader.
func (b *eventBuffer) fill(reader io.Reader) error {
	b.data = b.data[:copy(b.data, b.data[b.next:])]
	b.scanned -= b.next
	b.next = 0
	if len(b.data) == cap(b.data) {
		size := min(2*cap(b.data), maxEventBytes+1)
		if err := b.memory.Grow(int64(size)); err != nil {
			return err
		}
		b.data = append(make([]byte, 0, size), b.data...)
	}
	n, err := reader.Read(b.data[len(b.data):cap(b.data)])
	b.data = b.data[:len(b.data)+n]
	return err
}

// event returns the next complete event with its line ends, or nil if the rest of it hasn't been read yet.
func (b *eventBuffer) event() []byte {
	for {
		i := bytes.IndexByte(b.data[b.scanned:], '\n')
		if i < 0 {
			b.scanned = len(b.data)
			return nil
		}
		lineEnd := b.scanned + i
		rest := b.data[lineEnd+1:]
		size := 1
		if len(rest) > 0 && rest[0] == '\r' {
			size = 2
		}
		if len(rest) < size {
			b.scanned = lineEnd
			return nil
		}
		if rest[size-1] != '\n' {
			b.scanned = lineEnd + 1
			continue
		}
		event := b.data[b.next : lineEnd+1+size]
		b.next += len(event)
		b.scanned = b.next
		return event
	}
}

// wellFormed reports whether each line of an event is a field or a comment. Names of fields are in lower case, unlike the
// lines of an answer's head, which may follow an event that broke off.
func wellFormed(event []byte) bool {
	for line := range bytes.Lines(event) {
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), fieldMark)
		if bytes.ContainsFunc(name, func(r rune) bool { return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '_' }) {
			return false
		}
	}
	return true
}

// rest returns the bytes after the last complete event.
func (b *eventBuffer) rest() []byte { return b.data[b.next:] }
