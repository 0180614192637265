package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/ranker"
)

const role = "chat/0"

// ranking returns the routers in order of their rank for the only cell of pool chat.
func (f *fabric) ranking() []*node {
	var names []string
	for name := range f.nodes {
		names = append(names, name)
	}
	var ranked []*node
	for _, name := range ranker.Rank(role, names) {
		ranked = append(ranked, f.nodes[name])
	}
	return ranked
}

// TestThreeRouters guards against tickets that are not granted, or granted by more than one router, in normal
// operation.
func TestThreeRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFabric(t, 3, catalogueOf(4, "chat"))
		var all []*request
		for _, n := range f.nodes {
			all = append(all, n.submit("chat", 0, 2)...)
		}
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, countGranted(all), 4, "4 slots for 6 requests")
		for _, n := range f.ranking()[1:] {
			assert.Equal(t, len(n.runner.all()), 0, "router %s is not first and hosts a scheduler", n.name)
		}
		for _, n := range f.nodes {
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
		}
	})
}

// TestFrozenScheduler guards against waiting requests that depend on the member table: the stream must tell within
// 500 ms that the scheduler is frozen.
func TestFrozenScheduler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFabric(t, 3, catalogueOf(4, "chat"))
		ranked := f.ranking()
		first, holder := ranked[0], ranked[2]
		warm := holder.submit("chat", 0, 1)
		time.Sleep(100 * time.Millisecond)
		holder.release(warm...)
		f.isolate(first.name, true)
		requests := holder.submit("chat", 1, 2)
		time.Sleep(700 * time.Millisecond)
		assert.Equal(t, countGranted(requests), 2)
		assert.Equal(t, len(ranked[1].runner.all()), 1, "the second rank takes over")
		f.isolate(first.name, false)
		time.Sleep(10 * time.Second)
		for _, r := range requests {
			assert.Equal(t, r.granted(), 1)
		}
		holder.release(requests...)
	})
}

// TestLateGrants guards against a request that is granted twice: a scheduler that was frozen with tickets in its
// queue grants them after the holder has turned to another one, and must get the grants back.
func TestLateGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFabric(t, 3, catalogueOf(4, "chat"))
		ranked := f.ranking()
		first, holder := ranked[0], ranked[2]
		holder.release(waitGranted(t, holder.submit("chat", 0, 1))...)
		first.pause(true)
		requests := holder.submit("chat", 1, 3)
		time.Sleep(100 * time.Millisecond)
		f.cut(first.name, holder.name, true)
		time.Sleep(390 * time.Millisecond)
		first.pause(false)
		first.submit("chat", 100, 1)
		time.Sleep(time.Second)
		f.cut(first.name, holder.name, false)
		// The holder is back before the scheduler would drop it, 3 s after the break.
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
