package connector

import (
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

// TestKernelChecksResume guards against a connection whose upstream vanishes within its answer, or while it is idle, and on
// which the kernel no longer looks for it.
func TestKernelChecksResume(t *testing.T) {
	upstream := newScriptedUpstream(t, answering(reply("1", "a"), reply("2", "b")))
	connector := newTestConnector(t)
	checks := func(c *connection) (keepAlive, timeout int) {
		raw, err := c.conn.(*net.TCPConn).SyscallConn()
		assert.NilError(t, err)
		assert.NilError(t, raw.Control(func(descriptor uintptr) {
			keepAlive, _ = unix.GetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
			timeout, _ = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		}))
		return keepAlive, timeout
	}
	for _, id := range []string{"1", "2"} {
		answer, err := connector.Send(t.Context(), upstream.address, Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, ID: id})
		assert.NilError(t, err)
		keepAlive, timeout := checks(answer.connection)
		assert.Equal(t, keepAlive, 1)
		assert.Equal(t, timeout, int(userTimeout.Milliseconds()))
		_, err = io.ReadAll(answer)
		assert.NilError(t, err)
		answer.Done()
	}
	assert.Equal(t, upstream.opened, 1)
}
