package connector

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// DuplexConn is a connection that is read while a request is still being written. The kernel reports the failure of a
// connection once, to its reader or to its writer, and then shows the other one a regular end. Read returns the error of the
// writer instead of such an end, so that a body without a length that was cut off doesn't look complete.
type DuplexConn struct {
	net.Conn
	// mu is held during a write.
	mu       sync.Mutex
	writeErr error
}

// NewDuplexConn returns a connection that is read and written through another one.
func NewDuplexConn(conn net.Conn) *DuplexConn { return &DuplexConn{Conn: conn} }

// Write implements net.Conn.
func (c *DuplexConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(data)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only after the peer has ended the connection in the regular way.
func (c *DuplexConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if errors.Is(err, io.EOF) {
		err = c.end()
	}
	return n, err
}

// end returns the error for which the connection ended, or io.EOF. It ends the write that is under way, since its error may
// be the one.
func (c *DuplexConn) end() error {
	// An error means that the connection is closed already.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	// After the regular end, a reset fails a write with EPIPE.
	if c.writeErr == nil || errors.Is(c.writeErr, os.ErrDeadlineExceeded) || errors.Is(c.writeErr, syscall.EPIPE) {
		return io.EOF
	}
	return c.writeErr
}
