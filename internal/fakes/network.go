package fakes

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/protocol"
)

const (
	// latency is the one-way delay of a message without faults, as between today's data centres.
	latency = time.Millisecond
	// streamBuffer is the largest number of messages in flight in one direction of a stream.
	streamBuffer = 4096
)

// UnreachableError reports a call from or to a router that isn't running.
type UnreachableError struct{ Router string }

func (e *UnreachableError) Error() string { return "fake network: connection refused by " + e.Router }

// ResponseLostError reports a call whose response was lost because of SetLoss.
type ResponseLostError struct{ From, To string }

func (e *ResponseLostError) Error() string {
	return fmt.Sprintf("fake network: response from %s to %s lost", e.From, e.To)
}

// Network connects routers in memory, by name. Messages that can't be delivered because of a cut or a frozen router are
// held back, as by TCP, until the fault or the call ends. Its methods may be called concurrently.
type Network struct {
	mu           sync.Mutex
	peers        map[string]peer
	cuts         map[[2]string]bool
	frozen       map[string]bool
	streams      map[*connection]struct{}
	delay        time.Duration
	lossInterval int
	calls        int
	changed      chan struct{}
	group        errgroup.Group
}

type peer struct {
	ctx      context.Context
	handlers messenger.Handlers
}

type connection struct {
	from, to string
	stop     context.CancelFunc
}

// NewNetwork returns a network with neither routers nor faults.
func NewNetwork() *Network {
	return &Network{
		peers: make(map[string]peer), cuts: make(map[[2]string]bool), frozen: make(map[string]bool),
		streams: make(map[*connection]struct{}), changed: make(chan struct{}), delay: latency,
	}
}

// Join connects a router until ctx ends. The handlers serve the calls of the other routers.
func (n *Network) Join(ctx context.Context, name string, handlers messenger.Handlers) {
	n.change(func() { n.peers[name] = peer{ctx: ctx, handlers: handlers} })
}

// Cut holds back all messages from one router to another; if cut is false, it ends that fault.
func (n *Network) Cut(from, to string, cut bool) {
	n.change(func() { n.cuts[[2]string{from, to}] = cut })
}

// Freeze holds back all messages that a router sends or receives; if frozen is false, it ends that fault.
func (n *Network) Freeze(name string, frozen bool) { n.change(func() { n.frozen[name] = frozen }) }

// SetDelay sets the one-way delay of messages. Delays below the default, such as 0, set the default.
func (n *Network) SetDelay(delay time.Duration) { n.change(func() { n.delay = max(delay, latency) }) }

// SetLoss loses the response of every count-th unary call; 0 loses none.
func (n *Network) SetLoss(count int) { n.change(func() { n.lossInterval = count }) }

// BreakStreams ends all open streams.
func (n *Network) BreakStreams() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.streams {
		c.stop()
	}
}

// Wait waits until the serving side of every stream has ended.
func (n *Network) Wait() { _ = n.group.Wait() }

func (n *Network) change(set func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	set()
	close(n.changed)
	n.changed = make(chan struct{})
}

// WaitUnfrozen waits while the router is frozen. It returns *UnreachableError if the router isn't running, and the error
// of ctx if ctx ends first.
func (n *Network) WaitUnfrozen(ctx context.Context, name string) error {
	return n.awaitUnblocked(ctx, name, name)
}

func (n *Network) awaitUnblocked(ctx context.Context, from, to string) error {
	for {
		n.mu.Lock()
		blocked := n.cuts[[2]string{from, to}] || n.frozen[from] || n.frozen[to]
		changed, sender, receiver := n.changed, n.peers[from], n.peers[to]
		n.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case sender.ctx == nil || sender.ctx.Err() != nil:
			return &UnreachableError{Router: from}
		case receiver.ctx == nil || receiver.ctx.Err() != nil:
			return &UnreachableError{Router: to}
		case !blocked:
			return nil
		}
		select {
		case <-ctx.Done():
		case <-sender.ctx.Done():
		case <-receiver.ctx.Done():
		case <-changed:
		}
	}
}

func (n *Network) awaitDelivery(ctx context.Context, from, to string) error {
	n.mu.Lock()
	timer := time.NewTimer(n.delay)
	n.mu.Unlock()
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	}
	return n.awaitUnblocked(ctx, from, to)
}

func (n *Network) peer(name string) (peer, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.peers[name]
	if !ok || p.ctx.Err() != nil {
		return p, &UnreachableError{Router: name}
	}
	return p, nil
}

func (n *Network) losesResponse() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls++
	return n.lossInterval > 0 && n.calls%n.lossInterval == 0
}

// Endpoint is one router's connection to the others. It has the call methods of *messenger.Pool.
type Endpoint struct {
	network *Network
	name    string
}

// Endpoint returns a router's connection to the others.
func (n *Network) Endpoint(name string) Endpoint { return Endpoint{network: n, name: name} }

func call[Q, A proto.Message](
	ctx context.Context, e Endpoint, to string, request Q,
	handler func(messenger.Handlers) func(context.Context, Q) (A, error),
) (answer A, err error) {
	callee, err := e.network.peer(to)
	if err != nil {
		return answer, err
	}
	if err := e.network.awaitDelivery(ctx, e.name, to); err != nil {
		return answer, err
	}
	answer, err = handler(callee.handlers)(ctx, proto.CloneOf(request))
	if err != nil {
		return answer, err
	}
	if e.network.losesResponse() {
		return answer, &ResponseLostError{From: to, To: e.name}
	}
	return proto.CloneOf(answer), e.network.awaitDelivery(ctx, to, e.name)
}

// Gossip implements detector.Transport.
func (e Endpoint) Gossip(ctx context.Context, to string, request *protocol.GossipRequest) (*protocol.GossipResponse, error) {
	return call(ctx, e, to, request,
		func(h messenger.Handlers) func(context.Context, *protocol.GossipRequest) (*protocol.GossipResponse, error) {
			return h.Gossip
		})
}

// Snapshot fetches a peer's catalogue snapshot.
func (e Endpoint) Snapshot(ctx context.Context, to string,
	request *protocol.SnapshotRequest,
) (*protocol.SnapshotResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, messenger.CallTimeout)
	defer cancel()
	return call(ctx, e, to, request,
		func(h messenger.Handlers) func(context.Context, *protocol.SnapshotRequest) (*protocol.SnapshotResponse, error) {
			return h.Snapshot
		})
}

// Claim registers claims with a peer, which keeps them in memory.
func (e Endpoint) Claim(ctx context.Context, to string, request *protocol.ClaimRequest) (*protocol.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, messenger.CallTimeout)
	defer cancel()
	return call(ctx, e, to, request,
		func(h messenger.Handlers) func(context.Context, *protocol.ClaimRequest) (*protocol.ClaimResponse, error) {
			return h.Claim
		})
}

// Schedule implements ticketer.Dialer.
func (e Endpoint) Schedule(ctx context.Context, to string, outbox *messenger.Outbox[protocol.HolderMessage],
	receive func(*protocol.SchedulerMessage),
) error {
	callee, err := e.network.peer(to)
	if err != nil {
		return err
	}
	up := &pipe[protocol.HolderMessage]{network: e.network, from: e.name, to: to,
		queue: make(chan *protocol.HolderMessage, streamBuffer), closed: make(chan struct{})}
	down := &pipe[protocol.SchedulerMessage]{network: e.network, from: to, to: e.name,
		queue: make(chan *protocol.SchedulerMessage, streamBuffer), closed: make(chan struct{})}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	c := &connection{from: e.name, to: to, stop: stop}
	e.network.track(c, true)
	defer e.network.track(c, false)
	e.network.group.Go(func() error {
		_ = messenger.ServeStream(callee.ctx, newStream(down, up), callee.handlers.Accept)
		return nil
	})
	return messenger.Pump(ctx, newStream(up, down), outbox, &protocol.HolderMessage{Heartbeat: true}, receive)
}

func (n *Network) track(c *connection, open bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if open {
		n.streams[c] = struct{}{}
		return
	}
	delete(n.streams, c)
}

// pipe is one direction of a stream.
type pipe[T any] struct {
	network  *Network
	from, to string
	queue    chan *T
	once     sync.Once
	closed   chan struct{}
}

// stream is one end of a bidirectional stream.
type stream[Out, In any] struct {
	out  *pipe[Out]
	in   *pipe[In]
	ctx  context.Context
	stop context.CancelFunc
}

func newStream[Out, In any](out *pipe[Out], in *pipe[In]) *stream[Out, In] {
	s := &stream[Out, In]{out: out, in: in}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

func (s *stream[Out, In]) Send(message *Out) error {
	select {
	case s.out.queue <- message:
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

func (s *stream[Out, In]) Receive() (*In, error) {
	select {
	case message := <-s.in.queue:
		return message, s.awaitDelivery()
	default:
	}
	select {
	case message := <-s.in.queue:
		return message, s.awaitDelivery()
	case <-s.in.closed:
		if err := s.awaitDelivery(); err != nil {
			return nil, err
		}
		return nil, io.EOF
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

func (s *stream[Out, In]) awaitDelivery() error {
	return s.in.network.awaitDelivery(s.ctx, s.in.from, s.in.to)
}

func (s *stream[Out, In]) Interrupt() {
	s.stop()
	s.out.once.Do(func() { close(s.out.closed) })
}

// Log returns a router's connection to a log. While the router is frozen, its calls and their responses are held back.
func (n *Network) Log(name string, log kernel.LogProtocol) kernel.LogProtocol {
	return &freezableLog{network: n, name: name, log: log}
}

type freezableLog struct {
	network *Network
	name    string
	log     kernel.LogProtocol
}

func (l *freezableLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if err := l.network.WaitUnfrozen(ctx, l.name); err != nil {
		return 0, &kernel.LogUnavailableError{Operation: "append", Cause: err}
	}
	offset, err := l.log.Append(ctx, stream, data)
	if frozenErr := l.network.WaitUnfrozen(ctx, l.name); frozenErr != nil {
		return 0, &kernel.AppendOutcomeUnknownError{Stream: stream, Cause: frozenErr}
	}
	return offset, err
}

func (l *freezableLog) Read(ctx context.Context, stream string, from int64, limit int,
	wait time.Duration,
) (kernel.LogPage, error) {
	if err := l.network.WaitUnfrozen(ctx, l.name); err != nil {
		return kernel.LogPage{}, &kernel.LogUnavailableError{Operation: "read", Cause: err}
	}
	page, err := l.log.Read(ctx, stream, from, limit, wait)
	if frozenErr := l.network.WaitUnfrozen(ctx, l.name); frozenErr != nil {
		return kernel.LogPage{}, &kernel.LogUnavailableError{Operation: "read", Cause: frozenErr}
	}
	return page, err
}
