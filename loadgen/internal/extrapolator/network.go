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

// network connects detectors in memory. It encodes and decodes messages, so that their size and the CPU for encoding are
// included; measureGossip measures the cost of Connect and HTTP/2 on the loopback interface.
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

// sideStopped is the side of stopped members, which exchange messages with nobody.
const sideStopped = -1

func newNetwork() *network {
	return &network{
		members: make(map[string]*detector.Detector), cancels: make(map[string]context.CancelFunc),
		side: make(map[string]int),
	}
}

// endpoint is the connection of one member to the network.
type endpoint struct {
	network *network
	address string
}

// Gossip delivers a probe. If the callee can't be reached, it blocks until the caller's context ends.
func (e endpoint) Gossip(ctx context.Context, to string, request *protocol.GossipRequest) (*protocol.GossipResponse, error) {
	callee := e.network.reachableMember(e.address, to)
	received := &protocol.GossipRequest{}
	if err := e.network.transmit(request, received); err != nil {
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
	reply := &protocol.GossipResponse{}
	return reply, e.network.transmit(response, reply)
}

// VMs implements kernel.VMListProtocol.
func (e endpoint) VMs(context.Context) ([]kernel.VM, error) {
	e.network.mu.RLock()
	defer e.network.mu.RUnlock()
	return append([]kernel.VM{}, e.network.vms...), nil
}

// transmit copies a message by encoding and decoding it, after messageLatency, and counts it.
func (n *network) transmit(from, to proto.Message) error {
	data, err := proto.Marshal(from)
	if err != nil {
		return Error.Wrap(err)
	}
	time.Sleep(messageLatency)
	n.messages.Add(1)
	n.bytes.Add(int64(len(data)))
	return Error.Wrap(proto.Unmarshal(data, to))
}

// reachableMember returns the callee, or nil if a partition separates the two or either of them was stopped.
func (n *network) reachableMember(from, to string) *detector.Detector {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.side[from] == sideStopped || n.side[from] != n.side[to] {
		return nil
	}
	return n.members[to]
}

// setSide puts members on one side of a partition; members on different sides can't exchange messages.
func (n *network) setSide(names []string, side int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range names {
		n.side[name] = side
	}
}

// start adds a member to the network and to the VM list that all members read.
func (n *network) start(name string, settings detector.Settings) {
	settings.Name, settings.Address, settings.VMList = name, name, endpoint{n, name}
	settings.DataCentre = "dc-1"
	d := detector.New(settings, endpoint{n, name})
	ctx, cancel := context.WithCancel(context.Background())
	n.mu.Lock()
	n.members[name], n.cancels[name], n.side[name] = d, cancel, 0
	n.vms = append(n.vms, kernel.VM{Address: name, Role: "router", State: kernel.VMLive})
	n.mu.Unlock()
	n.group.Go(func() error { _ = d.Run(ctx); return nil })
	d.Ready()
}

// stop stops members without notice to the others and removes them from the VM list.
func (n *network) stop(names []string) {
	n.setSide(names, sideStopped)
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
