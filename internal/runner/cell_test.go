package runner

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

// TestFeed guards against a scheduler that doesn't hear of its engines' loads, of catalogue changes, of leaving
// VMs or of convictions, and against convictions that stay with the router that found them.
func TestFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		catalogue := catalogueOf(2, "chat")
		f := newFabric(t, 3, catalogue)
		first := f.ranking()[0]
		// Polls are whole seconds apart. Counting between them keeps a poll from falling on the moment of a look.
		time.Sleep(337 * time.Millisecond)
		var before fifo
		first.inspect(func(f *fifo) { before = f.copy() })
		time.Sleep(5 * time.Second)
		var after fifo
		first.inspect(func(f *fifo) { after = f.copy() })
		assert.Equal(t, after.loads["chat-engine"]-before.loads["chat-engine"], 5)

		next := *catalogue.Current()
		next.Pools = []cataloguer.Pool{{Name: "chat", Protocol: "fake", Upstreams: []cataloguer.Upstream{
			{Name: "second", Address: "127.0.0.1:2", Slots: 3},
		}}}
		catalogue.set(&next)
		time.Sleep(100 * time.Millisecond)
		expires := time.Now().Add(time.Hour).UnixMilli()
		first.inspect(func(f *fifo) {
			before = f.copy()
			f.found = []*protocol.Conviction{{Fingerprint: 2, Convicted: true, ExpiresUnixMs: expires}}
		})
		assert.DeepEqual(t, before.engines, []EngineInfo{{Name: "second", Slots: 3}})
		f.mu.Lock()
		f.vms = []kernel.VM{{Address: "127.0.0.1:2", Role: "engine", State: kernel.VMLeaving}}
		f.mu.Unlock()
		first.detector.AddConvictions([]*protocol.Conviction{{Fingerprint: 1, ExpiresUnixMs: expires}})
		time.Sleep(5 * time.Second)
		first.inspect(func(f *fifo) { after = f.copy() })
		assert.Assert(t, after.loads["second"] >= 5)
		assert.Equal(t, after.loads["chat-engine"], before.loads["chat-engine"], "polled after its removal")
		assert.Assert(t, after.leaving["second"])
		assert.Equal(t, len(after.convictions), 2)
		for _, n := range f.nodes {
			assert.Equal(t, len(n.detector.View().Convictions), 2, "as seen by %s", n.name)
		}
	})
}

// TestLonePolls guards against a router that polls all engines while it knows no other router and schedules only for
// itself: after a common start each router would.
func TestLonePolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		catalogue := catalogueOf(2, "chat")
		catalogue.current.Pools[0].Opaque, catalogue.current.Pools[0].ModelEngines = true, true
		f := newFabric(t, 1, catalogue)
		time.Sleep(337 * time.Millisecond)
		const lone = "lone"
		f.cut("a", lone, true)
		f.cut(lone, "a", true)
		started := f.start(lone, catalogue)
		grantedOnce(t, waitGranted(t, started.submit("chat", 0, 1)))
		time.Sleep(startTime - time.Second)
		started.inspect(func(f *fifo) { assert.Equal(t, f.loads["chat-engine"], 0) })
		f.nodes["a"].inspect(func(f *fifo) { assert.Assert(t, f.loads["chat-engine"] > 0, "the first rank polls") })
	})
}

// TestEarlyTickets guards against tickets that meet the allowances of one router although the others of a common start are
// known a moment later, and against tickets that wait for routers that don't come.
func TestEarlyTickets(t *testing.T) {
	for _, k := range []struct {
		name    string
		limited bool
		known   bool
		most    time.Duration
		least   time.Duration
	}{
		{"no allowances", false, false, 50 * time.Millisecond, 0},
		{"others known soon", true, true, groundWait - 10*time.Millisecond, 100 * time.Millisecond},
		{"others don't come", true, false, groundWait + 20*time.Millisecond, groundWait},
	} {
		synctest.Test(t, func(t *testing.T) {
			catalogue := catalogueOf(8, "chat")
			if k.limited {
				catalogue.current.Workspaces = []cataloguer.Workspace{{Name: "w", Allowance: cataloguer.Allowance{Rate: 1, Burst: 1}}}
			}
			var vms []kernel.VM
			for _, address := range []string{"a", "b", "c"} {
				vms = append(vms, kernel.VM{Address: address, Role: detector.RoleRouter, State: kernel.VMLive})
			}
			f := newFabric(t, len(vms), catalogue, vms...)
			const fresh = "fresh"
			f.isolate(fresh, true)
			started := f.start(fresh, catalogue)
			time.Sleep(5 * time.Millisecond)
			if k.known {
				time.AfterFunc(100*time.Millisecond, func() { f.isolate(fresh, false) })
			}
			requests := started.submit("chat", 0, 1)
			began := time.Now()
			for requests[0].granted() == 0 && time.Since(began) < time.Second {
				time.Sleep(time.Millisecond)
			}
			grantedOnce(t, requests)
			waited := time.Since(began)
			assert.Assert(t, waited >= k.least && waited <= k.most, "%s: %v", k.name, waited)
		})
	}
}

// inspect calls look in the goroutine of the router's only cell.
func (n *node) inspect(look func(f *fifo)) {
	done := make(chan struct{})
	c := n.runner.find(role)
	c.post(func(time.Time) {
		defer close(done)
		look(c.scheduler.(*fifo))
	})
	<-done
}

// copy returns what the scheduler was told so far.
func (f *fifo) copy() fifo {
	return fifo{engines: f.engines, loads: maps.Clone(f.loads), leaving: maps.Clone(f.leaving), convictions: f.convictions}
}

// TestCellPool guards against engines that belong to no cell or to two, and against cells that together exceed the
// pool's limits by more than rounding.
func TestCellPool(t *testing.T) {
	pool := cataloguer.Pool{Name: "chat", MaxQueue: 100}
	for i := range 130 {
		pool.Upstreams = append(pool.Upstreams, cataloguer.Upstream{Name: fmt.Sprintf("engine-%d", i)})
	}
	catalogue := &cataloguer.Catalogue{Pools: []cataloguer.Pool{pool}}
	seen := make(map[string]int)
	for index := range 3 {
		part, ok := cellPool(catalogue, "chat", index, 64)
		assert.Assert(t, ok)
		assert.Equal(t, part.MaxQueue, 34)
		for _, u := range part.Upstreams {
			seen[u.Name]++
		}
	}
	assert.Equal(t, len(seen), 130)
	for name, count := range seen {
		assert.Equal(t, count, 1, name)
	}
	_, ok := cellPool(catalogue, "chat", 3, 64)
	assert.Assert(t, !ok)
}
