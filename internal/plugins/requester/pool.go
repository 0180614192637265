package requester

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"coltsfootplank/internal/connector"
)

const (
	// dialTimeout limits the time to open a connection. The round trip between data centres of one region takes about a
	// millisecond.
	dialTimeout = time.Second
	// idleTimeout is shorter than the idle timeouts that servers commonly have: a request would be lost if it were sent
	// while the server closes the connection.
	idleTimeout = 15 * time.Second
	// idleConnsPerHost and idleConns limit the idle connections to one upstream and in total. A router that polls all
	// 900 engines keeps about one for each.
	idleConnsPerHost = 4
	idleConns        = 1024
	// connsPerHost limits the connections to one upstream; further requests wait for a free one.
	connsPerHost = 512
	// maxHeadBytes is the size limit of the head of an answer.
	maxHeadBytes = 64 << 10
)

// transportPool holds the transports that all clients share, so that the connection limits hold for the whole process.
type transportPool struct {
	mu sync.Mutex
	// clients is the number of open clients.
	clients int
	// keepAlive reuses connections, singleUse opens one for each request.
	keepAlive *http.Transport
	singleUse *http.Transport
}

var transports = transportPool{
	keepAlive: newTransport(true, &net.Dialer{Timeout: dialTimeout}), singleUse: newTransport(false, &net.Dialer{Timeout: dialTimeout}),
}

func newTransport(keepAlive bool, dialer *net.Dialer) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: connector.NewDuplexConn(conn)}, nil
		},
		DisableKeepAlives:      !keepAlive,
		DisableCompression:     true,
		MaxIdleConns:           idleConns,
		MaxIdleConnsPerHost:    idleConnsPerHost,
		MaxConnsPerHost:        connsPerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

func (p *transportPool) acquire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clients++
}

// release closes the idle connections when the last client is closed.
func (p *transportPool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clients--
	if p.clients == 0 {
		p.keepAlive.CloseIdleConnections()
		p.singleUse.CloseIdleConnections()
	}
}
