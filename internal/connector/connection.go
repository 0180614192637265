package connector

import (
	"bufio"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// readBufferBytes is the size of a connection's read buffer. An event of a stream has a few hundred bytes.
const readBufferBytes = 4 << 10

// connection is one connection to an upstream. It serves one request at a time.
type connection struct {
	conn    net.Conn
	reader  *bufio.Reader
	limit   *limitedReader
	counter *countingConn
	// reused is set if an earlier request was answered on the connection.
	reused bool
	// closing is set if the connection must not be used for another request.
	closing bool
	// kernelChecks is set while the kernel checks whether the upstream is there.
	kernelChecks bool
	// discarded holds the IDs of the requests whose answers were discarded. Such a request may be sent again, but not on
	// this connection, where a repeated answer to it could be taken for that to the new attempt.
	discarded []string
	// The connection expires once it has been idle for idleLimit, counted from idleSince.
	idleSince time.Time
	idleLimit time.Duration
}

// maxWriteBytes is the size of one write of a long body, so that the bytes written are counted while it is under way.
const maxWriteBytes = 16 << 10

// countingConn counts the bytes written, which decides whether a request may have reached the upstream.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countingConn) Write(data []byte) (int, error) {
	total := 0
	for {
		part := data[total:min(len(data), total+maxWriteBytes)]
		n, err := c.Conn.Write(part)
		total += n
		c.written.Add(int64(n))
		if err != nil || total == len(data) {
			return total, err
		}
	}
}

func newConnection(conn net.Conn, idleLimit time.Duration) *connection {
	duplex := NewDuplexConn(conn)
	limit := &limitedReader{reader: duplex, left: unlimitedBytes}
	return &connection{
		conn: conn, counter: &countingConn{Conn: duplex}, reader: bufio.NewReaderSize(limit, readBufferBytes), limit: limit,
		idleLimit: idleLimit, kernelChecks: true,
	}
}

// reusable reports whether the connection is open and has no unread bytes. Unread bytes on an idle connection belong to
// no request.
func (c *connection) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var buffer [1]byte
	err = rawConn.Read(func(descriptor uintptr) bool {
		_, readErr := syscall.Read(int(descriptor), buffer[:])
		empty = errors.Is(readErr, syscall.EAGAIN) || errors.Is(readErr, syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && empty
}

// expired reports whether the upstream may have closed the connection by now because it is idle.
func (c *connection) expired(now time.Time) bool { return now.Sub(c.idleSince) >= c.idleLimit }

// applyKeepAlive sets the idle limit from the timeout in a Keep-Alive header, less idleMargin.
func (c *connection) applyKeepAlive(value string) {
	for part := range strings.SplitSeq(value, ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if limit, err := strconv.Atoi(text); err == nil && limit >= 0 {
			c.idleLimit = max(0, time.Duration(limit)*time.Second-idleMargin)
		}
	}
}

// close closes the connection. An error only means that it is closed already.
func (c *connection) close() { _ = c.conn.Close() }

// reset closes the connection with a TCP reset, which cancels a request. Bytes of the request that haven't been delivered
// yet, for example because of a slow link, are discarded. A plain close would deliver them later, when the upstream may
// be leaving or the caller may have disconnected.
func (c *connection) reset() { Reset(c.conn) }

// Reset closes a connection with a TCP reset, a TLS connection without the message that ends it.
func Reset(conn net.Conn) {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		// An error means that the connection is closed already.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// discard reads and drops the body of an answer to another request. The connection is unusable after an error, since the
// rest of the body follows on it. Errors: *ExtraAnswerTooLargeError, and those of the connection.
func discard(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBodyBytes+1))
	if err == nil && n > maxSkippedBodyBytes {
		return &ExtraAnswerTooLargeError{Limit: maxSkippedBodyBytes}
	}
	return err
}
