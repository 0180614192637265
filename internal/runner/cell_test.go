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

// TestSchedulerInputs guards against a scheduler that doesn't receive engine loads, catalogue changes, leaving VMs or
// convictions, and against convictions that aren't shared with the other routers.
func TestSchedulerInputs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		catalogue := newFakeCatalogue(2, "chat")
		tc := newTestCluster(t, 3, catalogue)
		first := tc.ranking()[0]
		// Polls are one second apart. The offset keeps them from coinciding with the counts below.
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
		tc.mu.Lock()
		tc.vms = []kernel.VM{{Address: "127.0.0.1:2", Role: "engine", State: kernel.VMLeaving}}
		tc.mu.Unlock()
		first.detector.AddConvictions([]*protocol.Conviction{{Fingerprint: 1, ExpiresUnixMs: expires}})
		time.Sleep(5 * time.Second)
		first.inspect(func(f *fifo) { after = f.copy() })
		assert.Assert(t, after.loads["second"] >= 5)
		assert.Equal(t, after.loads["chat-engine"], before.loads["chat-engine"], "polled after its removal")
		assert.Assert(t, after.leaving["second"])
		assert.Equal(t, len(after.convictions), 2)
		for _, n := range tc.nodes {
			assert.Equal(t, len(n.detector.View().Convictions), 2, "as seen by %s", n.name)
		}
	})
}

// TestIsolatedRouterDoesNotPoll guards against a router that polls all engines while it knows no other router and
// schedules only its own requests. If many routers start together, each of them would poll all engines.
func TestIsolatedRouterDoesNotPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		catalogue := newFakeCatalogue(2, "chat")
		catalogue.current.Pools[0].Opaque, catalogue.current.Pools[0].ModelEngines = true, true
		tc := newTestCluster(t, 1, catalogue)
		time.Sleep(337 * time.Millisecond)
		const isolated = "lone"
		tc.setCut("a", isolated, true)
		tc.setCut(isolated, "a", true)
		started := tc.start(isolated, catalogue)
		assertGrantedOnce(t, waitGranted(t, started.submit("chat", 0, 1)))
		time.Sleep(joinPeriod - time.Second)
		started.inspect(func(f *fifo) { assert.Equal(t, f.loads["chat-engine"], 0) })
		tc.nodes["a"].inspect(func(f *fifo) { assert.Assert(t, f.loads["chat-engine"] > 0, "the first rank polls") })
	})
}

// TestPollAfterLostConnection guards against a crash that is noticed only with the next regular poll, and against a poll for
// each of many connections that break at once.
func TestPollAfterLostConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 1, newFakeCatalogue(20, "chat"))
		n := tc.nodes["a"]
		time.Sleep(337 * time.Millisecond)
		requests := waitGranted(t, n.submit("chat", 0, 20))
		var before, after fifo
		n.inspect(func(f *fifo) { before = f.copy() })
		for _, r := range requests {
			n.ticketer.Release(&protocol.Release{RequestId: r.id, Kind: protocol.ReleaseKind_RELEASE_KIND_LOST})
			time.Sleep(minPollInterval / 25)
		}
		n.inspect(func(f *fifo) { after = f.copy() })
		polls := after.loads["chat-engine"] - before.loads["chat-engine"]
		assert.Assert(t, polls >= 1 && polls <= 2, "%d polls", polls)
	})
}

// TestDeferredTickets guards against a new router that refuses tickets because it may grant only one router's part of the
// allowances, although it learns of the other routers a moment later. It also guards against tickets that wait too long
// for routers that never appear.
func TestDeferredTickets(t *testing.T) {
	for _, c := range []struct {
		name    string
		limited bool
		known   bool
		maxWait time.Duration
		minWait time.Duration
	}{
		{"no allowances", false, false, 50 * time.Millisecond, 0},
		{"other routers become known", true, true, allowanceWait - 10*time.Millisecond, 100 * time.Millisecond},
		{"other routers stay unknown", true, false, allowanceWait + 20*time.Millisecond, allowanceWait},
	} {
		synctest.Test(t, func(t *testing.T) {
			catalogue := newFakeCatalogue(8, "chat")
			if c.limited {
				catalogue.current.Workspaces = []cataloguer.Workspace{
					{Name: "w", Allowance: cataloguer.Allowance{Rate: 1, Burst: 1}},
				}
			}
			var vms []kernel.VM
			for _, address := range []string{"a", "b", "c"} {
				vms = append(vms, kernel.VM{Address: address, Role: detector.RoleRouter, State: kernel.VMLive})
			}
			tc := newTestCluster(t, len(vms), catalogue, vms...)
			const fresh = "fresh"
			tc.setIsolated(fresh, true)
			started := tc.start(fresh, catalogue)
			time.Sleep(5 * time.Millisecond)
			if c.known {
				time.AfterFunc(100*time.Millisecond, func() { tc.setIsolated(fresh, false) })
			}
			requests := started.submit("chat", 0, 1)
			began := time.Now()
			for requests[0].granted() == 0 && time.Since(began) < time.Second {
				time.Sleep(time.Millisecond)
			}
			assertGrantedOnce(t, requests)
			waited := time.Since(began)
			assert.Assert(t, waited >= c.minWait && waited <= c.maxWait, "%s: %v", c.name, waited)
		})
	}
}

// inspect calls visit in the goroutine of the router's only cell.
func (n *node) inspect(visit func(f *fifo)) {
	done := make(chan struct{})
	c := n.runner.findCell(role)
	c.post(func(time.Time) {
		defer close(done)
		visit(c.scheduler.(*fifo))
	})
	<-done
}

// copy returns a copy of what the scheduler has received so far.
func (f *fifo) copy() fifo {
	return fifo{engines: f.engines, loads: maps.Clone(f.loads), leaving: maps.Clone(f.leaving), convictions: f.convictions}
}

// TestAllowancesOfCells guards against cells that together grant more or less than the allowances, or that grant another
// part of them than they have of the engines, and so of the requests.
func TestAllowancesOfCells(t *testing.T) {
	const cellEngines = 64
	pool := cataloguer.Pool{Name: "chat", Opaque: true, ModelEngines: true}
	for i := range 130 {
		pool.Upstreams = append(pool.Upstreams, cataloguer.Upstream{Name: fmt.Sprintf("engine-%d", i), Slots: 1})
	}
	catalogue := &cataloguer.Catalogue{
		Pools:      []cataloguer.Pool{pool},
		Workspaces: []cataloguer.Workspace{{Name: "w", Allowance: cataloguer.Allowance{Rate: 1300, Burst: 2600}}},
	}
	total := 0.0
	for index := range 3 {
		part, _ := cellPool(catalogue, "chat", index, cellEngines)
		allowance := cellAllowance(catalogue.Workspaces[0], catalogue, part)
		assert.Equal(t, allowance.Rate, 10*float64(len(part.Upstreams)))
		assert.Equal(t, allowance.Burst, 20*float64(len(part.Upstreams)))
		total += allowance.Rate
	}
	assert.Equal(t, total, 1300.0)
}

// TestCellPool guards against engines that belong to no cell or to several, and against cells whose limits together
// exceed the pool's limits by more than rounding.
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

// takeoverRecorder records the end of the takeover that a scheduler is told, relative to its start.
type takeoverRecorder struct {
	Scheduler
	started  time.Time
	takeover time.Duration
}

// SetTakeover implements takeoverScheduler.
func (r *takeoverRecorder) SetTakeover(until time.Time) { r.takeover = until.Sub(r.started) }

// TestTakeoverKnown guards against a new scheduler that takes engines for empty because its router, which has just started,
// doesn't know any other router yet.
func TestTakeoverKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var recorder *takeoverRecorder
		newClusterOf(t, 1, newFakeCatalogue(2, "chat"), func(n *node) Factory {
			return func(pool cataloguer.Pool, now time.Time) Scheduler {
				recorder = &takeoverRecorder{Scheduler: n.factory(pool, now), started: now}
				return recorder
			}
		})
		synctest.Wait()
		assert.Equal(t, recorder.takeover, adoptionWait)
	})
}
