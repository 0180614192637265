package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/isolator"
	"coltsfootplank/internal/protocol"
)

// TestStartBy guards against a request that stays queued or runs although its answer can no longer begin in time.
func TestStartBy(t *testing.T) {
	c := newTestCell(1, 1, nil)
	c.submit(1, 0, "a")
	running, _ := c.step()
	waiting := c.ticket(0, "a")
	waiting.StartMs = 600
	c.Submit(c.now, "h", waiting)
	grants, refusals := c.step()
	assert.Equal(t, len(grants)+len(refusals), 0)
	c.now = c.now.Add(650 * time.Millisecond)
	c.answer(running[0], 100, 100)
	grants, refusals = c.step()
	assert.Equal(t, len(grants), 0)
	assert.Equal(t, len(refusals), 1)
	assert.Equal(t, refusals[0].Code, CodeDeadlineInfeasible)
	assert.Assert(t, refusals[0].RetryAfterMs > 0)
}

// TestAdopt guards against a new scheduler that treats slots as free in which requests of its predecessor still run.
func TestAdopt(t *testing.T) {
	c := newTestCell(1, 2, nil)
	running := c.ticket(0, "a")
	assert.Assert(t, c.Adopt(c.now, "h", running, "e0", time.Second))
	assert.Assert(t, !c.Adopt(c.now, "h", running, "unknown", time.Second))
	c.submit(2, 0, "a")
	grants, _ := c.step()
	assert.Equal(t, len(grants), 1)
	c.answer(&protocol.Grant{RequestId: running.RequestId, Engine: "e0"}, 100, 100)
	grants, _ = c.step()
	assert.Equal(t, len(grants), 1)
}

// TestShed guards against an engine that gets the next request right after it refused one because it was full, and
// against one that stays excluded for long.
func TestShed(t *testing.T) {
	c := newTestCell(1, 4, nil)
	c.submit(1, 0, "a")
	grants, _ := c.step()
	c.finish(grants[0], protocol.ReleaseKind_RELEASE_KIND_SHED, 0)
	c.Cancel(c.now, "h", grants[0].RequestId)
	next := c.submit(1, 0, "a")
	grants, _ = c.step()
	assert.Equal(t, len(grants), 0)
	c.now = c.now.Add(shedPause)
	grants, _ = c.step()
	assert.DeepEqual(t, ids(grants), []string{next.RequestId})
}

// TestAllowances guards against a workspace that uses more than its allowance, and against refused or unused requests
// that are charged to it.
func TestAllowances(t *testing.T) {
	c := newTestCell(1, 10, nil)
	c.SetAllowances(map[string]cataloguer.Allowance{"a": {Rate: 100, Burst: 1000}})
	submit := func() (*protocol.Ticket, []*protocol.Grant, []*protocol.Refusal) {
		ticket := c.ticket(0, "a")
		ticket.Charge = 200
		c.Submit(c.now, "h", ticket)
		grants, refusals := c.step()
		return ticket, grants, refusals
	}
	_, grants, _ := submit()
	assert.Equal(t, len(grants), 1)
	_, _, refusals := submit()
	assert.Equal(t, len(refusals), 1)
	assert.Equal(t, refusals[0].Code, CodeAllowanceExceeded)
	c.finish(grants[0], protocol.ReleaseKind_RELEASE_KIND_UNUSED, 0)
	c.Cancel(c.now, "h", grants[0].RequestId)
	_, grants, _ = submit()
	assert.Equal(t, len(grants), 1)
	c.answer(grants[0], 100, 100)
	_, _, refusals = submit()
	assert.Equal(t, len(refusals), 1)
	c.now = c.now.Add(2 * time.Second)
	_, grants, _ = submit()
	assert.Equal(t, len(grants), 1)
}

// TestCrashLimit guards against a request that crashes engines and is run again and again, and against suspects that
// wait to run alone: with a crash limit, the number of crashes decides which requests are poison.
func TestCrashLimit(t *testing.T) {
	c := newTestCell(2, 4, func(s *Settings) {
		s.Isolation = isolator.Settings{SuspectRetention: time.Minute, PoisonRetention: time.Minute, MaxEntries: 16, CrashLimit: 3}
	})
	for _, instance := range []string{"two", "three", "four"} {
		for _, engine := range []string{"e0", "e1"} {
			c.report(engine, instance)
		}
		c.now = c.now.Add(time.Second)
		other := c.submit(1, 0, "a")
		ticket := c.ticket(0, "a")
		ticket.Fingerprint = 99
		c.Submit(c.now, "h", ticket)
		grants, _ := c.step()
		assert.Equal(t, len(grants), 2, other.RequestId)
		for _, g := range grants {
			if g.RequestId != ticket.RequestId {
				c.answer(g, 100, 100)
				continue
			}
			c.finish(g, protocol.ReleaseKind_RELEASE_KIND_LOST, 99)
		}
		c.now = c.now.Add(time.Second)
	}
	c.report("e0", "five")
	c.report("e1", "five")
	ticket := c.ticket(0, "a")
	ticket.Fingerprint = 99
	c.Submit(c.now, "h", ticket)
	_, refusals := c.step()
	assert.Equal(t, len(refusals), 1)
	assert.Equal(t, refusals[0].Code, CodePoison)
}
