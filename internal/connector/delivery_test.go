package connector

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
)

// silentBodyBytes is more than the socket buffers of both ends hold.
const silentBodyBytes = 16 << 20

// acceptOne returns an address and a function that waits for a connection to it. The connection takes few bytes unread.
func acceptOne(t *testing.T) (string, func() *net.TCPConn) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, 16<<10)
		})
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String(), func() *net.TCPConn {
		conn, err := listener.Accept()
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn.(*net.TCPConn)
	}
}

// TestHeldRequestArrivesLater guards against a request that its upstream doesn't acknowledge and that the kernel gives up on
// without a reset, so that what is held up arrives later, when the upstream may be leaving and nobody waits for the answer.
func TestHeldRequestArrivesLater(t *testing.T) {
	address, accept := acceptOne(t)
	ctx, cancel := context.WithTimeout(t.Context(), 4*userTimeout)
	defer cancel()
	start := time.Now()
	_, err := newTestConnector(t).Send(ctx, address, Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, HasBody: true, Body: make([]byte, silentBodyBytes), ID: "1",
	})
	elapsed := time.Since(start)
	var lost *kernel.ConnectionLostError
	assert.Assert(t, errors.As(err, &lost), "%v", err)
	var unacknowledged *UnacknowledgedError
	assert.Assert(t, errors.As(err, &unacknowledged), "%v", err)
	assert.Assert(t, elapsed >= userTimeout && elapsed < userTimeout+2*time.Second, "took %s", elapsed)
	read, err := io.Copy(io.Discard, accept())
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%d bytes read, %v", read, err)
}

// TestSlowDelivery guards against resetting a request whose upstream reads it slowly.
func TestSlowDelivery(t *testing.T) {
	const bodyBytes = 400 << 10
	address, accept := acceptOne(t)
	var group errgroup.Group
	group.Go(func() error {
		conn := accept()
		buffer := make([]byte, 16<<10)
		total := 0
		for total < bodyBytes {
			n, err := conn.Read(buffer)
			if err != nil {
				return err
			}
			total += n
			time.Sleep(userTimeout * 2 * time.Duration(n) / bodyBytes)
		}
		_, err := io.WriteString(conn, reply("1", "a"))
		return err
	})
	answer, err := newTestConnector(t).Send(t.Context(), address, Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, HasBody: true, Body: make([]byte, bodyBytes), ID: "1",
	})
	assert.NilError(t, err)
	body, err := io.ReadAll(answer)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "a")
	answer.Done()
	assert.NilError(t, group.Wait())
}

// kernelChecks returns whether the kernel sends keep-alive probes on a connection, and its TCP_USER_TIMEOUT in ms.
func kernelChecks(t *testing.T, c *connection) (keepAlive, timeout int) {
	t.Helper()
	raw, err := c.conn.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, raw.Control(func(descriptor uintptr) {
		keepAlive, _ = unix.GetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
		timeout, _ = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	return keepAlive, timeout
}

// TestKernelChecksResume guards against a connection whose upstream vanishes within its answer and on which the kernel no
// longer looks for it.
func TestKernelChecksResume(t *testing.T) {
	upstream := newScriptedUpstream(t, answering(reply("1", "a"), reply("2", "b")))
	connector := newTestConnector(t)
	for _, id := range []string{"1", "2"} {
		answer, err := connector.Send(t.Context(), upstream.address, Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, ID: id})
		assert.NilError(t, err)
		keepAlive, timeout := kernelChecks(t, answer.connection)
		assert.Equal(t, keepAlive, 1)
		assert.Equal(t, timeout, int(userTimeout.Milliseconds()))
		_, err = io.ReadAll(answer)
		assert.NilError(t, err)
		answer.Done()
	}
	assert.Equal(t, upstream.opened, 1)
}

// TestIdleConnectionsToVanishedUpstream guards against an upstream that vanishes while connections to it are idle: the kernel
// would end one of them within the next request, which then arrives later, and each further request on the others would be
// held up as long as the first.
func TestIdleConnectionsToVanishedUpstream(t *testing.T) {
	answerOne := func(text string) script {
		return func(conn net.Conn, reader *bufio.Reader) {
			_, _ = http.ReadRequest(reader)
			_, _ = io.WriteString(conn, text)
			<-t.Context().Done()
		}
	}
	upstream := newScriptedUpstream(t, answerOne(reply("1", "a")), answerOne(reply("2", "b")))
	connector := newTestConnector(t)
	ends := make([]*Answer, 0, 2)
	for _, id := range []string{"1", "2"} {
		answer, err := connector.Send(t.Context(), upstream.address, Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, ID: id})
		assert.NilError(t, err)
		ends = append(ends, answer)
	}
	for _, answer := range ends {
		_, err := io.ReadAll(answer)
		assert.NilError(t, err)
		answer.Done()
	}
	idle := connector.idle[upstream.address]
	assert.Equal(t, len(idle), 2)
	for _, connection := range idle {
		keepAlive, timeout := kernelChecks(t, connection)
		assert.Equal(t, keepAlive, 0)
		assert.Equal(t, timeout, 0)
	}
	_, err := connector.Send(t.Context(), upstream.address, Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, HasBody: true, Body: make([]byte, silentBodyBytes), ID: "3",
	})
	var unacknowledged *UnacknowledgedError
	assert.Assert(t, errors.As(err, &unacknowledged), "%v", err)
	assert.Equal(t, len(connector.idle[upstream.address]), 0)
}
