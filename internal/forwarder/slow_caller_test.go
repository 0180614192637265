package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
)

// dialCaller opens a caller's connection.
func dialCaller(t *testing.T, base string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	return conn, bufio.NewReader(conn)
}

const callerHead = "POST /a/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\nContent-Length: 4\r\n\r\n"

// TestSlowBody guards against a caller whose body doesn't end holding its request after the deadline, 2 s after arrival.
func TestSlowBody(t *testing.T) {
	u := newScriptedUpstream(t, okAnswer)
	base, server := startTestForwarder(t, configWithRoute(route(kernel.RouteAtMostOnce), 1), u)
	conn, reader := dialCaller(t, base)
	start := time.Now()
	_, err := io.WriteString(conn, callerHead+"bo")
	assert.NilError(t, err)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
	assert.Assert(t, response.Close, "the rest of the body may follow")
	assert.Assert(t, time.Since(start) < 2500*time.Millisecond, "took %s", time.Since(start))
	assert.Equal(t, server.sends, 0)
}

// TestReadDeadlineCleared guards against the deadline of a body's arrival ending a later request on the connection.
func TestReadDeadlineCleared(t *testing.T) {
	u := newScriptedUpstream(t, okAnswer, okAnswer)
	base, _ := startTestForwarder(t, configWithRoute(route(kernel.RouteAtMostOnce), 1), u)
	conn, reader := dialCaller(t, base)
	for range 2 {
		_, err := io.WriteString(conn, callerHead+"body")
		assert.NilError(t, err)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusOK)
		time.Sleep(2200 * time.Millisecond)
	}
}
