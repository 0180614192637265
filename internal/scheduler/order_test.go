package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/protocol"
)

// TestTierOrder guards against a grant to a lower tier while a higher one waits for the same slots.
func TestTierOrder(t *testing.T) {
	c := newTestCell(2, 2, nil)
	for _, tier := range []uint32{3, 1, 2, 0} {
		c.submit(3, tier, "a")
	}
	for _, want := range [][4]int{{0, 2, 3, 3}, {0, 0, 1, 3}, {0, 0, 0, 0}} {
		grants, _ := c.step()
		assert.Equal(t, c.Backlog(), want)
		for _, g := range grants {
			c.answer(g, 100, 100)
		}
	}
}

// TestFairShare guards against a workspace that gets more or less than its weighted share of the work while all
// workspaces are backlogged, with output lengths that differ by a factor of a hundred and estimates that are off by
// half.
func TestFairShare(t *testing.T) {
	c := newTestCell(4, 8, func(s *Settings) { s.MaxQueue = 0 })
	weights := map[string]float64{"a": 1, "b": 2, "c": 4}
	lengths := map[string]uint32{"a": 2000, "b": 20, "c": 200}
	c.SetWorkspaceWeights(weights)
	work := make(map[string]float64)
	tickets := make(map[string]*protocol.Ticket)
	var total float64
	for range 1500 {
		for workspace, length := range lengths {
			for c.requestsQueued(workspace) < 40 {
				ticket := c.ticket(2, workspace)
				ticket.OutputTokens = length
				tickets[ticket.RequestId] = ticket
				c.Submit(c.now, "h", ticket)
			}
		}
		grants, _ := c.step()
		for _, g := range grants {
			ticket := tickets[g.RequestId]
			actual := ticket.OutputTokens * 3 / 2
			work[ticket.Workspace] += float64(100 + actual)
			total += float64(100 + actual)
			c.answer(g, 100, actual)
		}
	}
	for workspace, weight := range weights {
		assert.Assert(t, within(work[workspace], total*weight/7, 0.05), "%s: %v of %v", workspace, work, total)
	}
}

func (c *cell) requestsQueued(workspace string) int {
	if a := c.buckets[2].accounts[workspace]; a != nil {
		return a.queue.len()
	}
	return 0
}

// TestIdleShareIsRedistributed guards against slots that stay empty because a workspace has no tickets, and against
// credit that a workspace gathers while it is idle.
func TestIdleShareIsRedistributed(t *testing.T) {
	c := newTestCell(1, 10, nil)
	c.submit(30, 2, "busy")
	grants, _ := c.step()
	assert.Equal(t, len(grants), 10)
	for _, g := range grants {
		c.answer(g, 100, 100)
	}
	c.submit(30, 2, "late")
	grants, _ = c.step()
	late := 0
	for _, g := range grants {
		if c.requests[g.RequestId].ticket.Workspace == "late" {
			late++
		}
	}
	assert.Equal(t, late, 5, "the late workspace gets half of the slots and no credit for its idle time")
}

// TestShedding guards against refusing a ticket of a higher tier while one of a lower tier is queued, and against a
// workspace that loses tickets because another one floods the queue.
func TestShedding(t *testing.T) {
	c := newTestCell(0, 0, func(s *Settings) { s.MaxQueue = 10 })
	first := c.submit(2, 3, "small")
	flood := c.submit(8, 3, "flood")
	_, refusals := c.step()
	assert.Equal(t, len(refusals), 0)
	c.submit(1, 0, "small")
	_, refusals = c.step()
	assert.DeepEqual(t, ids(refusals), []string{flood.RequestId})
	assert.Equal(t, refusals[0].Code, CodeOverloaded)
	assert.Assert(t, refusals[0].RetryAfterMs > 0)
	c.submit(9, 0, "small")
	_, refusals = c.step()
	assert.Equal(t, len(refusals), 9)
	assert.Equal(t, c.Backlog(), [4]int{10, 0, 0, 0})
	low := c.submit(1, 1, first.Workspace)
	_, refusals = c.step()
	assert.DeepEqual(t, ids(refusals), []string{low.RequestId})
}
