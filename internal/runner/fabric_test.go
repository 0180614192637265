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

// fabric connects the routers of a test in memory. Connections can be cut in one direction: what is sent is then
// held back, as by TCP, until the cut ends or the stream breaks.
type fabric struct {
	mu    sync.Mutex
	nodes map[string]*node
	cuts  map[[2]string]bool
	vms   []kernel.VM
	group errgroup.Group
}

// node is one router: its detector, runner and ticketer.
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

func (n *node) pause(paused bool) {
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

// newFabric starts routers a, b, c and so on and waits until they know each other.
func newFabric(t *testing.T, count int, catalogue *fixedCatalogue, vms ...kernel.VM) *fabric {
	t.Helper()
	f := &fabric{nodes: make(map[string]*node), cuts: make(map[[2]string]bool), vms: vms}
	for i := range count {
		f.start(string(rune('a'+i)), catalogue)
	}
	t.Cleanup(func() {
		for _, n := range f.nodes {
			n.cancel()
		}
		_ = f.group.Wait()
	})
	// Each router is alone at first and hosts all cells; those retire after 10 s.
	time.Sleep(20 * time.Second)
	return f
}

func (f *fabric) start(name string, catalogue *fixedCatalogue) *node {
	n := &node{name: name}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	var seeds []string
	for other := range f.nodes {
		seeds = append(seeds, other)
	}
	n.detector = detector.New(detector.Settings{Name: name, Address: name, Seeds: seeds, VMList: end{f, name}}, end{f, name})
	n.runner = New(Options{Self: name, Members: n.detector, Catalogue: catalogue, Factory: n.factory, Reporter: "fake"})
	n.ticketer = ticketer.New(ticketer.Options{
		Self: name, Incarnation: uint64(time.Now().UnixMilli()), Members: n.detector, Catalogue: catalogue,
		Remote: end{f, name}, Local: n.runner,
	})
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	for _, run := range []func(context.Context) error{n.detector.Run, n.runner.Run, n.ticketer.Run} {
		f.group.Go(func() error { _ = run(n.ctx); return nil })
	}
	n.detector.Ready()
	return n
}

// cut holds back everything sent from one router to another.
func (f *fabric) cut(from, to string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[[2]string{from, to}] = cut
}

// isolate cuts a router off from all others in both directions.
func (f *fabric) isolate(name string, cut bool) {
	for other := range f.nodes {
		if other != name {
			f.cut(name, other, cut)
			f.cut(other, name, cut)
		}
	}
}

func (f *fabric) isCut(from, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cuts[[2]string{from, to}]
}

func (f *fabric) node(name string) (*node, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.nodes[name]
	return n, ok && n.ctx.Err() == nil
}

// end is one router's view of the fabric.
type end struct {
	fabric *fabric
	name   string
}

// travel waits for the latency and for the end of a cut.
func (e end) travel(ctx context.Context, from, to string) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(latency):
		}
		if !e.fabric.isCut(from, to) {
			return nil
		}
	}
}

func (e end) VMs(context.Context) ([]kernel.VM, error) {
	e.fabric.mu.Lock()
	defer e.fabric.mu.Unlock()
	return e.fabric.vms, nil
}

type refusedError struct{ to string }

func (e *refusedError) Error() string { return "connection refused by " + e.to }

func (e end) Gossip(ctx context.Context, to string, request *protocol.GossipRequest) (*protocol.GossipResponse, error) {
	if err := e.travel(ctx, e.name, to); err != nil {
		return nil, err
	}
	callee, ok := e.fabric.node(to)
	if !ok {
		return nil, &refusedError{to: to}
	}
	response, err := callee.detector.Handle(ctx, request)
	if err != nil {
		return nil, err
	}
	return response, e.travel(ctx, to, e.name)
}

func (e end) Schedule(ctx context.Context, to string, outbox *messenger.Outbox[protocol.HolderMessage], receive func(*protocol.SchedulerMessage)) error {
	callee, ok := e.fabric.node(to)
	if !ok {
		return &refusedError{to: to}
	}
	up := &pipe[protocol.HolderMessage]{end: e, from: e.name, to: to, queue: make(chan *protocol.HolderMessage, 4096), closed: make(chan struct{})}
	down := &pipe[protocol.SchedulerMessage]{end: e, from: to, to: e.name, queue: make(chan *protocol.SchedulerMessage, 4096), closed: make(chan struct{})}
	serverCtx, cancelServer := context.WithCancel(callee.ctx)
	e.fabric.group.Go(func() error {
		defer cancelServer()
		_ = messenger.ServeStream(serverCtx, newStream(down, up), callee.runner.Accept)
		return nil
	})
	return messenger.Pump(ctx, newStream(up, down), outbox, &protocol.HolderMessage{Heartbeat: true}, receive)
}

// pipe is one direction of a stream.
type pipe[T any] struct {
	end      end
	from, to string
	queue    chan *T
	once     sync.Once
	closed   chan struct{}
}

// stream is one end of two pipes; done is closed by Interrupt.
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
		return message, s.in.end.travel(s.ctx, s.in.from, s.in.to)
	default:
	}
	select {
	case message := <-s.in.queue:
		return message, s.in.end.travel(s.ctx, s.in.from, s.in.to)
	case <-s.in.closed:
		if err := s.in.end.travel(s.ctx, s.in.from, s.in.to); err != nil {
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

// request is a decider that records the decisions on one request.
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

// submit opens count requests of a pool at a router.
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

// used returns the number of grants that a router's schedulers count as in use.
func (n *node) used() int {
	total := 0
	for _, c := range n.runner.Dump().(map[string]any) {
		total += c.(cellDump).Scheduler.(map[string]int)["used"]
	}
	return total
}
