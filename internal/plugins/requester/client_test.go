package requester

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/connector"
	"coltsfootplank/internal/kernel"
)

// behaviour says what the test server does with a request.
type behaviour int

const (
	answerAndKeep behaviour = iota
	answerAndClose
	closeAfterRequest
	resetAfterFirstByte
	truncateAnswer
	behaviourCount
	// The following ones aren't among those that are drawn.
	continueLine
	resetDuringUpload
)

// faultyServer serves HTTP on raw connections, which it closes or resets as the behaviour of each request says. It counts
// the requests that it received completely or in part.
type faultyServer struct {
	address       string
	mu            sync.Mutex
	nextBehaviour func() behaviour
	attempts      int
	runsByID      map[string]int
}

func newFaultyServer(t *testing.T, next func() behaviour) *faultyServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &faultyServer{address: listener.Addr().String(), nextBehaviour: next, runsByID: make(map[string]int)}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil //nolint:nilerr // the listener was closed at the end of the test
			}
			group.Go(func() error {
				s.serve(conn)
				return nil
			})
		}
	})
	t.Cleanup(func() {
		assert.NilError(t, listener.Close())
		transports.keepAlive.CloseIdleConnections()
		assert.NilError(t, group.Wait())
	})
	return s
}

func (s *faultyServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		s.mu.Lock()
		s.attempts++
		action := s.nextBehaviour()
		s.mu.Unlock()
		if action == resetAfterFirstByte {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			return
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if action == resetDuringUpload {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(10 * time.Millisecond)
			connector.Reset(conn)
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.mu.Lock()
		s.runsByID[request.Header.Get("X-Request-Id")]++
		s.mu.Unlock()
		switch action {
		case closeAfterRequest:
			return
		case truncateAnswer:
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345")
			return
		case continueLine:
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nA: b\r\n c: d\r\nContent-Length: 2\r\n\r\nok")
			continue
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		if action == answerAndClose {
			return
		}
	}
}

func newTestClient(t *testing.T, address string) *Client {
	client, closeClient, err := New(address)
	assert.NilError(t, err)
	t.Cleanup(closeClient)
	return client
}

// TestNeverSentTwice guards against the transport repeating a request after its connection was closed. The requests have
// an Idempotency-Key, which makes the standard transport repeat even a POST if a reused connection fails.
func TestNeverSentTwice(t *testing.T) {
	cases := []struct {
		name string
		base Request
	}{
		{name: "POST, reused connection", base: Request{Method: http.MethodPost, Body: []byte("body")}},
		{name: "POST, new connection", base: Request{Method: http.MethodPost, Body: []byte("body"), NewConnection: true}},
		{name: "POST without body, new connection", base: Request{Method: http.MethodPost, NewConnection: true}},
		{name: "GET, new connection", base: Request{Method: http.MethodGet, NewConnection: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			server := newFaultyServer(t, func() behaviour {
				if random.IntN(2) == 0 {
					return answerAndKeep
				}
				return behaviour(random.IntN(int(behaviourCount)))
			})
			client := newTestClient(t, server.address)
			sent, outcomes := 0, make(map[string]int)
			for i := range 400 {
				request := c.base
				request.Path = "/"
				id := strconv.Itoa(i)
				request.Header = map[string]string{"X-Request-Id": id, "Idempotency-Key": id}
				answer, err := client.Do(t.Context(), request)
				var unsent *kernel.NotSentError
				var lost *kernel.ConnectionLostError
				switch {
				case err == nil:
					assert.Equal(t, string(answer.Body), "ok")
					outcomes["answered"]++
				case errors.As(err, &unsent):
					outcomes["not sent"]++
					assert.Equal(t, server.runs(id), 0)
				case errors.As(err, &lost):
					outcomes["lost"]++
				default:
					t.Fatalf("error of another type: %v", err)
				}
				if unsent == nil {
					sent++
				}
			}
			server.mu.Lock()
			defer server.mu.Unlock()
			for id, runs := range server.runsByID {
				assert.Equal(t, runs, 1, id)
			}
			assert.Assert(t, server.attempts <= sent, "%d attempts for %d sent requests", server.attempts, sent)
			assert.Assert(t, outcomes["answered"] > 100 && outcomes["lost"] > 50, "outcomes: %v", outcomes)
		})
	}
}

func (s *faultyServer) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runsByID[id]
}

// TestErrorKinds guards against reporting a request that may have run as not sent, and the reverse.
func TestErrorKinds(t *testing.T) {
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closedAddress := closedListener.Addr().String()
	assert.NilError(t, closedListener.Close())
	silentListener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = silentListener.Close() })
	server := func(action behaviour) string {
		return newFaultyServer(t, func() behaviour { return action }).address
	}
	hostChangingPath := "@" + server(answerAndKeep) + "/"
	cases := []struct {
		name    string
		timeout time.Duration
		address string
		path    string
		unsent  bool
	}{
		{name: "connection refused", timeout: time.Minute, address: closedAddress, path: "/", unsent: true},
		{name: "context ended before the request", address: server(answerAndKeep), path: "/", unsent: true},
		{name: "path that changes the host", timeout: time.Minute, address: closedAddress, path: hostChangingPath, unsent: true},
		{name: "no answer in time", timeout: 100 * time.Millisecond, address: silentListener.Addr().String(), path: "/"},
		{name: "closed after the request", timeout: time.Minute, address: server(closeAfterRequest), path: "/"},
		{name: "reset after one byte", timeout: time.Minute, address: server(resetAfterFirstByte), path: "/"},
		{name: "truncated answer", timeout: time.Minute, address: server(truncateAnswer), path: "/"},
	}
	for _, c := range cases {
		for _, newConnection := range []bool{false, true} {
			ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
			_, err := newTestClient(t, c.address).Do(ctx, Request{
				Method: http.MethodPost, Path: c.path, Body: make([]byte, 64<<10), NewConnection: newConnection,
			})
			cancel()
			var unsent *kernel.NotSentError
			var lost *kernel.ConnectionLostError
			assert.Equal(t, errors.As(err, &unsent), c.unsent, "%s: %v", c.name, err)
			assert.Equal(t, errors.As(err, &lost), !c.unsent, "%s: %v", c.name, err)
		}
	}
}

// TestBlockWrites guards against writing a request after it was reported as not sent, and against reporting a request as
// not sent while a write is under way.
func TestBlockWrites(t *testing.T) {
	local, remote := net.Pipe()
	defer func() { _, _ = local.Close(), remote.Close() }()
	idle := &countingConn{Conn: local}
	assert.Assert(t, idle.blockWrites(0))
	_, err := idle.Write([]byte("late"))
	var blocked *WritesBlockedError
	assert.Assert(t, errors.As(err, &blocked))

	busy := &countingConn{Conn: local}
	var group errgroup.Group
	group.Go(func() error {
		_, err := busy.Write([]byte("ab"))
		return err
	})
	buffer := make([]byte, 1)
	_, err = io.ReadFull(remote, buffer)
	assert.NilError(t, err)
	assert.Assert(t, !busy.blockWrites(0), "a write is under way")
	_, err = io.ReadFull(remote, buffer)
	assert.NilError(t, err)
	assert.NilError(t, group.Wait())
	assert.Assert(t, !busy.blockWrites(0), "two bytes were written")
	assert.Assert(t, busy.blockWrites(2), "nothing was written since")
}
