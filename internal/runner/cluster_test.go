package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/ranker"
)

const role = "chat/0"

// ranking returns the routers in the order of their rank for the only cell of the pool "chat".
func (tc *testCluster) ranking() []*node {
	var names []string
	for name := range tc.nodes {
		names = append(names, name)
	}
	var ranked []*node
	for _, name := range ranker.Rank(role, names) {
		ranked = append(ranked, tc.nodes[name])
	}
	return ranked
}

// TestThreeRouters guards against tickets that are granted never or more than once in normal operation, and against grants
// that don't tell how their scheduler knows the engine.
func TestThreeRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3, newFakeCatalogue(4, "chat"))
		var all []*request
		for _, n := range tc.nodes {
			all = append(all, n.submit("chat", 0, 2)...)
		}
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, countGranted(all), 4, "4 slots for 6 requests")
		for _, n := range tc.ranking()[1:] {
			assert.Equal(t, len(n.runner.allCells()), 0, "router %s is not first and hosts a scheduler", n.name)
		}
		for _, n := range tc.nodes {
			for _, r := range all {
				if r.granted() > 0 {
					n.release(r)
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, countGranted(all), 6)
		for _, r := range all {
			assert.Equal(t, r.granted(), 1)
			assert.Equal(t, r.grants[0].GetAddress(), "127.0.0.1:1")
			assert.Equal(t, r.grants[0].GetRegistered(), int64(7))
		}
	})
}

// TestFrozenScheduler guards against requests that wait until the member table declares a frozen scheduler dead. The
// stream must detect the frozen scheduler within 500 ms.
func TestFrozenScheduler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3, newFakeCatalogue(4, "chat"))
		ranked := tc.ranking()
		first, holder := ranked[0], ranked[2]
		warmUp := holder.submit("chat", 0, 1)
		time.Sleep(100 * time.Millisecond)
		holder.release(warmUp...)
		tc.setIsolated(first.name, true)
		requests := holder.submit("chat", 1, 2)
		time.Sleep(700 * time.Millisecond)
		assert.Equal(t, countGranted(requests), 2)
		assert.Equal(t, len(ranked[1].runner.allCells()), 1, "the second rank takes over")
		tc.setIsolated(first.name, false)
		time.Sleep(10 * time.Second)
		for _, r := range requests {
			assert.Equal(t, r.granted(), 1)
		}
		holder.release(requests...)
	})
}

// TestLateGrants guards against requests that are granted twice. A scheduler that was frozen with tickets in its queue
// grants them after the holder has switched to another scheduler, and the holder must return these grants.
func TestLateGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3, newFakeCatalogue(4, "chat"))
		ranked := tc.ranking()
		first, holder := ranked[0], ranked[2]
		holder.release(waitGranted(t, holder.submit("chat", 0, 1))...)
		first.setPaused(true)
		requests := holder.submit("chat", 1, 3)
		time.Sleep(100 * time.Millisecond)
		tc.setCut(first.name, holder.name, true)
		time.Sleep(390 * time.Millisecond)
		first.setPaused(false)
		first.submit("chat", 100, 1)
		time.Sleep(time.Second)
		tc.setCut(first.name, holder.name, false)
		// The holder reconnects before holderRetention, 3 s after its stream broke.
		time.Sleep(1200 * time.Millisecond)
		for _, r := range requests {
			assert.Equal(t, r.granted(), 1)
		}
		assert.Equal(t, first.used(), 1, "only the first router's own request holds a grant of it")
		holder.release(requests...)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, ranked[1].used(), 0)
	})
}

func waitGranted(t *testing.T, requests []*request) []*request {
	t.Helper()
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, countGranted(requests), len(requests))
	return requests
}
