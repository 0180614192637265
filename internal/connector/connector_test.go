package connector

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
)

// idHeader is the header in which an answer repeats the request ID.
const idHeader = "Request"

// script is what a test upstream does on one connection.
type script func(conn net.Conn, reader *bufio.Reader)

// scriptedUpstream is a test upstream that runs the next script on each connection and counts the connections.
type scriptedUpstream struct {
	address string
	mu      sync.Mutex
	scripts []script
	opened  int
}

func newScriptedUpstream(t *testing.T, scripts ...script) *scriptedUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	u := &scriptedUpstream{address: listener.Addr().String(), scripts: scripts}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil //nolint:nilerr // the listener was closed at the end of the test
			}
			u.mu.Lock()
			next := u.scripts[min(u.opened, len(u.scripts)-1)]
			u.opened++
			u.mu.Unlock()
			group.Go(func() error {
				next(conn, bufio.NewReader(conn))
				return conn.Close()
			})
		}
	})
	t.Cleanup(func() { _ = listener.Close() })
	return u
}

// answering returns a script that sends one of the texts for each request and then keeps the connection open.
func answering(texts ...string) script {
	return func(conn net.Conn, reader *bufio.Reader) {
		for _, text := range texts {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, text)
		}
		_, _ = reader.Peek(1)
	}
}

func reply(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func reset(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }

func newTestConnector(t *testing.T) *Connector {
	t.Helper()
	c, closeAll := New(Settings{MaxIdle: 4, EchoedRequestID: func(head *Head) string { return head.Header.Get(idHeader) }}, func() {})
	t.Cleanup(closeAll)
	return c
}

// exchange sends a request and returns the body of the answer.
func exchange(t *testing.T, c *Connector, address, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	answer, err := c.Send(ctx, address, Request{Method: http.MethodGet, Target: "/a/", Host: "h", Header: http.Header{}, ID: id})
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(answer)
	if err != nil {
		answer.Abort()
		return string(body), err
	}
	answer.Done()
	return string(body), nil
}

// TestAnswers guards against accepting answers to other requests, malformed answers and truncated answers.
func TestAnswers(t *testing.T) {
	cases := []struct {
		name    string
		scripts []script
		// bodies are the answers to the requests 1, 2 and so on; "lost" stands for an error.
		bodies []string
		opened int
	}{
		{"reused connection", []script{answering(reply("1", "a"), reply("2", "b"))}, []string{"a", "b"}, 1},
		{"extra answer before the next request", []script{answering(reply("1", "a") + reply("1", "x")), answering(reply("2", "b"))},
			[]string{"a", "b"}, 2},
		{"extra answer during the next request is skipped", []script{answering(reply("1", "a"), reply("1", "x")+reply("2", "b"))}, []string{"a", "b"}, 1},
		{"connection with an extra answer is closed, whatever its keep-alive time", []script{
			answering(reply("1", "a"), reply("1", "x")+"HTTP/1.1 200 OK\r\nRequest: 2\r\nKeep-Alive: timeout=9\r\nContent-Length: 1\r\n\r\nb"),
			answering(reply("3", "c")),
		}, []string{"a", "b", "c"}, 2},
		{"only answers to other requests", []script{answering(reply("1", "a"), strings.Repeat(reply("1", "x"), 3))}, []string{"a", "lost"}, 1},
		{"answer without request ID on a reused connection", []script{answering(reply("1", "a"), reply("", "x"))}, []string{"a", "lost"}, 1},
		{"answer without request ID on a new connection", []script{answering(reply("", "a"))}, []string{"a"}, 1},
		{"truncated body", []script{func(conn net.Conn, reader *bufio.Reader) {
			_, _ = http.ReadRequest(reader)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest: 1\r\nContent-Length: 5\r\n\r\nab")
		}}, []string{"lost"}, 1},
		{"no length, ends with the connection", []script{func(conn net.Conn, reader *bufio.Reader) {
			_, _ = http.ReadRequest(reader)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest: 1\r\n\r\nab")
		}}, []string{"ab"}, 1},
		{"no length, reset", []script{func(conn net.Conn, reader *bufio.Reader) {
			_, _ = http.ReadRequest(reader)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest: 1\r\n\r\nab")
			time.Sleep(50 * time.Millisecond)
			reset(conn)
		}}, []string{"lost"}, 1},
		{"answer is not HTTP", []script{answering("nonsense\r\n\r\n")}, []string{"lost"}, 1},
		{"closed while idle", []script{func(conn net.Conn, reader *bufio.Reader) {
			_, _ = http.ReadRequest(reader)
			_, _ = io.WriteString(conn, reply("1", "a"))
		}, answering(reply("2", "b"))}, []string{"a", "b"}, 2},
		{"connection closed by header", []script{
			answering("HTTP/1.1 200 OK\r\nRequest: 1\r\nConnection: close\r\nContent-Length: 1\r\n\r\na"), answering(reply("2", "b")),
		}, []string{"a", "b"}, 2},
		{"idle timeout too short for reuse", []script{
			answering("HTTP/1.1 200 OK\r\nRequest: 1\r\nKeep-Alive: timeout=1\r\nContent-Length: 1\r\n\r\na"), answering(reply("2", "b")),
		}, []string{"a", "b"}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := newScriptedUpstream(t, c.scripts...)
			connector := newTestConnector(t)
			for i, want := range c.bodies {
				got, err := exchange(t, connector, u.address, string(rune('1'+i)))
				if want == "lost" {
					assert.Assert(t, err != nil)
					assert.Assert(t, !kernel.NotSent(err))
					continue
				}
				assert.NilError(t, err)
				assert.Equal(t, got, want)
				// Leaves time for the upstream's close to arrive before the next request.
				time.Sleep(20 * time.Millisecond)
			}
			assert.Equal(t, u.opened, c.opened)
		})
	}
}

// TestRepeatedRefusal guards against taking the repetition of an earlier refusal on a kept connection for the answer to the
// request that is sent again, which the upstream runs.
func TestRepeatedRefusal(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nRequest: 1\r\nContent-Length: 0\r\n\r\n"
	u := newScriptedUpstream(t, answering(refusal, refusal+reply("1", "run")), answering(reply("1", "run"), reply("2", "other")))
	c := newTestConnector(t)
	answer, err := c.Send(t.Context(), u.address, Request{Method: http.MethodGet, Target: "/a/", Host: "h", Header: http.Header{}, ID: "1"})
	assert.NilError(t, err)
	answer.Discard()
	for _, request := range []struct{ id, body string }{{"1", "run"}, {"2", "other"}} {
		body, err := exchange(t, c, u.address, request.id)
		assert.NilError(t, err)
		assert.Equal(t, body, request.body)
	}
	assert.Equal(t, u.opened, 2)
}

// TestNotSentAndLostErrors guards against reporting a request that may have run as not sent.
func TestNotSentAndLostErrors(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	resetting := newScriptedUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		reset(conn)
	})
	cases := []struct {
		name    string
		address string
		notSent bool
	}{
		{"connection refused", closed.Addr().String(), true},
		{"reset after the request", resetting.address, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := exchange(t, newTestConnector(t), c.address, "1")
			assert.Equal(t, kernel.NotSent(err), c.notSent)
			var lost *kernel.ConnectionLostError
			assert.Equal(t, errors.As(err, &lost), !c.notSent)
		})
	}
}

// TestEarlyAnswer guards against reusing a connection on which a long body is still being written after an early answer:
// the upstream would take the rest of the body for the next request.
func TestEarlyAnswer(t *testing.T) {
	u := newScriptedUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		_, _ = io.WriteString(conn, reply("1", "a"))
		_, _ = io.Copy(io.Discard, reader)
	}, answering(reply("2", "b")))
	connector := newTestConnector(t)
	answer, err := connector.Send(t.Context(), u.address, Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, ID: "1", HasBody: true, Body: make([]byte, 32<<20),
	})
	assert.NilError(t, err)
	body, err := io.ReadAll(answer)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "a")
	answer.connection.conn.(*net.TCPConn).SetReadBuffer(1) //nolint:errcheck // only slows the peer down
	answer.writePending.Store(true)
	answer.Done()
	got, err := exchange(t, connector, u.address, "2")
	assert.NilError(t, err)
	assert.Equal(t, got, "b")
	assert.Equal(t, u.opened, 2)
}

// TestCancel guards against an upstream that continues a request after its caller disconnected, and against bytes of a
// cancelled request that arrive later. The connection must be reset, not just closed.
func TestCancel(t *testing.T) {
	ended := make(chan error, 1)
	u := newScriptedUpstream(t, func(_ net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		_, err := reader.Peek(1)
		ended <- err
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := newTestConnector(t).Send(ctx, u.address, Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, ID: "1"})
	var lost *kernel.ConnectionLostError
	assert.Assert(t, errors.As(err, &lost))
	select {
	case err := <-ended:
		assert.ErrorIs(t, err, syscall.ECONNRESET)
	case <-time.After(2 * time.Second):
		t.Fatal("the upstream's connection is still open")
	}
}

// TestStripHopByHopHeaders guards against forwarding headers that concern a single connection.
func TestStripHopByHopHeaders(t *testing.T) {
	header := http.Header{"Connection": {"X-One, close"}, "X-One": {"1"}, "Keep-Alive": {"timeout=3"}, "X-Two": {"2"}}
	StripHopByHopHeaders(header)
	assert.DeepEqual(t, header, http.Header{"X-Two": {"2"}})
}

// TestResetOfTLSConnection guards against closing a TLS connection in the regular way where it has to be reset.
func TestResetOfTLSConnection(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		assert.Check(t, err == nil)
		Reset(conn)
	}))
	t.Cleanup(server.Close)
	conn, err := tls.Dial("tcp", server.Listener.Addr().String(), &tls.Config{InsecureSkipVerify: true})
	assert.NilError(t, err)
	_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
	assert.NilError(t, err)
	_, err = io.ReadAll(conn)
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	// Closing fails, since the connection has been reset.
	_ = conn.Close()
}
