package httpengine

import (
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
)

// TestStreamEnd guards against taking a malformed or truncated stream for a complete one, and against the final frame of
// another stream ending this one.
func TestStreamEnd(t *testing.T) {
	const (
		token   = `{"stream_id":"a","index":0,"token":"x"}` + "\n"
		final   = `{"stream_id":"a","index":1,"done":true,"total":1}` + "\n"
		foreign = `{"stream_id":"b","index":1,"done":true,"total":1}` + "\n"
	)
	cases := []struct {
		name, body string
		frames     int
		complete   bool
	}{
		{name: "complete", body: token + final, frames: 2, complete: true},
		{name: "foreign final frame first", body: token + foreign + final, frames: 3, complete: true},
		{name: "empty", body: ""},
		{name: "no final frame", body: token, frames: 1},
		{name: "foreign final frame only", body: token + foreign, frames: 2},
		{name: "final frame without line end", body: token + strings.TrimSpace(final), frames: 1},
		{name: "not JSON", body: token + "boom\n" + final, frames: 1},
		{name: "no stream id", body: `{"index":0,"token":"x"}` + "\n" + final},
		{name: "negative index", body: `{"stream_id":"a","index":-1}` + "\n" + final},
		{name: "final frame with token", body: `{"stream_id":"a","index":1,"token":"x","done":true}` + "\n"},
		{name: "total before the end", body: `{"stream_id":"a","index":0,"total":1}` + "\n" + final},
		{name: "frame over the limit", body: strings.Repeat("x", maxFrameBytes+initialBufferBytes) + "\n" + final},
	}
	for _, c := range cases {
		s := newStream("127.0.0.1:1", "a", io.NopCloser(strings.NewReader(c.body)))
		frames := 0
		_, err := s.Next()
		for ; err == nil; _, err = s.Next() {
			frames++
		}
		assert.Equal(t, frames, c.frames, c.name)
		var lost *kernel.ConnectionLostError
		assert.Equal(t, errors.As(err, &lost), !c.complete, "%s: %v", c.name, err)
		assert.Equal(t, errors.Is(err, io.EOF), c.complete, "%s: %v", c.name, err)
		_, repeated := s.Next()
		assert.Equal(t, repeated, err, c.name)
	}
}
