package extrapolator

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

// network connects detectors in memory. Messages are encoded and decoded, so that their size and that part of the
// processor time are real; the cost of connect and HTTP/2 is measured on the loopback interface instead.
type network struct {
	mu       sync.RWMutex
	members  map[string]*detector.Detector
	cancels  map[string]context.CancelFunc
	vms      []kernel.VM
	side     map[string]int
	group    errgroup.Group
	messages atomic.Int64
	bytes    atomic.Int64
}

// gone is the side of a stopped member.
const gone = -1

func newNetwork() *network {
	return &network{
		members: make(map[string]*detector.Detector), cancels: make(map[string]context.CancelFunc),
		side: make(map[string]int),
	}
}

type port struct {
	network *network
	address string
}

// Gossip delivers a probe; a lost one makes the caller wait for its timeout.
func (p port) Gossip(ctx context.Context, to string, request *protocol.GossipRequest) (*protocol.GossipResponse, error) {
	callee := p.network.reach(p.address, to)
	received := &protocol.GossipRequest{}
	if err := p.network.carry(request, received); err != nil {
		return nil, err
	}
	if callee == nil {
		<-ctx.Done()
		return nil, Error.Wrap(ctx.Err())
	}
	response, err := callee.Handle(ctx, received)
	if err != nil {
		return nil, err
	}
	answer := &protocol.GossipResponse{}
	return answer, p.network.carry(response, answer)
}

// VMs implements kernel.VMListProtocol.
func (p port) VMs(context.Context) ([]kernel.VM, error) {
	p.network.mu.RLock()
	defer p.network.mu.RUnlock()
	return append([]kernel.VM{}, p.network.vms...), nil
}

func (n *network) carry(from, to proto.Message) error {
	data, err := proto.Marshal(from)
	if err != nil {
		return Error.Wrap(err)
	}
	time.Sleep(latency)
	n.messages.Add(1)
	n.bytes.Add(int64(len(data)))
	return Error.Wrap(proto.Unmarshal(data, to))
}

// reach returns the callee, or nil if the two are apart or the callee is gone.
func (n *network) reach(from, to string) *detector.Detector {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.side[from] == gone || n.side[from] != n.side[to] {
		return nil
	}
	return n.members[to]
}

func (n *network) place(names []string, side int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range names {
		n.side[name] = side
	}
}

// start adds a member. Every member knows the VM list and the first one as a seed.
func (n *network) start(name string, settings detector.Settings) {
	settings.Name, settings.Address, settings.VMList = name, name, port{n, name}
	settings.DataCentre = "dc-1"
	d := detector.New(settings, port{n, name})
	ctx, cancel := context.WithCancel(context.Background())
	n.mu.Lock()
	n.members[name], n.cancels[name], n.side[name] = d, cancel, 0
	n.vms = append(n.vms, kernel.VM{Address: name, Role: "router", State: kernel.VMLive})
	n.mu.Unlock()
	n.group.Go(func() error { _ = d.Run(ctx); return nil })
	d.Ready()
}

// stop ends members without a word, and takes them off the VM list.
func (n *network) stop(names []string) {
	n.place(names, gone)
	for _, name := range names {
		n.cancels[name]()
		n.mu.Lock()
		delete(n.members, name)
		n.mu.Unlock()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.vms = nil
	for name := range n.members {
		n.vms = append(n.vms, kernel.VM{Address: name, Role: "router", State: kernel.VMLive})
	}
}

func (n *network) close() {
	for _, cancel := range n.cancels {
		cancel()
	}
	_ = n.group.Wait()
}

func memberName(i int) string { return fmt.Sprintf("router-%04d.dc", i) }
