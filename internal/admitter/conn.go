package admitter

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// prefaceStart begins the preface of HTTP/2. No method of HTTP/1.1 begins like this.
const prefaceStart = "PRI"

// conn is a client's connection. While net/http reads a head from it, it counts what arrives; otherwise bytes pass unchanged.
type conn struct {
	net.Conn
	admitter *Admitter
	entry    entry
	// The following fields belong to the goroutine that serves the connection. While a request is active, net/http reads from
	// another goroutine, which doesn't change them.
	head head
	// published are the limits for the present head, which apply from its first byte.
	published Published
	// preface is the number of bytes that match prefaceStart; -1 once one didn't.
	preface int
	// encrypted is the number of bytes that a TLS handshake took, and shaken is set once it is done.
	encrypted int
	shaken    bool
	// idleArmed is set once net/http has set the deadline of an idle connection; the next one is that of the head.
	idleArmed bool

	// mu guards what other goroutines change.
	mu    sync.Mutex
	phase phase
	// tunnel is set once the connection carries a protocol with bounds of its own.
	tunnel bool
	// evicted is the cause for which the connection is being closed.
	evicted Cause
	// refused is set once the client was told.
	refused atomic.Bool
}

func newConn(a *Admitter, accepted net.Conn) *conn {
	c := &conn{Conn: accepted, admitter: a, entry: entry{address: remoteAddress(accepted)}}
	c.entry.owner = c
	return c
}

// state returns the phase and the cause for which the connection is being closed.
func (c *conn) state() (phase, Cause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase, c.evicted
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	current, evicted := c.state()
	if evicted != "" {
		return 0, c.end(evicted)
	}
	if current == active {
		return c.Conn.Read(p)
	}
	if c.head.bytes > 0 {
		if cause := c.checkHead(); cause != "" {
			c.admitter.note(cause)
			return 0, c.end(cause)
		}
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.count(p[:n])
		return n, err
	}
	if _, evicted = c.state(); evicted != "" {
		return 0, c.end(evicted)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.head.bytes > 0 {
		c.admitter.note(CauseHeadTimeout)
		return 0, c.end(CauseHeadTimeout)
	}
	return n, err
}

// count adds bytes to the head.
func (c *conn) count(p []byte) {
	if c.head.bytes == 0 {
		c.published = c.admitter.options.Published()
	}
	if c.preface >= 0 && c.admitter.options.HTTP2 {
		c.matchPreface(p)
	}
	if c.admitter.options.Encrypted {
		// Records of TLS aren't lines.
		c.head.bytes += len(p)
		return
	}
	c.head.add(p)
}

// matchPreface makes the connection a tunnel once it has sent the beginning of the preface.
func (c *conn) matchPreface(p []byte) {
	for _, b := range p {
		if b != prefaceStart[c.preface] {
			c.preface = -1
			return
		}
		if c.preface++; c.preface == len(prefaceStart) {
			c.preface = -1
			c.becomeTunnel()
			return
		}
	}
}

// becomeTunnel ends the counting for good.
func (c *conn) becomeTunnel() {
	c.begin(active)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tunnel = true
}

// handshakeDone is called at the end of a TLS handshake.
func (c *conn) handshakeDone(http2 bool) {
	c.shaken, c.encrypted = true, c.head.bytes
	if http2 {
		c.becomeTunnel()
	}
}

// checkHead is called when net/http needs more bytes of the head. It returns the bound that the head exceeds, and accounts for
// its memory.
func (c *conn) checkHead() Cause {
	charge := headCharge(c.head.bytes, c.head.lines)
	if c.admitter.options.Encrypted {
		// net/http bounds the size of heads inside TLS.
		charge = int64(c.head.bytes)
		if c.shaken {
			charge += int64(c.head.bytes-c.encrypted) * (encryptedFactor - 1)
		}
	} else if cause := c.head.exceeded(c.admitter.options.Bounds, c.published); cause != "" {
		return cause
	}
	a := c.admitter
	a.mu.Lock()
	a.table.begin(&c.entry, unfinished, time.Now())
	closed := a.table.grow(&c.entry, charge)
	a.mu.Unlock()
	switch {
	case closed == &c.entry:
		return CauseHeadMemory
	case closed != nil:
		a.note(CauseHeadMemory)
		a.close(closed, CauseHeadMemory)
	}
	return ""
}

// begin follows the connection to another phase. A head that is finished just as the connection is being closed for another
// one is served, unless its client was told otherwise.
func (c *conn) begin(p phase) {
	c.mu.Lock()
	if c.tunnel || c.phase == p || c.refused.Load() {
		c.mu.Unlock()
		return
	}
	restored := c.evicted != ""
	if restored {
		c.evicted = ""
		// The deadline that evict has set would end the request.
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	c.phase = p
	c.mu.Unlock()
	if p == idle {
		c.head, c.idleArmed, c.encrypted = head{}, false, 0
	}
	now := time.Now()
	c.admitter.mu.Lock()
	defer c.admitter.mu.Unlock()
	if restored {
		c.admitter.table.readmit(&c.entry, p, now)
	}
	c.admitter.table.begin(&c.entry, p, now)
}

// evict makes the connection's own goroutine close it. It returns false if the connection's head has been finished meanwhile.
func (c *conn) evict(cause Cause) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == active {
		return false
	}
	c.evicted = cause
	// An error means that the connection is closed already.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// end refuses the head and returns the error of the read.
func (c *conn) end(cause Cause) error {
	c.mu.Lock()
	started := c.phase == unfinished || c.head.bytes > 0
	c.evicted = cause
	told := c.refused.Swap(true)
	c.mu.Unlock()
	if !told && started {
		c.refuse(cause)
	}
	return &ClosedError{Cause: cause}
}

// refuse tells the client why it isn't served, where that can be written.
func (c *conn) refuse(cause Cause) {
	if c.admitter.options.Encrypted || c.admitter.options.HTTP2 {
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	// The connection is closed in any case. Write itself drops what follows a refusal.
	_, _ = c.Conn.Write(refusalText(cause))
}

// Write implements net.Conn. It drops what net/http writes after a refusal, such as 400 for a line that the refusal cut off.
func (c *conn) Write(p []byte) (int, error) {
	if c.refused.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// SetReadDeadline implements net.Conn. While no request is active, the deadlines of net/http are shortened to the published
// timeouts, and none replaces that of a connection that is being closed.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted != "" {
		return nil
	}
	if c.phase != active && !t.IsZero() {
		published := c.admitter.options.Published()
		timeout := published.HeadTimeout
		if c.phase == idle && !c.idleArmed {
			c.idleArmed = true
			timeout = published.IdleTimeout
		}
		if limit := time.Now().Add(timeout); timeout > 0 && limit.Before(t) {
			t = limit
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.admitter.mu.Lock()
	c.admitter.table.end(&c.entry)
	c.admitter.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite lets net/http end an answer before it closes the connection.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger lets a connection be reset.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}
