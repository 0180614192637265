package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/protocol"
)

// TestTierOrder guards against a lower tier being granted while a higher one waits for the same slots.
func TestTierOrder(t *testing.T) {
	c := newCell(2, 2, nil)
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

// TestFairShare guards against a workspace getting more or less than its weighted share of the work while all are
// backlogged, with lengths that differ a hundredfold and estimates that are wrong by half.
func TestFairShare(t *testing.T) {
	c := newCell(4, 8, func(s *Settings) { s.MaxQueue = 0 })
	weights := map[string]float64{"a": 1, "b": 2, "c": 4}
	lengths := map[string]uint32{"a": 2000, "b": 20, "c": 200}
	c.SetWorkspaceWeights(weights)
	work := make(map[string]float64)
	owner := make(map[string]*protocol.Ticket)
	var total float64
	for range 1500 {
		for workspace, length := range lengths {
			for c.requestsQueued(workspace) < 40 {
				ticket := c.ticket(2, workspace)
				ticket.OutputTokens = length
				owner[ticket.RequestId] = ticket
				c.Submit(c.now, "h", ticket)
			}
		}
		grants, _ := c.step()
		for _, g := range grants {
			ticket := owner[g.RequestId]
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
		return a.queued.len()
	}
	return 0
}

// TestIdleShareIsLent guards against slots staying empty for a workspace without tickets, and against credit
// gathered while idle.
func TestIdleShareIsLent(t *testing.T) {
	c := newCell(1, 10, nil)
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
	assert.Equal(t, late, 5, "the late workspace gets its half, not the time that it was idle")
}

// TestShedding guards against a higher tier being refused while a lower one is queued, and against a workspace
// losing tickets for the flood of another.
func TestShedding(t *testing.T) {
	c := newCell(0, 0, func(s *Settings) { s.MaxQueue = 10 })
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
