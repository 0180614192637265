package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/protocol"
)

// TestSlots guards against more requests on an engine than it has slots, and against slots that stay taken after a
// release, a cancellation or the loss of the holder.
func TestSlots(t *testing.T) {
	cases := []struct {
		name string
		free func(c *cell, g *protocol.Grant)
	}{
		{"release", func(c *cell, g *protocol.Grant) { c.answer(g, 100, 100) }},
		{"cancel", func(c *cell, g *protocol.Grant) { c.Cancel(c.now, "h", g.RequestId) }},
		{"drop holder", func(c *cell, _ *protocol.Grant) { c.DropHolder(c.now, "h") }},
	}
	for _, k := range cases {
		c := newTestCell(1, 1, nil)
		c.submit(1, 0, "a")
		grants, _ := c.step()
		assert.Equal(t, len(grants), 1, k.name)
		late := c.ticket(0, "a")
		c.Submit(c.now, "other", late)
		blocked, _ := c.step()
		assert.Equal(t, len(blocked), 0, k.name)
		k.free(c, grants[0])
		freed, _ := c.step()
		assert.DeepEqual(t, ids(freed), []string{late.RequestId})
	}
}

// TestReturnedGrant guards against a request that loses its place in the queue because its holder could not use the
// grant, and against a charge for work that was never done.
func TestReturnedGrant(t *testing.T) {
	c := newTestCell(1, 1, nil)
	first := c.submit(1, 1, "a")
	grants, _ := c.step()
	c.now = c.now.Add(time.Second)
	c.submit(3, 1, "a")
	c.finish(grants[0], protocol.ReleaseKind_RELEASE_KIND_UNUSED, 0)
	again, _ := c.step()
	assert.DeepEqual(t, ids(again), []string{first.RequestId})
	assert.Equal(t, c.buckets[1].accounts["a"].counter, 200.0)
}

// TestResentTicket guards against a resent ticket that loses its age, is queued twice or gets a second grant.
func TestResentTicket(t *testing.T) {
	c := newTestCell(1, 1, nil)
	running := c.submit(1, 1, "a")
	c.step()
	old := c.submit(1, 1, "a")
	c.now = c.now.Add(time.Second)
	c.submit(1, 1, "a")
	c.Submit(c.now, "h", old)
	assert.Equal(t, c.Backlog(), [4]int{0, 2, 0, 0})
	c.Submit(c.now, "h", running)
	grants, _ := c.step()
	assert.DeepEqual(t, ids(grants), []string{running.RequestId})
	c.answer(grants[0], 100, 100)
	grants, _ = c.step()
	assert.DeepEqual(t, ids(grants), []string{old.RequestId})

	aged := c.ticket(1, "a")
	aged.AgeMs = 5000
	c.Submit(c.now, "h", aged)
	c.answer(grants[0], 100, 100)
	grants, _ = c.step()
	assert.DeepEqual(t, ids(grants), []string{aged.RequestId})
}

// TestForeignRelease guards against the release of another scheduler's grant that changes this scheduler's queue or
// slots.
func TestForeignRelease(t *testing.T) {
	c := newTestCell(1, 1, nil)
	queued := c.submit(2, 1, "a")
	c.step()
	c.finish(&protocol.Grant{RequestId: "unknown", Engine: "e0"}, protocol.ReleaseKind_RELEASE_KIND_ANSWERED, 0)
	c.finish(&protocol.Grant{RequestId: queued.RequestId, Engine: "e0"}, protocol.ReleaseKind_RELEASE_KIND_UNUSED, 0)
	grants, _ := c.step()
	assert.Equal(t, len(grants), 0)
	assert.Equal(t, c.Backlog(), [4]int{0, 1, 0, 0})
}

// TestLeavingAndCapacityShare guards against grants on a leaving engine, and against grants beyond the capacity share
// of a router that schedules without contact to the others.
func TestLeavingAndCapacityShare(t *testing.T) {
	c := newTestCell(2, 4, nil)
	c.SetLeaving(c.now, "e0", true)
	c.SetCapacityShare(0.5)
	c.submit(20, 0, "a")
	grants, _ := c.step()
	assert.Equal(t, len(grants), 2)
	for _, g := range grants {
		assert.Equal(t, g.Engine, "e1")
	}
	c.SetLeaving(c.now, "e0", false)
	c.SetCapacityShare(0.125)
	for _, g := range grants {
		c.answer(g, 100, 100)
	}
	grants, _ = c.step()
	assert.Equal(t, len(grants), 1, "one slot of eight")
}

// TestSlotsOfEachEngine guards against a fast engine getting more requests than it has slots.
func TestSlotsOfEachEngine(t *testing.T) {
	c := newTestCell(0, 0, nil)
	c.SetEngines(c.now, []EngineInfo{
		{Name: "fast", Slots: 1, PrefillPerSec: 9000, TokensPerSec: 900},
		{Name: "slow", Slots: 3, PrefillPerSec: 90, TokensPerSec: 9},
	})
	c.submit(9, 0, "a")
	grants, _ := c.step()
	count := make(map[string]int)
	for _, g := range grants {
		count[g.Engine]++
	}
	assert.DeepEqual(t, count, map[string]int{"fast": 1, "slow": 3})
}
