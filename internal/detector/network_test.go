package detector

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

// network connects detectors in memory with a latency of 1 ms. It simulates one-way cuts, lost messages, frozen members
// and a VM list.
type network struct {
	mu      sync.Mutex
	members map[string]*Detector
	frozen  map[string]bool
	cuts    map[[2]string]bool
	loss    float64
	random  *rand.Rand
	vms     []kernel.VM
	group   errgroup.Group
	cancels map[string]context.CancelFunc
}

// endpoint is the network and the VM list as seen by one member.
type endpoint struct {
	network *network
	address string
}

func (e endpoint) Gossip(ctx context.Context, to string, request *protocol.GossipRequest) (*protocol.GossipResponse, error) {
	callee, err := e.network.deliver(ctx, e.address, to)
	if err != nil {
		return nil, err
	}
	response, err := callee.Handle(ctx, proto.CloneOf(request))
	if err != nil {
		return nil, err
	}
	if _, err := e.network.deliver(ctx, to, e.address); err != nil {
		return nil, err
	}
	return proto.CloneOf(response), nil
}

func (e endpoint) VMs(context.Context) ([]kernel.VM, error) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	return e.network.vms, nil
}

// deliver carries a message from one address to another and returns the recipient. If the message is lost, it blocks
// until the caller's timeout.
func (n *network) deliver(ctx context.Context, from, to string) (*Detector, error) {
	time.Sleep(time.Millisecond)
	n.mu.Lock()
	callee, ok := n.members[to]
	lost := !ok || n.frozen[from] || n.frozen[to] || n.cuts[[2]string{from, to}] || n.random.Float64() < n.loss
	n.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return callee, nil
}

// setCut starts or stops dropping the messages from the members in a to those in b, and in the other direction if both
// is set.
func (n *network) setCut(a, b []string, both, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, x := range a {
		for _, y := range b {
			n.cuts[[2]string{x, y}] = cut
			if both {
				n.cuts[[2]string{y, x}] = cut
			}
		}
	}
}

// setFrozen starts or stops dropping all messages to and from a member.
func (n *network) setFrozen(name string, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[name] = frozen
}

func (n *network) start(name string, settings Settings) *Detector {
	settings.Name, settings.Address = name, name
	d := New(settings, endpoint{n, name})
	ctx, cancel := context.WithCancel(context.Background())
	n.mu.Lock()
	n.members[name], n.cancels[name] = d, cancel
	n.mu.Unlock()
	n.group.Go(func() error { _ = d.Run(ctx); return nil })
	d.Ready()
	return d
}

// newNetwork returns a network without members and a function that stops the members started on it.
func newNetwork() (*network, func()) {
	n := &network{
		members: make(map[string]*Detector), frozen: make(map[string]bool), cuts: make(map[[2]string]bool),
		random: rand.New(rand.NewPCG(1, 2)), cancels: make(map[string]context.CancelFunc),
	}
	return n, func() {
		for _, cancel := range n.cancels {
			cancel()
		}
		_ = n.group.Wait()
	}
}

// runWithNetwork runs a test on virtual time with count members named m0, m1 and so on, which already know each other.
func runWithNetwork(t *testing.T, count int, test func(t *testing.T, n *network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n, stop := newNetwork()
		defer stop()
		for i := range count {
			n.start(fmt.Sprintf("m%d", i), Settings{Seeds: []string{"m0"}})
		}
		time.Sleep(10 * time.Second)
		for name := range n.members {
			assert.Equal(t, n.countAlive(name), count, "members that %s knows after the start", name)
		}
		test(t, n)
	})
}

// countAlive returns the number of members that are alive in the observer's view, including itself.
func (n *network) countAlive(observer string) int {
	count := 0
	for _, m := range n.members[observer].View().Members {
		if m.State == alive {
			count++
		}
	}
	return count
}

// countStates returns how many of the other running members see the named member in each state.
func (n *network) countStates(name string) map[protocol.MemberState]int {
	counts := make(map[protocol.MemberState]int)
	for observer, d := range n.members {
		if observer != name && !n.frozen[observer] {
			m, _ := d.View().Member(name)
			counts[m.State]++
		}
	}
	return counts
}

// TestMembersKnowEachOtherAfterSimultaneousStart guards against routers that know few others for seconds when all start
// together, as after a kill of all of them. Until a router knows half of the others, it grants only its own share of the
// allowances.
func TestMembersKnowEachOtherAfterSimultaneousStart(t *testing.T) {
	const count, wait = 100, time.Second
	synctest.Test(t, func(t *testing.T) {
		n, stop := newNetwork()
		defer stop()
		for i := range count {
			n.vms = append(n.vms, kernel.VM{Address: fmt.Sprintf("m%d", i), Role: RoleRouter, State: kernel.VMLive})
		}
		for _, vm := range n.vms {
			n.start(vm.Address, Settings{VMList: endpoint{n, vm.Address}})
		}
		time.Sleep(wait)
		for name := range n.members {
			assert.Assert(t, n.countAlive(name) >= count*9/10, "%s knows %d", name, n.countAlive(name))
		}
	})
}
