package connector

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/fakes"
)

// openAnswer sends a request and returns its answer.
func openAnswer(t *testing.T, c *Connector, address string) *Answer {
	t.Helper()
	answer, err := c.Send(t.Context(), address, Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, ID: "1"})
	assert.NilError(t, err)
	return answer
}

func newEndlessUpstream(t *testing.T, prefix, unit string, pause time.Duration) *fakes.EndlessUpstream {
	t.Helper()
	u, closeUpstream, err := fakes.NewEndlessUpstream(prefix, unit, pause)
	assert.NilError(t, err)
	t.Cleanup(closeUpstream)
	return u
}

// TestEndlessBodies guards against one upstream in trouble using up the memory through many answers at once, and against
// its answers keeping those of usual size from being read.
func TestEndlessBodies(t *testing.T) {
	const answers = 40
	u := newEndlessUpstream(t, "HTTP/1.1 200 OK\r\nRequest: 1\r\n\r\n", strings.Repeat("x", 32<<10), time.Millisecond)
	c := newTestConnector(t)
	var failed sync.WaitGroup
	failed.Add(answers)
	held := make(chan struct{})
	var group errgroup.Group
	for range answers {
		answer := openAnswer(t, c, u.Address)
		group.Go(func() error {
			body, release, err := answer.ReadBody(maxBufferedBytes)
			answer.Abort()
			assert.Check(t, len(body) == 0)
			var budget *BodyBudgetError
			assert.Check(t, errors.As(err, &budget), "%v", err)
			failed.Done()
			<-held
			release()
			release()
			return nil
		})
	}
	failed.Wait()
	assert.Assert(t, c.budget.used.Load() <= maxBufferedBytes)
	assert.Assert(t, c.budget.used.Load() > maxBufferedBytes/2)
	usual := strings.Repeat("y", freeBodyBytes-1)
	sound := newScriptedUpstream(t, answering("HTTP/1.1 200 OK\r\nRequest: 1\r\nContent-Length: "+strconv.Itoa(len(usual))+"\r\n\r\n"+usual))
	answer := openAnswer(t, c, sound.address)
	body, release, err := answer.ReadBody(maxBufferedBytes)
	assert.NilError(t, err)
	assert.Equal(t, string(body), usual)
	release()
	answer.Done()
	close(held)
	assert.NilError(t, group.Wait())
	assert.Equal(t, c.budget.used.Load(), int64(0))
}

// closingAfter returns a script that sends a text for the first request and closes the connection.
func closingAfter(text string) script {
	return func(conn net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		_, _ = io.WriteString(conn, text)
	}
}

// TestReadBody guards against taking a body that was cut at a limit or broke off for a whole one.
func TestReadBody(t *testing.T) {
	const limit = 256 << 10
	head := func(length int) string {
		if length < 0 {
			return "HTTP/1.1 200 OK\r\nRequest: 1\r\n\r\n"
		}
		return "HTTP/1.1 200 OK\r\nRequest: 1\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n"
	}
	cases := []struct {
		name     string
		length   int
		sent     int
		whole    bool
		tooLarge bool
	}{
		{"empty", 0, 0, true, false},
		{"without budget", freeBodyBytes, freeBodyBytes, true, false},
		{"at the limit", limit, limit, true, false},
		{"above the limit", limit + 1, limit + 1, false, true},
		{"far above the limit", 8 * limit, 8 * limit, false, true},
		{"no length, at the limit", -1, limit, true, false},
		{"no length, above the limit", -1, limit + 1, false, true},
		{"broken off", freeBodyBytes + 1, freeBodyBytes, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Repeat("x", c.sent)
			u := newScriptedUpstream(t, closingAfter(head(c.length)+text))
			answer := openAnswer(t, newTestConnector(t), u.address)
			body, release, err := answer.ReadBody(limit)
			defer release()
			defer answer.Abort()
			var tooLarge *BodyTooLargeError
			assert.Equal(t, errors.As(err, &tooLarge), c.tooLarge, "%v", err)
			assert.Equal(t, err == nil, c.whole)
			assert.Equal(t, string(body) == text, err == nil)
		})
	}
}

// TestDiscard guards against an upstream that refuses a request and sends a body without end holding the request, and
// against closing the connection after a usual refusal.
func TestDiscard(t *testing.T) {
	const head = "HTTP/1.1 503 Service Unavailable\r\nRequest: 1\r\n\r\n"
	for _, pause := range []time.Duration{0, 5 * time.Millisecond} {
		u := newEndlessUpstream(t, head, "x", pause)
		answer := openAnswer(t, newTestConnector(t), u.Address)
		start := time.Now()
		answer.Discard()
		assert.Assert(t, time.Since(start) < 3*discardTimeout, "took %s", time.Since(start))
		assert.Assert(t, u.Written() < fakes.MaxBufferedBytes, "%d bytes written", u.Written())
	}
	u := newScriptedUpstream(t, answering(reply("1", "a"), reply("2", "b")))
	c := newTestConnector(t)
	openAnswer(t, c, u.address).Discard()
	body, err := exchange(t, c, u.address, "2")
	assert.NilError(t, err)
	assert.Equal(t, body, "b")
	assert.Equal(t, u.opened, 1)
}

// TestReceiveBuffer guards against upstreams in trouble filling large receive buffers, which are part of the VM's memory:
// the kernel extends the buffer of a connection that is read fast.
func TestReceiveBuffer(t *testing.T) {
	const readBytes = 8 << 20
	u := newEndlessUpstream(t, "HTTP/1.1 200 OK\r\nRequest: 1\r\n\r\n", "x", 0)
	answer := openAnswer(t, newTestConnector(t), u.Address)
	defer answer.Abort()
	_, err := io.CopyN(io.Discard, answer, readBytes)
	assert.NilError(t, err)
	time.Sleep(200 * time.Millisecond)
	buffered := u.Written() - readBytes
	assert.Assert(t, buffered < 4*receiveBufferBytes, "%d bytes buffered", buffered)
}
