package requester

import (
	"net"
	"net/http/httptrace"
	"sync"

	"coltsfootplank/internal/connector"
)

// countingConn counts the bytes written to a connection, which decides whether a failed request may have reached the
// network. The hooks of httptrace for written headers can't decide that, since they run before the buffer is flushed.
type countingConn struct {
	net.Conn
	mu sync.Mutex
	// head scans the head of the present answer.
	head          connector.HeadScanner
	written       int64
	writing       bool
	writesBlocked bool
}

// Read reads from the connection. Errors: those of the connection, and *connector.ContinuedLineError.
func (c *countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.Scan(buffer[:n]); c.head.Continued() {
		return 0, &connector.ContinuedLineError{}
	}
	return n, err
}

// begin prepares the connection for a request, and returns the number of bytes written before.
func (c *countingConn) begin() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = connector.HeadScanner{}
	return c.written
}

// Write writes to the connection. Errors: those of the connection, and *WritesBlockedError.
func (c *countingConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked {
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

// blockWrites blocks further writes if the count of written bytes is still writtenBefore and no write is under way. It
// reports whether it blocked them.
func (c *countingConn) blockWrites(writtenBefore int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing || c.written > writtenBefore {
		return false
	}
	c.writesBlocked = true
	return true
}

// sendTrace records the connections that the transport used for one request.
type sendTrace struct {
	mu    sync.Mutex
	conns []tracedConn
}

type tracedConn struct {
	conn *countingConn
	// writtenBefore is the number of bytes that were written to the connection before the request.
	writtenBefore int64
}

func (t *sendTrace) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*countingConn)
		if !ok {
			return
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.conns = append(t.conns, tracedConn{conn: conn, writtenBefore: conn.begin()})
	}}
}

// unsent reports whether no byte of the request was written, and makes sure that none will be written later.
func (t *sendTrace) unsent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	unsent := true
	for _, traced := range t.conns {
		if !traced.conn.blockWrites(traced.writtenBefore) {
			unsent = false
		}
	}
	return unsent
}

// closeConns closes the connections, which the transport may otherwise use for other requests.
func (t *sendTrace) closeConns() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, traced := range t.conns {
		_ = traced.conn.Close()
	}
}
