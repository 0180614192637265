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

	"coltsfootplank/internal/kernel"
)

// behaviour is what the test server does with one request.
type behaviour int

const (
	answerAndKeep behaviour = iota
	answerAndClose
	closeAfterRequest
	resetAfterFirstByte
	cutAnswer
	behaviours
)

// cuttingServer answers HTTP on raw connections, closes them at chosen moments and counts the requests that
// reached it, whole or in part.
type cuttingServer struct {
	address  string
	mu       sync.Mutex
	next     func() behaviour
	attempts int
	byID     map[string]int
}

func newCuttingServer(t *testing.T, next func() behaviour) *cuttingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &cuttingServer{address: listener.Addr().String(), next: next, byID: make(map[string]int)}
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
		shared.kept.CloseIdleConnections()
		assert.NilError(t, group.Wait())
	})
	return s
}

func (s *cuttingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		s.mu.Lock()
		s.attempts++
		action := s.next()
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
		_, _ = io.Copy(io.Discard, request.Body)
		s.mu.Lock()
		s.byID[request.Header.Get("X-Request-Id")]++
		s.mu.Unlock()
		switch action {
		case closeAfterRequest:
			return
		case cutAnswer:
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345")
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		if action == answerAndClose {
			return
		}
	}
}

func newClient(t *testing.T, address string) *Client {
	client, closeClient, err := New(address)
	assert.NilError(t, err)
	t.Cleanup(closeClient)
	return client
}

// TestNeverSentTwice guards against the transport repeating a request when a connection breaks. The requests carry
// Idempotency-Key, which makes the standard transport repeat even a POST on a broken kept connection.
func TestNeverSentTwice(t *testing.T) {
	cases := []struct {
		name  string
		build Request
	}{
		{name: "kept POST", build: Request{Method: http.MethodPost, Body: []byte("body")}},
		{name: "fresh POST", build: Request{Method: http.MethodPost, Body: []byte("body"), NewConnection: true}},
		{name: "fresh POST without body", build: Request{Method: http.MethodPost, NewConnection: true}},
		{name: "fresh GET", build: Request{Method: http.MethodGet, NewConnection: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			server := newCuttingServer(t, func() behaviour {
				if random.IntN(2) == 0 {
					return answerAndKeep
				}
				return behaviour(random.IntN(int(behaviours)))
			})
			client := newClient(t, server.address)
			sent, outcomes := 0, make(map[string]int)
			for i := range 400 {
				request := c.build
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
			for id, runs := range server.byID {
				assert.Equal(t, runs, 1, id)
			}
			assert.Assert(t, server.attempts <= sent, "%d attempts for %d sent requests", server.attempts, sent)
			assert.Assert(t, outcomes["answered"] > 100 && outcomes["lost"] > 50, "outcomes: %v", outcomes)
		})
	}
}

func (s *cuttingServer) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

// TestErrorKinds guards against a request that may have run being reported as not sent, and the reverse.
func TestErrorKinds(t *testing.T) {
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	refused := refusing.Addr().String()
	assert.NilError(t, refusing.Close())
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	server := func(action behaviour) string {
		return newCuttingServer(t, func() behaviour { return action }).address
	}
	elsewhere := "@" + server(answerAndKeep) + "/"
	cases := []struct {
		name    string
		timeout time.Duration
		address string
		path    string
		unsent  bool
	}{
		{name: "connection refused", timeout: time.Minute, address: refused, path: "/", unsent: true},
		{name: "context ended before", address: server(answerAndKeep), path: "/", unsent: true},
		{name: "path that changes the host", timeout: time.Minute, address: refused, path: elsewhere, unsent: true},
		{name: "no answer in time", timeout: 100 * time.Millisecond, address: silent.Addr().String(), path: "/"},
		{name: "cut after the request", timeout: time.Minute, address: server(closeAfterRequest), path: "/"},
		{name: "reset after one byte", timeout: time.Minute, address: server(resetAfterFirstByte), path: "/"},
		{name: "cut answer", timeout: time.Minute, address: server(cutAnswer), path: "/"},
	}
	for _, c := range cases {
		for _, fresh := range []bool{false, true} {
			ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
			_, err := newClient(t, c.address).Do(ctx, Request{
				Method: http.MethodPost, Path: c.path, Body: make([]byte, 64<<10), NewConnection: fresh,
			})
			cancel()
			var unsent *kernel.NotSentError
			var lost *kernel.ConnectionLostError
			assert.Equal(t, errors.As(err, &unsent), c.unsent, "%s: %v", c.name, err)
			assert.Equal(t, errors.As(err, &lost), !c.unsent, "%s: %v", c.name, err)
		}
	}
}

// TestSeal guards against a write that happens after its request was reported as not sent, and against a request
// whose write is under way being reported as not sent.
func TestSeal(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	idle := &countedConn{Conn: near}
	assert.Assert(t, idle.seal(0))
	_, err := idle.Write([]byte("late"))
	var sealed *WritesBlockedError
	assert.Assert(t, errors.As(err, &sealed))

	busy := &countedConn{Conn: near}
	var group errgroup.Group
	group.Go(func() error {
		_, err := busy.Write([]byte("ab"))
		return err
	})
	first := make([]byte, 1)
	_, err = io.ReadFull(far, first)
	assert.NilError(t, err)
	assert.Assert(t, !busy.seal(0), "a write is under way")
	_, err = io.ReadFull(far, first)
	assert.NilError(t, err)
	assert.NilError(t, group.Wait())
	assert.Assert(t, !busy.seal(0), "two bytes were written")
	assert.Assert(t, busy.seal(2), "nothing was written since")
}
