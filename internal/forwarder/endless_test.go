package forwarder

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/fakes"
	"coltsfootplank/internal/kernel"
)

const (
	unaryHead  = "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\n\r\n"
	eventsHead = "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nContent-Type: text/event-stream\r\n\r\n"
	notRunHead = "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nNot-Run: 1\r\n\r\n"
)

// newEndlessForwarder starts a forwarder in front of an upstream whose answers don't end and returns its URL.
func newEndlessForwarder(t *testing.T, kind kernel.RouteKind, u *fakes.EndlessUpstream) string {
	t.Helper()
	base, _ := startTestForwarder(t, configWithRoute(route(kind), 1), &scriptedUpstream{address: u.Address})
	return base
}

// newEndlessUpstream returns an upstream whose answers don't end.
func newEndlessUpstream(t *testing.T, prefix, unit string, pause time.Duration) *fakes.EndlessUpstream {
	t.Helper()
	u, closeUpstream, err := fakes.NewEndlessUpstream(prefix, unit, pause)
	assert.NilError(t, err)
	t.Cleanup(closeUpstream)
	return u
}

// TestEndlessAnswer guards against an answer without end using up the memory, reaching its caller or holding its request
// after the deadline, which is 2 s after the request's arrival.
func TestEndlessAnswer(t *testing.T) {
	cases := []struct {
		name         string
		kind         kernel.RouteKind
		prefix, unit string
		pause        time.Duration
		// maxBytes is the size limit of what is read.
		maxBytes int64
		status   int
		body     string
	}{
		{"head", kernel.RouteAtMostOnce, "HTTP/1.1 200 OK\r\n", "A: b\r\n", 0, 1 << 20, 502, "upstream_lost\n"},
		{"interim answers", kernel.RouteStream, "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", 0, 1 << 20, 502, "upstream_lost\n"},
		{"no answer", kernel.RouteStream, "", "x", 0, 1 << 20, 502, "upstream_lost\n"},
		{"unary body", kernel.RouteAtMostOnce, unaryHead, "x", 0, maxUnaryBytes, 502, "upstream_lost\n"},
		{"slow unary body", kernel.RouteAtMostOnce, unaryHead, "x", 10 * time.Millisecond, 1 << 20, 504, "deadline_expired\n"},
		{"event", kernel.RouteStream, eventsHead, "data: x", 0, maxEventBytes, 502, "upstream_lost\n"},
		{"slow event", kernel.RouteStream, eventsHead, "data: x", 10 * time.Millisecond, 1 << 20, 504, "deadline_expired\n"},
		{"body of an answer without a run", kernel.RouteAtMostOnce, notRunHead, "x", 0, 1 << 20, 503, "overloaded\n"},
		{"slow body of an answer without a run", kernel.RouteAtMostOnce, notRunHead, "x", 10 * time.Millisecond, 1 << 20, 503, "overloaded\n"},
		{"lines that are no events", kernel.RouteStream, eventsHead, "x\n\n", 0, 1 << 20, 502, "upstream_lost\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := newEndlessUpstream(t, c.prefix, c.unit, c.pause)
			base := newEndlessForwarder(t, c.kind, u)
			start := time.Now()
			status, body, whole, _ := send(t, base, http.MethodPost, "/a/", "", callerHeader)
			elapsed := time.Since(start)
			assert.Equal(t, status, c.status)
			assert.Equal(t, body[:min(len(body), len(c.body)+1)], c.body)
			assert.Assert(t, whole)
			assert.Assert(t, u.Written() < c.maxBytes+fakes.MaxBufferedBytes, "%d bytes written", u.Written())
			assert.Assert(t, elapsed < 2500*time.Millisecond, "took %s", elapsed)
			assert.Assert(t, c.status != 503 || elapsed < time.Second, "took %s", elapsed)
		})
	}
}

// TestEndlessEventsTogether guards against many streams using up the memory, each with an event that stays below the limit of
// one event.
func TestEndlessEventsTogether(t *testing.T) {
	const (
		streams = 120
		held    = 200 << 10
		// maxHeld is the number of such events that 16 MiB hold, of which each buffer takes 192 KiB.
		maxHeld = 86
		early   = 1500 * time.Millisecond
	)
	u := newEndlessUpstream(t, eventsHead+"data: "+strings.Repeat("x", held), "x", 10*time.Millisecond)
	base := newEndlessForwarder(t, kernel.RouteStream, u)
	var endedEarly atomic.Int64
	var group sync.WaitGroup
	for range streams {
		group.Go(func() {
			start := time.Now()
			status, body, whole, _ := send(t, base, http.MethodPost, "/a/", "", callerHeader)
			assert.Check(t, whole)
			switch elapsed := time.Since(start); {
			case elapsed < early:
				endedEarly.Add(1)
				assert.Check(t, status == 502 && body == "upstream_lost\n", "%d %q", status, body)
			default:
				assert.Check(t, status == 504 && body == "deadline_expired\n", "%d %q", status, body)
			}
		})
	}
	group.Wait()
	assert.Assert(t, endedEarly.Load() >= streams-maxHeld, "%d of %d streams ended early", endedEarly.Load(), streams)
}
