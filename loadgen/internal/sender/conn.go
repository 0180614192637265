package sender

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// countedConn counts the bytes written, so that a failed request is known to be sent or not.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written.Add(int64(n))
	return n, err
}

// newTransport returns a transport that keeps many connections open, as a load balancer does.
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
			return &countedConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// sentMark tells whether any byte of one attempt was written.
type sentMark struct {
	conn   *countedConn
	before int64
}

func (m *sentMark) watch(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*countedConn); ok {
			m.conn, m.before = conn, conn.written.Load()
		}
	}})
}

func (m *sentMark) sent() bool { return m.conn != nil && m.conn.written.Load() > m.before }
