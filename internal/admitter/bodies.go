package admitter

import (
	"context"
	"crypto/tls"
	"net"

	"coltsfootplank/internal/accountant"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// connContext adds a connection to the context of its requests.
func connContext(ctx context.Context, netConn net.Conn) context.Context {
	if secure, ok := netConn.(*tls.Conn); ok {
		netConn = secure.NetConn()
	}
	return context.WithValue(ctx, connKey{}, netConn)
}

// ExpectBody enlarges the receive buffer of a request's connection for a body of at most size bytes, whose memory has been
// reserved. If there is no memory for the buffer, it stays as it is, and less arrives in each round trip. ctx is the context of the
// request.
//
// The buffer stays enlarged until the connection ends. A client that has seen a larger window would send no more than a probe
// five times a second into one that is smaller than its segments.
func ExpectBody(ctx context.Context, size int64) { enlarge(ctx, receiving, size) }

// ExpectAnswer does the same for the send buffer and an answer. A client acknowledges a part of a segment 40 ms late, and a small
// buffer holds no more than that on paths with large segments.
func ExpectAnswer(ctx context.Context, size int64) { enlarge(ctx, sending, size) }

func enlarge(ctx context.Context, d direction, size int64) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	c.admitter.mu.Lock()
	buffer, enlarged := c.admitter.table.enlarge(&c.entry, d, size)
	c.admitter.mu.Unlock()
	if enlarged {
		// An error means that the connection is closed already.
		_ = setBuffer(tcp, d, buffer)
	}
}

// direction tells the buffers of a socket apart.
type direction int

const (
	receiving direction = iota
	sending
	directions
)

// enlarge reserves the memory for a larger buffer of a connection. It returns the size of the buffer, and false if the present one
// is large enough for size bytes or there is no memory.
func (t *table) enlarge(e *entry, d direction, size int64) (buffer int, ok bool) {
	usual := [directions]int{receiving: t.bounds.ReceiveBuffer, sending: t.bounds.SendBuffer}[d]
	if usual == 0 || size <= int64(usual)/usualBodyParts || e.gone {
		return 0, false
	}
	buffer = int(min(largestBuffer, max(size, int64(usual))))
	added := bufferFactor*int64(buffer-usual) - e.buffers[d]
	if added <= 0 || t.bodyBuffers+added > t.bounds.BodyBuffers || !t.account.Reserve(accountant.Buffers, added) {
		return 0, false
	}
	e.buffers[d] += added
	t.bodyBuffers += added
	return buffer, true
}

// shrink frees the memory of a connection's larger buffers.
func (t *table) shrink(e *entry) {
	for d := range e.buffers {
		t.bodyBuffers -= e.buffers[d]
		t.account.Add(accountant.Buffers, -e.buffers[d])
		e.buffers[d] = 0
	}
}
