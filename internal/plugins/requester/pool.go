package requester

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// dialTimeout bounds connecting. Data centres of one region are about a millisecond apart.
	dialTimeout = time.Second
	// idleTimeout closes kept connections before common server limits do, which would lose a request in flight.
	idleTimeout = 15 * time.Second
	// idleConnsPerHost and idleConns bound the kept connections. A router that polls all 900 engines keeps about
	// one for each.
	idleConnsPerHost = 4
	idleConns        = 1024
	// connsPerHost bounds the connections to one upstream; further requests wait for one.
	connsPerHost = 512
)

// pool holds the transports that all clients of the process share, so that their bounds hold for the process.
type pool struct {
	mu    sync.Mutex
	users int
	// kept reuses connections, fresh opens one for each request.
	kept  *http.Transport
	fresh *http.Transport
}

var shared = pool{kept: newTransport(true), fresh: newTransport(false)}

func newTransport(keep bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		DisableKeepAlives:   !keep,
		DisableCompression:  true,
		MaxIdleConns:        idleConns,
		MaxIdleConnsPerHost: idleConnsPerHost,
		MaxConnsPerHost:     connsPerHost,
		IdleConnTimeout:     idleTimeout,
	}
}

func (p *pool) acquire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.users++
}

// release closes the kept connections when the last client is closed.
func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.users--
	if p.users == 0 {
		p.kept.CloseIdleConnections()
		p.fresh.CloseIdleConnections()
	}
}
