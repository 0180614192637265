package forwarder

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
)

// sizedReader returns at most size bytes at a time.
type sizedReader struct {
	reader io.Reader
	size   int
}

func (r sizedReader) Read(p []byte) (int, error) { return r.reader.Read(p[:min(len(p), r.size)]) }

// splitEvents returns the events of a body that arrives in pieces, and what follows the last one.
func splitEvents(t *testing.T, body []byte, size int) (events [][]byte, rest []byte) {
	t.Helper()
	buffer, reader := newEventBuffer(nil), sizedReader{bytes.NewReader(body), size}
	for {
		err := buffer.fill(reader)
		for event := buffer.event(); event != nil; event = buffer.event() {
			events = append(events, bytes.Clone(event))
		}
		if errors.Is(err, io.EOF) {
			return events, bytes.Clone(buffer.rest())
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// FuzzEvents guards against events whose limits depend on how the body arrives, and against bytes that are lost, added or
// relayed before their event is complete.
func FuzzEvents(f *testing.F) {
	for _, body := range []string{
		"", "\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\r\ndata: a\r\n\r\n", "data: a\n\r\ndata: b\r\n\n", ": comment\n\n\n\ndata", "a\r\n\r",
		"id: 1\ndata: " + strings.Repeat("x", 1500) + "\n\n", "HTTP/1.1 200 OK\r\nA: b\r\n\r\n", "\xff\x00\n\n", "id\n\nid:\n\nid: \n\n",
	} {
		for _, size := range []int{1, 2, 3, 4096} {
			f.Add([]byte(body), size)
		}
	}
	f.Fuzz(func(t *testing.T, body []byte, size int) {
		// The buffer of a longer event needs the connector's memory.
		body = body[:min(len(body), eventBufferBytes-1)]
		events, rest := splitEvents(t, body, max(1, size%4096))
		whole, wholeRest := splitEvents(t, body, len(body)+1)
		if !bytes.Equal(bytes.Join(append(events, rest), nil), body) {
			t.Fatalf("bytes lost or added: %q and %q of %q", events, rest, body)
		}
		if len(events) != len(whole) || !bytes.Equal(rest, wholeRest) {
			t.Fatalf("%q and %q in pieces, %q and %q at once", events, rest, whole, wholeRest)
		}
		for i, event := range events {
			if !bytes.Equal(event, whole[i]) || !bytes.HasSuffix(event, []byte("\n\n")) && !bytes.HasSuffix(event, []byte("\n\r\n")) {
				t.Fatalf("event %q in pieces, %q at once", event, whole[i])
			}
			_, _ = eventID(event), wellFormed(event)
		}
	})
}
