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

// network connects detectors in memory, with a latency of 1 ms, cuts in one direction, lost messages and a list of
// VMs.
type network struct {
	mu      sync.Mutex
	members map[string]*Detector
	stopped map[string]bool
	cuts    map[[2]string]bool
	loss    float64
	random  *rand.Rand
	vms     []kernel.VM
	group   errgroup.Group
	cancels map[string]context.CancelFunc
}

type port struct {
	network *network
	address string
}

func (p port) Gossip(ctx context.Context, to string, request *protocol.GossipRequest) (*protocol.GossipResponse, error) {
	callee, err := p.network.travel(ctx, p.address, to)
	if err != nil {
		return nil, err
	}
	response, err := callee.Handle(ctx, proto.CloneOf(request))
	if err != nil {
		return nil, err
	}
	if _, err := p.network.travel(ctx, to, p.address); err != nil {
		return nil, err
	}
	return proto.CloneOf(response), nil
}

func (p port) VMs(context.Context) ([]kernel.VM, error) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	return p.network.vms, nil
}

// travel takes a message from one address to another; a lost one makes the caller wait for its timeout.
func (n *network) travel(ctx context.Context, from, to string) (*Detector, error) {
	time.Sleep(time.Millisecond)
	n.mu.Lock()
	callee, ok := n.members[to]
	lost := !ok || n.stopped[from] || n.stopped[to] || n.cuts[[2]string{from, to}] || n.random.Float64() < n.loss
	n.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return callee, nil
}

// cut drops what the routers of one group send to those of the other, in both directions if both is set.
func (n *network) cut(a, b []string, both, cut bool) {
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

// freeze makes a router lose everything sent to it or by it.
func (n *network) freeze(name string, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped[name] = frozen
}

func (n *network) start(name string, settings Settings) *Detector {
	settings.Name, settings.Address = name, name
	d := New(settings, port{n, name})
	ctx, cancel := context.WithCancel(context.Background())
	n.mu.Lock()
	n.members[name], n.cancels[name] = d, cancel
	n.mu.Unlock()
	n.group.Go(func() error { _ = d.Run(ctx); return nil })
	d.Ready()
	return d
}

// newNetwork returns a network without routers and a function that stops those started on it.
func newNetwork() (*network, func()) {
	n := &network{
		members: make(map[string]*Detector), stopped: make(map[string]bool), cuts: make(map[[2]string]bool),
		random: rand.New(rand.NewPCG(1, 2)), cancels: make(map[string]context.CancelFunc),
	}
	return n, func() {
		for _, cancel := range n.cancels {
			cancel()
		}
		_ = n.group.Wait()
	}
}

// simulate runs a test on virtual time with count routers m0, m1 and so on that know each other.
func simulate(t *testing.T, count int, test func(t *testing.T, n *network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n, stop := newNetwork()
		defer stop()
		for i := range count {
			n.start(fmt.Sprintf("m%d", i), Settings{Seeds: []string{"m0"}})
		}
		time.Sleep(10 * time.Second)
		for name := range n.members {
			assert.Equal(t, n.alive(name), count, "members that %s knows after the start", name)
		}
		test(t, n)
	})
}

// alive returns the number of members that a router holds for alive, itself included.
func (n *network) alive(observer string) int {
	count := 0
	for _, m := range n.members[observer].View().Members {
		if m.State == alive {
			count++
		}
	}
	return count
}

// states returns how many of the other routers hold a member for each state.
func (n *network) states(name string) map[protocol.MemberState]int {
	counts := make(map[protocol.MemberState]int)
	for observer, d := range n.members {
		if observer != name && !n.stopped[observer] {
			m, _ := d.View().Member(name)
			counts[m.State]++
		}
	}
	return counts
}

// TestCommonStart guards against routers that all start together, as after a common kill, and know few others for seconds:
// until then each grants only its own part of what all may use.
func TestCommonStart(t *testing.T) {
	const count, wait = 100, time.Second
	synctest.Test(t, func(t *testing.T) {
		n, stop := newNetwork()
		defer stop()
		for i := range count {
			n.vms = append(n.vms, kernel.VM{Address: fmt.Sprintf("m%d", i), Role: RoleRouter, State: kernel.VMLive})
		}
		for _, vm := range n.vms {
			n.start(vm.Address, Settings{VMList: port{n, vm.Address}})
		}
		time.Sleep(wait)
		for name := range n.members {
			assert.Assert(t, n.alive(name) >= count*9/10, "%s knows %d", name, n.alive(name))
		}
	})
}
