package connector

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/fakes"
	"coltsfootplank/internal/kernel"
)

// endlessTimeout is the deadline of a request to an upstream whose answer doesn't end.
const endlessTimeout = 2 * time.Second

// sendToEndless sends a request with a deadline of endlessTimeout and returns the error and the time that it took.
func sendToEndless(t *testing.T, u *fakes.EndlessUpstream) (time.Duration, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
	defer cancel()
	start := time.Now()
	answer, err := newTestConnector(t).Send(ctx, u.Address, Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, ID: "1"})
	if err == nil {
		answer.Abort()
	}
	return time.Since(start), err
}

// TestEndlessHead guards against an upstream whose head or interim answers don't end using up the memory.
func TestEndlessHead(t *testing.T) {
	const okLine = "HTTP/1.1 200 OK\r\n"
	cases := []struct {
		name, prefix, unit string
	}{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"header line", okLine + "Request: ", "1"},
		{"header lines", okLine + "Request: 1\r\n", "A: b\r\n"},
		{"continued header line", okLine + "Request: 1\r\nA: b\r\n", " c\r\n"},
		{"head of an interim answer", "HTTP/1.1 103 Early Hints\r\n", "Link: a\r\n"},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u, closeUpstream, err := fakes.NewEndlessUpstream(c.prefix, c.unit, 0)
			assert.NilError(t, err)
			defer closeUpstream()
			elapsed, err := sendToEndless(t, u)
			assert.Assert(t, u.Written() < fakes.MaxBufferedBytes, "%d bytes written", u.Written())
			var lost *kernel.ConnectionLostError
			assert.Assert(t, errors.As(err, &lost), "%v", err)
			var tooLarge *HeadTooLargeError
			assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
			assert.Assert(t, elapsed < endlessTimeout/2, "took %s", elapsed)
		})
	}
}

// TestSlowEndlessHead guards against an upstream that sends a head without end, a line at a time, holding a request after
// its deadline.
func TestSlowEndlessHead(t *testing.T) {
	u, closeUpstream, err := fakes.NewEndlessUpstream("HTTP/1.1 200 OK\r\n", "A: b\r\n", 5*time.Millisecond)
	assert.NilError(t, err)
	defer closeUpstream()
	elapsed, err := sendToEndless(t, u)
	var lost *kernel.ConnectionLostError
	assert.Assert(t, errors.As(err, &lost), "%v", err)
	assert.Assert(t, elapsed < endlessTimeout+200*time.Millisecond, "took %s", elapsed)
}

// TestInterimAnswers guards against losing an answer that follows several interim ones.
func TestInterimAnswers(t *testing.T) {
	interim := "HTTP/1.1 103 Early Hints\r\nRequest: 1\r\n\r\n"
	u := newScriptedUpstream(t, answering(strings.Repeat(interim, 40)+reply("1", "a"), reply("2", "b")))
	connector := newTestConnector(t)
	for i, want := range []string{"a", "b"} {
		body, err := exchange(t, connector, u.address, string(rune('1'+i)))
		assert.NilError(t, err)
		assert.Equal(t, body, want)
	}
	assert.Equal(t, u.opened, 1)
}

// TestLongExtraAnswer guards against taking the body of a long answer to another request for an answer: here it holds a
// whole answer to this request at the point up to which a body is skipped.
func TestLongExtraAnswer(t *testing.T) {
	long := strings.Repeat("x", maxSkippedBodyBytes) + reply("2", "z") + strings.Repeat("x", 8<<10)
	head := "HTTP/1.1 200 OK\r\nRequest: 1\r\nContent-Length: " + strconv.Itoa(len(long)) + "\r\n\r\n"
	u := newScriptedUpstream(t, answering(reply("1", "a"), head+long+reply("2", "b")))
	connector := newTestConnector(t)
	_, err := exchange(t, connector, u.address, "1")
	assert.NilError(t, err)
	body, err := exchange(t, connector, u.address, "2")
	assert.Equal(t, body, "")
	var tooLarge *ExtraAnswerTooLargeError
	assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
}

// TestEndlessExtraAnswer guards against an answer to another request whose body doesn't end using up the memory or
// holding the request.
func TestEndlessExtraAnswer(t *testing.T) {
	for _, framing := range []struct {
		name, header, unit string
	}{
		{"no length", "", "x"},
		{"chunked", "Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n"},
		{"chunk extension", "Transfer-Encoding: chunked\r\n", "5;a"},
		{"trailer", "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	} {
		t.Run(framing.name, func(t *testing.T) {
			head := "HTTP/1.1 200 OK\r\nRequest: 0\r\n" + framing.header
			if framing.name != "trailer" {
				head += "\r\n"
			}
			u, closeUpstream, err := fakes.NewEndlessUpstream(head, framing.unit, 0)
			assert.NilError(t, err)
			defer closeUpstream()
			elapsed, err := sendToEndless(t, u)
			assert.Assert(t, u.Written() < fakes.MaxBufferedBytes, "%d bytes written", u.Written())
			var lost *kernel.ConnectionLostError
			assert.Assert(t, errors.As(err, &lost), "%v", err)
			assert.Assert(t, elapsed < endlessTimeout/2, "took %s", elapsed)
		})
	}
}
