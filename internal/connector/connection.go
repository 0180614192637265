package connector

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// bufferBytes is the size of the read buffer of a connection: an event of a stream has some hundred bytes.
const bufferBytes = 4 << 10

// connection is one connection to an upstream. One request at a time uses it.
type connection struct {
	conn    net.Conn
	reader  *bufio.Reader
	counter *countingConn
	// reused says that an earlier request was answered on it.
	reused bool
	// idleSince and idleLimit say how long it may still be kept.
	idleSince time.Time
	idleLimit time.Duration
}

// countingConn counts the bytes written, which tell whether a request may have reached the upstream.
type countingConn struct {
	net.Conn
	written int64
}

func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written += int64(n)
	return n, err
}

func newConnection(conn net.Conn, idleLimit time.Duration) *connection {
	counter := &countingConn{Conn: conn}
	return &connection{
		conn: conn, counter: counter, reader: bufio.NewReaderSize(conn, bufferBytes), idleLimit: idleLimit,
	}
}

// quiet says whether the connection is open and no byte waits on it. Bytes that no request asked for, or the end of the
// connection, make it unusable.
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	system, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var buffer [1]byte
	err = raw.Read(func(descriptor uintptr) bool {
		_, readErr := syscall.Read(int(descriptor), buffer[:])
		quiet = errors.Is(readErr, syscall.EAGAIN) || errors.Is(readErr, syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && quiet
}

// expired says whether the upstream may have closed the connection for idleness by now.
func (c *connection) expired(now time.Time) bool { return now.Sub(c.idleSince) >= c.idleLimit }

// noteKeepAlive takes over the idle timeout that an answer states, less a margin for the way there.
func (c *connection) noteKeepAlive(value string) {
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

// close ends an idle connection. An error means that it has ended already.
func (c *connection) close() { _ = c.conn.Close() }

// reset ends a connection at once, which is the way to cancel a request. Bytes of the request that are still on their way,
// such as those that a link holds up, are dropped: a plain close would deliver them later, when the upstream may be
// leaving or the caller gone.
func (c *connection) reset() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		// An error means that the connection has ended already.
		_ = tcp.SetLinger(0)
	}
	c.close()
}

// discard reads a body that belongs to another request.
func discard(body io.Reader) error {
	_, err := io.Copy(io.Discard, io.LimitReader(body, strayBytes))
	return err
}
