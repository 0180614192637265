package requester

import (
	"net"
	"net/http/httptrace"
	"sync"
)

// countedConn counts the bytes written to a connection. It decides whether a failed request reached the network:
// the trace hooks for written headers run before the buffer is flushed and can't tell.
type countedConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	writing bool
	sealed  bool
}

// Write writes to the connection, or returns a *SealedError.
func (c *countedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, &WritesBlockedError{}
	}
	c.writing = true
	c.mu.Unlock()
	n, err := c.Conn.Write(data)
	c.mu.Lock()
	c.writing = false
	c.written += int64(n)
	c.mu.Unlock()
	return n, err
}

// seal forbids further writes if nothing was written since the count was start, and reports whether it did.
func (c *countedConn) seal(start int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing || c.written > start {
		return false
	}
	c.sealed = true
	return true
}

func (c *countedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// sendTrace remembers the connections that one request was given.
type sendTrace struct {
	mu    sync.Mutex
	conns []tracedConn
}

type tracedConn struct {
	conn  *countedConn
	start int64
}

func (t *sendTrace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*countedConn)
		if !ok {
			return
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.conns = append(t.conns, tracedConn{conn: conn, start: conn.count()})
	}}
}

// unsent reports whether no byte of the request was written, and makes sure that none will be.
func (t *sendTrace) unsent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	unsent := true
	for _, traced := range t.conns {
		if !traced.conn.seal(traced.start) {
			unsent = false
		}
	}
	return unsent
}
