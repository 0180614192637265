package runner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/ranker"
)

// assertGrantedOnce fails the test unless every request has exactly one grant.
func assertGrantedOnce(t *testing.T, requests []*request) {
	t.Helper()
	for _, r := range requests {
		assert.Equal(t, r.granted(), 1, "grants of %s", r.id)
	}
}

// TestHolderDies guards against slots that stay occupied by the grants of a dead router.
func TestHolderDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3, newFakeCatalogue(4, "chat"))
		ranked := tc.ranking()
		waitGranted(t, ranked[2].submit("chat", 0, 4))
		waiting := ranked[1].submit("chat", 0, 4)
		ranked[2].cancel()
		time.Sleep(2 * time.Second)
		assert.Equal(t, countGranted(waiting), 0, "the holder may still be running its requests")
		time.Sleep(1200 * time.Millisecond)
		assertGrantedOnce(t, waiting)
	})
}

// TestReconnection guards against a holder that is dropped, and loses its grants, although it has reconnected in time.
func TestReconnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3, newFakeCatalogue(4, "chat"))
		ranked := tc.ranking()
		running := waitGranted(t, ranked[2].submit("chat", 0, 4))
		tc.setCut(ranked[0].name, ranked[2].name, true)
		time.Sleep(time.Second)
		tc.setCut(ranked[0].name, ranked[2].name, false)
		time.Sleep(10 * time.Second)
		assert.Equal(t, ranked[0].used(), 4)
		ranked[2].release(running...)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, ranked[0].used(), 0)
	})
}

// TestLeavingScheduler guards against tickets that keep waiting at a leaving router, and against a leaving router that
// no longer accepts releases of its grants.
func TestLeavingScheduler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3, newFakeCatalogue(2, "chat"))
		ranked := tc.ranking()
		running := waitGranted(t, ranked[2].submit("chat", 0, 2))
		waiting := append(ranked[2].submit("chat", 10, 1), ranked[0].submit("chat", 10, 1)...)
		ranked[0].detector.Leave(t.Context())
		time.Sleep(1500 * time.Millisecond)
		assertGrantedOnce(t, waiting)
		assert.Equal(t, ranked[0].used(), 2)
		ranked[2].release(running...)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, ranked[0].used(), 0)
	})
}

// TestJoiningRouter guards against tickets that stay with a scheduler that a new router outranks, and against the old
// scheduler granting tickets of holders that have switched to the new one.
func TestJoiningRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		catalogue := newFakeCatalogue(2, "chat")
		tc := newTestCluster(t, 3, catalogue)
		old := tc.ranking()[0]
		running := waitGranted(t, old.submit("chat", 0, 2))
		waiting := old.submit("chat", 10, 2)
		name := ""
		for i := 0; name == ""; i++ {
			if candidate := fmt.Sprintf("new%d", i); ranker.First(role, []string{old.name, candidate}) == candidate {
				name = candidate
			}
		}
		joined := tc.start(name, catalogue)
		time.Sleep(2 * time.Second)
		assertGrantedOnce(t, waiting)
		assert.Equal(t, joined.used(), 2)
		old.release(running...)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, old.used(), 0)
		assert.Equal(t, joined.used(), 2)
		time.Sleep(retireAfter + 2*time.Second)
		assert.Equal(t, len(old.runner.allCells()), 0, "the old scheduler retires")
	})
}

// TestNotScheduler guards against a router that accepts tickets for a cell that it isn't ranked for, or for a pool that
// doesn't exist.
func TestNotScheduler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 5, newFakeCatalogue(2, "chat"))
		cases := []struct {
			rank int
			pool string
			want int
		}{{0, "chat", 0}, {2, "chat", 0}, {3, "chat", 1}, {4, "chat", 1}, {0, "none", 1}}
		for _, c := range cases {
			outbox := messenger.NewSchedulerOutbox()
			s := tc.ranking()[c.rank].runner.Accept(&protocol.Hello{Router: "other"}, outbox)
			s.Receive(&protocol.HolderMessage{Tickets: []*protocol.Ticket{{RequestId: "r", Pool: c.pool}}})
			synctest.Wait()
			message, err := outbox.Take()
			assert.NilError(t, err)
			assert.Equal(t, len(message.GetNotScheduler()), c.want, "rank %d, pool %s", c.rank, c.pool)
			s.Disconnected(nil)
		}
	})
}

// TestShare guards against two schedulers that both use the whole capacity of the engines for a long time. This could
// happen if one stands in for a first-ranked router that still runs, or if a router is cut off from all others.
func TestShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 4, newFakeCatalogue(8, "chat"))
		ranked := tc.ranking()
		holder := ranked[3]
		tc.setCut(ranked[0].name, holder.name, true)
		requests := holder.submit("chat", 0, 1)
		time.Sleep(4 * time.Second)
		assertGrantedOnce(t, requests)
		assert.Equal(t, ranked[0].share(), 1.0)
		assert.Equal(t, ranked[1].share(), 0.25)
		tc.setIsolated(holder.name, true)
		more := holder.submit("chat", 1, 1)
		time.Sleep(20 * time.Second)
		assertGrantedOnce(t, more)
		assert.Equal(t, holder.share(), 0.25)
		tc.setIsolated(holder.name, false)
		holder.release(append(requests, more...)...)
		time.Sleep(20 * time.Second)
		assert.Equal(t, len(holder.runner.allCells()), 0)
		tc.setIsolated(ranked[0].name, true)
		requests = holder.submit("chat", 2, 1)
		time.Sleep(2 * time.Second)
		assertGrantedOnce(t, requests)
		assert.Equal(t, ranked[1].share(), 1.0, "the first rank does not answer")
	})
}

// share returns the capacity share of the router's only cell.
func (n *node) share() float64 {
	return n.runner.Dump().(map[string]any)[role].(cellDump).Share
}
