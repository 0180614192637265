package messenger

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/protocol/protocolconnect"
)

// Timeouts of connections between routers. A connection to a VM that is gone is closed after sendPingTimeout plus
// pingTimeout, so that later calls don't queue on it.
const (
	sendPingTimeout  = time.Second
	pingTimeout      = time.Second
	writeByteTimeout = 2 * time.Second
	idleConnTimeout  = time.Minute
	// CallTimeout bounds the unary calls except Gossip, whose callers set their own timeout.
	CallTimeout = 2 * time.Second
)

const (
	// maxMessageBytes is the size limit of a message. OutboxLimit items of the usual 256 bytes fit into it.
	maxMessageBytes = 16 << 20
	// maxHeadBytes is the size limit of the headers of a call or an answer.
	maxHeadBytes = 64 << 10
)

func http2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		SendPingTimeout:      sendPingTimeout,
		PingTimeout:          pingTimeout,
		WriteByteTimeout:     writeByteTimeout,
		MaxConcurrentStreams: 10_000,
	}
}

// Pool calls other routers by address ("ip:port"). All calls to an address share one connection.
type Pool struct {
	transport *http.Transport
	scheme    string
	mu        sync.Mutex
	clients   map[string]protocolconnect.RouterServiceClient
}

// NewPool returns an empty pool and its cleanup function. If tlsConfig is nil, the pool uses unencrypted HTTP/2.
func NewPool(tlsConfig *tls.Config) (*Pool, func()) {
	pool := &Pool{scheme: "http://", clients: make(map[string]protocolconnect.RouterServiceClient)}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(tlsConfig == nil)
	protocols.SetHTTP2(tlsConfig != nil)
	if tlsConfig != nil {
		pool.scheme = "https://"
	}
	pool.transport = &http.Transport{
		Protocols:              protocols,
		TLSClientConfig:        tlsConfig,
		HTTP2:                  http2Config(),
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return pool, pool.transport.CloseIdleConnections
}

func (p *Pool) client(address string) protocolconnect.RouterServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	client, ok := p.clients[address]
	if !ok {
		// Messages are small and frequent, so that compression would cost more processor time than it saves.
		client = protocolconnect.NewRouterServiceClient(&http.Client{Transport: p.transport}, p.scheme+address,
			connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(maxMessageBytes))
		p.clients[address] = client
	}
	return client
}

// Forget drops the client of an address, for example when its member is dead.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.clients, address)
}

// Gossip sends a probe. Errors: *CallError.
func (p *Pool) Gossip(ctx context.Context, address string,
	request *protocol.GossipRequest,
) (*protocol.GossipResponse, error) {
	response, err := p.client(address).Gossip(ctx, request)
	if err != nil {
		return nil, &CallError{Operation: "gossip", Address: address, Cause: err}
	}
	return response, nil
}

// Snapshot fetches the peer's catalogue snapshot. Errors: *CallError.
func (p *Pool) Snapshot(ctx context.Context, address string,
	request *protocol.SnapshotRequest,
) (*protocol.SnapshotResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	response, err := p.client(address).Snapshot(ctx, request)
	if err != nil {
		return nil, &CallError{Operation: "fetch snapshot", Address: address, Cause: err}
	}
	return response, nil
}

// rolloutTimeout bounds a report to the decider of a rollout. It is well below the time after which a router that reaches no
// decider stops using the service's engines.
const rolloutTimeout = 400 * time.Millisecond

// Rollout reports to the decider of a rollout. Errors: *CallError.
func (p *Pool) Rollout(ctx context.Context, address string,
	request *protocol.RolloutRequest,
) (*protocol.RolloutResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	response, err := p.client(address).Rollout(ctx, request)
	if err != nil {
		return nil, &CallError{Operation: "report to decider", Address: address, Cause: err}
	}
	return response, nil
}

// WatchIdleTimeout is how long a Watch stream may go without an update before it is treated as broken.
const WatchIdleTimeout = 900 * time.Millisecond

// Watch passes the updates of the router at address to receive until the stream breaks, no update arrives for
// WatchIdleTimeout, receive returns false, or ctx ends. Errors: *CallError, never nil.
func (p *Pool) Watch(ctx context.Context, address string, request *protocol.WatchRequest,
	receive func(*protocol.WatchUpdate) bool,
) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(WatchIdleTimeout, cancel)
	defer idleTimer.Stop()
	stream, err := p.client(address).Watch(ctx, request)
	if err != nil {
		return &CallError{Operation: "watch", Address: address, Cause: err}
	}
	for stream.Receive() {
		idleTimer.Reset(WatchIdleTimeout)
		if !receive(stream.Msg()) {
			break
		}
	}
	err = stream.Err()
	cancel()
	// The stream has already ended, by its own error or by the cancellation.
	_ = stream.Close()
	return &CallError{Operation: "watch", Address: address, Cause: err}
}

// Claim registers claims in the peer's memory. Errors: *CallError.
func (p *Pool) Claim(ctx context.Context, address string, request *protocol.ClaimRequest) (*protocol.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	response, err := p.client(address).Claim(ctx, request)
	if err != nil {
		return nil, &CallError{Operation: "claim", Address: address, Cause: err}
	}
	return response, nil
}

// Schedule runs one Schedule stream to the router at address until it breaks or ctx ends. The first message in
// the outbox must carry a hello. Errors: *CallError, never nil.
func (p *Pool) Schedule(ctx context.Context, address string, outbox *Outbox[protocol.HolderMessage],
	receive func(*protocol.SchedulerMessage),
) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := p.client(address).Schedule(ctx)
	if err != nil {
		return &CallError{Operation: "open schedule stream", Address: address, Cause: err}
	}
	raw := &clientStream{BidiStreamForClientSimple: stream, cancel: cancel}
	err = Pump(ctx, raw, outbox, &protocol.HolderMessage{Heartbeat: true}, receive)
	_ = stream.CloseRequest()
	_ = stream.CloseResponse()
	return &CallError{Operation: "schedule stream", Address: address, Cause: err}
}

type clientStream struct {
	*connect.BidiStreamForClientSimple[protocol.HolderMessage, protocol.SchedulerMessage]
	cancel context.CancelFunc
}

// Interrupt cancels the HTTP request and closes its body, which makes Send and Receive return. Cancelling alone isn't
// enough, because HTTP/2 doesn't check for it while it waits for more of the body.
func (s *clientStream) Interrupt() {
	s.cancel()
	// An error means that the stream has already ended.
	_ = s.CloseRequest()
}
