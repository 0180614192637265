package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/protocol"
)

// TestRepeatedRequest guards against a repeat that is granted the engine that just failed it, which has a free slot because it fails
// at once, against one that waits in vain for another engine, and against a service whose engines all fail that is asked again and
// again.
func TestRepeatedRequest(t *testing.T) {
	leave := func(c *cell) { c.SetLeaving(c.now, "e1", true) }
	fill := func(c *cell) {
		c.SetLeaving(c.now, "e0", true)
		c.submit(2, 0, "other")
		c.Step(c.now)
		c.SetLeaving(c.now, "e0", false)
	}
	pauseLong := func(c *cell) { c.pause("e1", time.Hour) }
	cases := []struct {
		name   string
		avoid  []string
		before func(*cell)
		// granted is the engine of the grant, after is how long the ticket waits for it; refused is the code of a refusal.
		granted string
		after   time.Duration
		refused string
	}{
		{"first time", nil, nil, "e0", 0, ""},
		{"failed once", []string{"e0"}, nil, "e1", 0, ""},
		{"the other one is leaving", []string{"e0"}, leave, "e0", 0, ""},
		{"the other one has turned the holder away", []string{"e0"}, pauseLong, "e0", 0, ""},
		{"the other one is full", []string{"e0"}, fill, "e0", avoidWait, ""},
		{"both failed once", []string{"e0", "e1"}, nil, "e0", 0, ""},
		{"one failed twice", []string{"e0", "e1", "e0"}, nil, "e1", 0, ""},
		{"both failed twice", []string{"e0", "e1", "e0", "e1"}, nil, "", 0, CodeNoUpstream},
		{"an engine that has left failed", []string{"e9", "e9"}, nil, "e0", 0, ""},
	}
	for _, k := range cases {
		c := newTestCell(2, 2, nil)
		if k.before != nil {
			k.before(c)
		}
		ticket := c.ticket(0, "a")
		ticket.Avoid, ticket.DeadlineMs = k.avoid, 10_000
		c.Submit(c.now, "h", ticket)
		submitted := c.now
		grants, refusals := c.step()
		for len(grants)+len(refusals) == 0 && !c.NextWake(c.now).IsZero() {
			c.now = c.NextWake(c.now)
			grants, refusals = c.step()
		}
		if k.refused != "" {
			assert.Equal(t, refusals[0].GetCode(), k.refused, k.name)
			continue
		}
		assert.Equal(t, grants[0].GetEngine(), k.granted, k.name)
		assert.Equal(t, c.now.Sub(submitted), k.after, k.name)
	}
}

// TestWaitingRepeat guards against a repeat that holds up the tickets behind it while it waits for another engine, and against one
// that isn't granted that engine as soon as it has a free slot.
func TestWaitingRepeat(t *testing.T) {
	c := newTestCell(2, 1, nil)
	c.SetLeaving(c.now, "e0", true)
	running := c.submit(1, 0, "a")
	c.Step(c.now)
	c.SetLeaving(c.now, "e0", false)
	repeat, next := c.ticket(0, "a"), c.ticket(0, "a")
	repeat.Avoid = []string{"e0"}
	c.Submit(c.now, "h", repeat)
	c.Submit(c.now, "h", next)
	grants, _ := c.step()
	assert.DeepEqual(t, ids(grants), []string{next.RequestId})
	c.now = c.now.Add(10 * time.Millisecond)
	c.answer(&protocol.Grant{RequestId: running.RequestId, Engine: "e1"}, 100, 100)
	grants, _ = c.step()
	assert.DeepEqual(t, ids(grants), []string{repeat.RequestId})
	assert.Equal(t, grants[0].GetEngine(), "e1")
}
