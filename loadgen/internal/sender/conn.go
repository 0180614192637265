package sender

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// countingConn counts the bytes written, which shows whether any part of a failed request was sent.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written.Add(int64(n))
	return n, err
}

// newTransport returns a transport that keeps many idle connections, as a load balancer does.
func newTransport() *http.Transport {
	const (
		dialTimeout = 2 * time.Second
		idlePerHost = 1024
		idleTimeout = 30 * time.Second
	)
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// writeTracker records whether any byte of one attempt was written.
type writeTracker struct {
	conn          *countingConn
	writtenBefore int64
}

// trace returns a context that makes the HTTP client report the connection of the attempt to the tracker.
func (t *writeTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*countingConn); ok {
			t.conn, t.writtenBefore = conn, conn.written.Load()
		}
	}})
}

func (t *writeTracker) sent() bool { return t.conn != nil && t.conn.written.Load() > t.writtenBefore }
