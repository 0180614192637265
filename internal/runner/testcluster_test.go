package runner

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/ticketer"
)

const latency = time.Millisecond

// testCluster runs the routers of a test and connects them in memory. Connections can be cut in one direction: messages
// are then held back, as by TCP, until the cut ends or the stream breaks.
type testCluster struct {
	mu    sync.Mutex
	nodes map[string]*node
	cuts  map[[2]string]bool
	vms   []kernel.VM
	group errgroup.Group
	// factory returns the factory of a router's schedulers.
	factory func(*node) Factory
}

// node is one router with its detector, runner and ticketer.
type node struct {
	name     string
	ctx      context.Context
	cancel   context.CancelFunc
	detector *detector.Detector
	runner   *Runner
	ticketer *ticketer.Ticketer
	mu       sync.Mutex
	paused   bool
}

func (n *node) setPaused(paused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused = paused
}

func (n *node) factory(_ cataloguer.Pool, _ time.Time) Scheduler {
	f := &fifo{used: make(map[string]string), loads: make(map[string]int), leaving: make(map[string]bool)}
	f.paused = func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.paused
	}
	return f
}

// newTestCluster starts count routers with the names a, b, c and so on and waits until they know each other.
func newTestCluster(t *testing.T, count int, catalogue *fakeCatalogue, vms ...kernel.VM) *testCluster {
	t.Helper()
	return newClusterOf(t, count, catalogue, func(n *node) Factory { return n.factory }, vms...)
}

func newClusterOf(t *testing.T, count int, catalogue *fakeCatalogue, factory func(*node) Factory, vms ...kernel.VM) *testCluster {
	t.Helper()
	tc := &testCluster{nodes: make(map[string]*node), cuts: make(map[[2]string]bool), vms: vms, factory: factory}
	for i := range count {
		tc.start(string(rune('a'+i)), catalogue)
	}
	t.Cleanup(func() {
		for _, n := range tc.nodes {
			n.cancel()
		}
		_ = tc.group.Wait()
	})
	// Each router is alone at first and hosts all cells. They retire after 10 s on the routers that aren't ranked first.
	time.Sleep(20 * time.Second)
	return tc
}

func (tc *testCluster) start(name string, catalogue *fakeCatalogue) *node {
	n := &node{name: name}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	var seeds []string
	for other := range tc.nodes {
		seeds = append(seeds, other)
	}
	n.detector = detector.New(detector.Settings{
		Name: name, Address: name, Seeds: seeds, VMList: endpoint{tc, name},
	}, endpoint{tc, name})
	n.runner = New(Options{Self: name, Members: n.detector, Catalogue: catalogue, Factory: tc.factory(n), Reporter: "fake"})
	n.ticketer = ticketer.New(ticketer.Options{
		Self: name, Incarnation: uint64(time.Now().UnixMilli()), Members: n.detector, Catalogue: catalogue,
		Remote: endpoint{tc, name}, Local: n.runner,
	})
	tc.mu.Lock()
	tc.nodes[name] = n
	tc.mu.Unlock()
	for _, run := range []func(context.Context) error{n.detector.Run, n.runner.Run, n.ticketer.Run} {
		tc.group.Go(func() error { _ = run(n.ctx); return nil })
	}
	n.detector.Ready()
	return n
}

// setCut starts or stops holding back all messages from one router to another.
func (tc *testCluster) setCut(from, to string, cut bool) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.cuts[[2]string{from, to}] = cut
}

// setIsolated cuts a router off from all others in both directions, or reconnects it.
func (tc *testCluster) setIsolated(name string, isolated bool) {
	for other := range tc.nodes {
		if other != name {
			tc.setCut(name, other, isolated)
			tc.setCut(other, name, isolated)
		}
	}
}

func (tc *testCluster) isCut(from, to string) bool {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return tc.cuts[[2]string{from, to}]
}

func (tc *testCluster) node(name string) (*node, bool) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	n, ok := tc.nodes[name]
	return n, ok && n.ctx.Err() == nil
}

// endpoint is one router's connection to the other routers and to the VM list.
type endpoint struct {
	cluster *testCluster
	name    string
}

// awaitDelivery waits for the latency of a message and for the end of a cut.
func (e endpoint) awaitDelivery(ctx context.Context, from, to string) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(latency):
		}
		if !e.cluster.isCut(from, to) {
			return nil
		}
	}
}

func (e endpoint) VMs(context.Context) ([]kernel.VM, error) {
	e.cluster.mu.Lock()
	defer e.cluster.mu.Unlock()
	return e.cluster.vms, nil
}

type refusedError struct{ to string }

func (e *refusedError) Error() string { return "connection refused by " + e.to }

func (e endpoint) Gossip(ctx context.Context, to string, request *protocol.GossipRequest) (*protocol.GossipResponse, error) {
	if err := e.awaitDelivery(ctx, e.name, to); err != nil {
		return nil, err
	}
	callee, ok := e.cluster.node(to)
	if !ok {
		return nil, &refusedError{to: to}
	}
	response, err := callee.detector.Handle(ctx, request)
	if err != nil {
		return nil, err
	}
	return response, e.awaitDelivery(ctx, to, e.name)
}

func (e endpoint) Schedule(ctx context.Context, to string, outbox *messenger.Outbox[protocol.HolderMessage],
	receive func(*protocol.SchedulerMessage),
) error {
	callee, ok := e.cluster.node(to)
	if !ok {
		return &refusedError{to: to}
	}
	up := &pipe[protocol.HolderMessage]{endpoint: e, from: e.name, to: to,
		queue: make(chan *protocol.HolderMessage, 4096), closed: make(chan struct{})}
	down := &pipe[protocol.SchedulerMessage]{endpoint: e, from: to, to: e.name,
		queue: make(chan *protocol.SchedulerMessage, 4096), closed: make(chan struct{})}
	serverCtx, cancelServer := context.WithCancel(callee.ctx)
	e.cluster.group.Go(func() error {
		defer cancelServer()
		_ = messenger.ServeStream(serverCtx, newStream(down, up), callee.runner.Accept)
		return nil
	})
	return messenger.Pump(ctx, newStream(up, down), outbox, &protocol.HolderMessage{Heartbeat: true}, receive)
}

// pipe is one direction of a stream.
type pipe[T any] struct {
	endpoint endpoint
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
		return message, s.in.endpoint.awaitDelivery(s.ctx, s.in.from, s.in.to)
	default:
	}
	select {
	case message := <-s.in.queue:
		return message, s.in.endpoint.awaitDelivery(s.ctx, s.in.from, s.in.to)
	case <-s.in.closed:
		if err := s.in.endpoint.awaitDelivery(s.ctx, s.in.from, s.in.to); err != nil {
			return nil, err
		}
		return nil, io.EOF
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

func (s *stream[Out, In]) Interrupt() {
	s.stop()
	s.out.once.Do(func() { close(s.out.closed) })
}

// request is a ticketer.DecisionHandler that records the decisions on one request.
type request struct {
	id      string
	mu      sync.Mutex
	grants  []*protocol.Grant
	refusal *protocol.Refusal
}

func (r *request) Granted(grant *protocol.Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.grants = append(r.grants, grant)
}

func (r *request) Refused(refusal *protocol.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusal = refusal
}

func (r *request) granted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.grants)
}

// submit submits count tickets for a pool at this router. Their request IDs are numbered from first on.
func (n *node) submit(pool string, first, count int) []*request {
	var requests []*request
	for i := range count {
		r := &request{id: fmt.Sprintf("%s-%d", n.name, first+i)}
		requests = append(requests, r)
		n.ticketer.Submit(&protocol.Ticket{RequestId: r.id, Pool: pool}, r)
	}
	return requests
}

func (n *node) release(requests ...*request) {
	for _, r := range requests {
		n.ticketer.Release(&protocol.Release{RequestId: r.id, Kind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED})
	}
}

func countGranted(requests []*request) int {
	granted := 0
	for _, r := range requests {
		if r.granted() > 0 {
			granted++
		}
	}
	return granted
}

// used returns the number of grants in use according to this router's schedulers.
func (n *node) used() int {
	total := 0
	for _, c := range n.runner.Dump().(map[string]any) {
		total += c.(cellDump).Scheduler.(map[string]int)["used"]
	}
	return total
}
