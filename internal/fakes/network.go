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
	// latency is the one-way delay of a message without faults, that of today's data centres.
	latency = time.Millisecond
	// streamBuffer is the number of messages on the way in one direction of a stream.
	streamBuffer = 4096
)

// UnreachableError reports a call to a router that doesn't run.
type UnreachableError struct{ Router string }

func (e *UnreachableError) Error() string { return "fake network: connection refused by " + e.Router }

// BrokenError reports a call that was broken on purpose.
type BrokenError struct{ From, To string }

func (e *BrokenError) Error() string {
	return fmt.Sprintf("fake network: %s to %s broken", e.From, e.To)
}

// Network connects routers in memory, by name. What can't travel because of a cut or a frozen router is held back, as
// by TCP, until the fault or the call ends. Its methods may be called concurrently.
type Network struct {
	mu      sync.Mutex
	peers   map[string]peer
	cuts    map[[2]string]bool
	frozen  map[string]bool
	streams map[*connection]struct{}
	delay   time.Duration
	lose    int
	calls   int
	changed chan struct{}
	group   errgroup.Group
}

type peer struct {
	ctx      context.Context
	handlers messenger.Handlers
}

type connection struct {
	from, to string
	stop     context.CancelFunc
}

// NewNetwork returns a network without routers and faults.
func NewNetwork() *Network {
	return &Network{
		peers: make(map[string]peer), cuts: make(map[[2]string]bool), frozen: make(map[string]bool),
		streams: make(map[*connection]struct{}), changed: make(chan struct{}), delay: latency,
	}
}

// Join connects a router until ctx ends; the handlers answer the others.
func (n *Network) Join(ctx context.Context, name string, handlers messenger.Handlers) {
	n.change(func() { n.peers[name] = peer{ctx: ctx, handlers: handlers} })
}

// Cut holds back everything sent from one router to another.
func (n *Network) Cut(from, to string, cut bool) {
	n.change(func() { n.cuts[[2]string{from, to}] = cut })
}

// Freeze holds back everything that a router sends or receives.
func (n *Network) Freeze(name string, frozen bool) { n.change(func() { n.frozen[name] = frozen }) }

// SetDelay sets the one-way delay; 0 means the usual one.
func (n *Network) SetDelay(delay time.Duration) { n.change(func() { n.delay = max(delay, latency) }) }

// SetLoss breaks every count-th unary call; 0 breaks none.
func (n *Network) SetLoss(count int) { n.change(func() { n.lose = count }) }

// BreakStreams breaks all streams.
func (n *Network) BreakStreams() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.streams {
		c.stop()
	}
}

// Wait returns when the serving ends of all streams have ended.
func (n *Network) Wait() { _ = n.group.Wait() }

func (n *Network) change(set func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	set()
	close(n.changed)
	n.changed = make(chan struct{})
}

// WaitUnfrozen waits while the router is frozen. Errors: *UnreachableError if it doesn't run, that of ctx.
func (n *Network) WaitUnfrozen(ctx context.Context, name string) error {
	return n.hold(ctx, name, name)
}

func (n *Network) hold(ctx context.Context, from, to string) error {
	for {
		n.mu.Lock()
		held := n.cuts[[2]string{from, to}] || n.frozen[from] || n.frozen[to]
		changed, sender, receiver := n.changed, n.peers[from], n.peers[to]
		n.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case sender.ctx == nil || sender.ctx.Err() != nil:
			return &UnreachableError{Router: from}
		case receiver.ctx == nil || receiver.ctx.Err() != nil:
			return &UnreachableError{Router: to}
		case !held:
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

func (n *Network) travel(ctx context.Context, from, to string) error {
	n.mu.Lock()
	timer := time.NewTimer(n.delay)
	n.mu.Unlock()
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	}
	return n.hold(ctx, from, to)
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

func (n *Network) lost() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls++
	return n.lose > 0 && n.calls%n.lose == 0
}

// Endpoint is one router's way to the others. It offers the calls of *messenger.Pool.
type Endpoint struct {
	network *Network
	name    string
}

// Endpoint returns the way of a router to the others.
func (n *Network) Endpoint(name string) Endpoint { return Endpoint{network: n, name: name} }

func call[Q, A proto.Message](
	ctx context.Context, e Endpoint, to string, request Q,
	handler func(messenger.Handlers) func(context.Context, Q) (A, error),
) (answer A, err error) {
	callee, err := e.network.peer(to)
	if err != nil {
		return answer, err
	}
	if err := e.network.travel(ctx, e.name, to); err != nil {
		return answer, err
	}
	answer, err = handler(callee.handlers)(ctx, proto.CloneOf(request))
	if err != nil {
		return answer, err
	}
	if e.network.lost() {
		return answer, &BrokenError{From: to, To: e.name}
	}
	return proto.CloneOf(answer), e.network.travel(ctx, to, e.name)
}

// Gossip implements detector.Transport.
func (e Endpoint) Gossip(ctx context.Context, to string, request *protocol.GossipRequest) (*protocol.GossipResponse, error) {
	return call(ctx, e, to, request, func(h messenger.Handlers) func(context.Context, *protocol.GossipRequest) (*protocol.GossipResponse, error) {
		return h.Gossip
	})
}

// Snapshot fetches a peer's catalogue snapshot.
func (e Endpoint) Snapshot(ctx context.Context, to string, request *protocol.SnapshotRequest) (*protocol.SnapshotResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, messenger.CallTimeout)
	defer cancel()
	return call(ctx, e, to, request, func(h messenger.Handlers) func(context.Context, *protocol.SnapshotRequest) (*protocol.SnapshotResponse, error) {
		return h.Snapshot
	})
}

// Claim registers claims in a peer's memory.
func (e Endpoint) Claim(ctx context.Context, to string, request *protocol.ClaimRequest) (*protocol.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, messenger.CallTimeout)
	defer cancel()
	return call(ctx, e, to, request, func(h messenger.Handlers) func(context.Context, *protocol.ClaimRequest) (*protocol.ClaimResponse, error) {
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

// stream is one end of two pipes.
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
		return message, s.travel()
	default:
	}
	select {
	case message := <-s.in.queue:
		return message, s.travel()
	case <-s.in.closed:
		if err := s.travel(); err != nil {
			return nil, err
		}
		return nil, io.EOF
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

func (s *stream[Out, In]) travel() error { return s.in.network.travel(s.ctx, s.in.from, s.in.to) }

func (s *stream[Out, In]) Interrupt() {
	s.stop()
	s.out.once.Do(func() { close(s.out.closed) })
}

// Log returns a router's way to the log: a frozen router's calls and their answers are held back.
func (n *Network) Log(name string, log kernel.LogProtocol) kernel.LogProtocol {
	return &gatedLog{network: n, name: name, log: log}
}

type gatedLog struct {
	network *Network
	name    string
	log     kernel.LogProtocol
}

func (g *gatedLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if err := g.network.WaitUnfrozen(ctx, g.name); err != nil {
		return 0, &kernel.LogUnavailableError{Operation: "append", Cause: err}
	}
	offset, err := g.log.Append(ctx, stream, data)
	if gate := g.network.WaitUnfrozen(ctx, g.name); gate != nil {
		return 0, &kernel.AppendUnknownError{Stream: stream, Cause: gate}
	}
	return offset, err
}

func (g *gatedLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (kernel.LogPage, error) {
	if err := g.network.WaitUnfrozen(ctx, g.name); err != nil {
		return kernel.LogPage{}, &kernel.LogUnavailableError{Operation: "read", Cause: err}
	}
	page, err := g.log.Read(ctx, stream, from, limit, wait)
	if gate := g.network.WaitUnfrozen(ctx, g.name); gate != nil {
		return kernel.LogPage{}, &kernel.LogUnavailableError{Operation: "read", Cause: gate}
	}
	return page, err
}
