package scheduler

import (
	"testing"
	"time"

	"github.com/zeebo/errs"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/isolator"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

const lost = protocol.ReleaseKind_RELEASE_KIND_LOST

var errPoll = errs.New("connection refused")

func (c *cell) report(engine, instance string) {
	c.ObserveLoad(c.now, engine, kernel.LoadReport{Instance: instance}, nil)
}

// TestCrashEvidence guards against a broken connection that counts as a crash without further evidence, and against a
// crash that leaves no suspects, whether the loss or the evidence of the crash is reported first.
func TestCrashEvidence(t *testing.T) {
	fail := func(c *cell) { c.ObserveLoad(c.now, "e0", kernel.LoadReport{}, errPoll) }
	restart := func(c *cell) { c.report("e0", "two") }
	same := func(c *cell) { c.report("e0", "one") }
	lose := func(c *cell) { c.finish(&protocol.Grant{RequestId: "r1", Engine: "e0"}, lost, 1) }
	foreign := func(c *cell) { c.finish(&protocol.Grant{RequestId: "x", Engine: "e0"}, lost, 1) }
	answer := func(c *cell) { c.answer(&protocol.Grant{RequestId: "r1", Engine: "e0"}, 100, 100) }
	unreachable := func(c *cell) {
		c.finish(&protocol.Grant{RequestId: "x", Engine: "e0"}, protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE, 2)
	}
	alone := func(c *cell) { c.requests["r1"].alone = true }
	late := func(c *cell) { c.now = c.now.Add(time.Minute) }
	unusable := func(c *cell) {
		c.ObserveLoad(c.now, "e0", kernel.LoadReport{}, &kernel.ConnectionLostError{Cause: &kernel.MalformedAnswerError{Cause: errPoll}})
	}
	leave := func(c *cell) { c.SetLeaving(c.now, "e0", true) }
	remove := func(c *cell) { c.SetEngines(c.now, nil) }
	cases := []struct {
		name  string
		steps []func(*cell)
		want  isolator.State
	}{
		{"lost only", []func(*cell){lose, same}, isolator.Clear},
		{"lost, then failed report", []func(*cell){lose, fail}, isolator.Suspect},
		{"failed report, then lost", []func(*cell){fail, lose}, isolator.Suspect},
		{"lost, then unreachable", []func(*cell){lose, unreachable}, isolator.Suspect},
		{"lost long before unreachable", []func(*cell){lose, late, unreachable}, isolator.Clear},
		{"alone, lost, then unreachable", []func(*cell){alone, lose, unreachable}, isolator.Clear},
		{"alone, lost, unreachable, then restart", []func(*cell){alone, lose, unreachable, restart}, isolator.Poison},
		{"lost, then restart", []func(*cell){lose, restart}, isolator.Suspect},
		{"restart, then lost late", []func(*cell){restart, late, lose}, isolator.Suspect},
		{"another scheduler's grant", []func(*cell){foreign, restart}, isolator.Suspect},
		{"restart long after", []func(*cell){lose, late, restart}, isolator.Clear},
		{"lost long after a failed report", []func(*cell){fail, late, lose}, isolator.Clear},
		{"failed report, answered", []func(*cell){fail, answer}, isolator.Clear},
		{"lost, unreachable, but still the same instance", []func(*cell){lose, unreachable, same}, isolator.Clear},
		{"still the same instance, then a failed report", []func(*cell){lose, same, fail}, isolator.Clear},
		{"lost, then an answer that is no load report", []func(*cell){lose, unusable}, isolator.Clear},
		{"lost while leaving, then restart", []func(*cell){leave, lose, restart}, isolator.Clear},
		{"lost, then registration ended", []func(*cell){lose, remove}, isolator.Suspect},
		{"registration ended, then lost", []func(*cell){remove, lose}, isolator.Clear},
	}
	for _, k := range cases {
		c := newTestCell(1, 4, nil)
		c.report("e0", "one")
		c.submit(1, 0, "a")
		c.step()
		for _, step := range k.steps {
			step(c)
		}
		assert.Equal(t, c.isolator.State(c.now, 1), k.want, k.name)
	}
}

// TestPoison guards against a poison request that keeps crashing engines, against the conviction of a request that
// shared the engine with others when it crashed, and against suspects that share an engine.
func TestPoison(t *testing.T) {
	c := newTestCell(2, 4, nil)
	for _, e := range []string{"e0", "e1"} {
		c.report(e, "one")
	}
	send := func(fingerprint uint64) *protocol.Ticket {
		ticket := c.ticket(1, "a")
		ticket.Fingerprint = fingerprint
		c.Submit(c.now, "h", ticket)
		return ticket
	}
	crash := func(g *protocol.Grant, instance string) {
		c.finish(g, lost, 0)
		c.report(g.Engine, instance)
	}
	const poison, healthy = 100, 200
	send(poison)
	send(healthy)
	c.SetLeaving(c.now, "e1", true)
	grants, _ := c.step()
	assert.Equal(t, len(grants), 2)
	c.finish(grants[1], lost, 0)
	crash(grants[0], "two")
	c.SetLeaving(c.now, "e1", false)
	suspects := []*protocol.Ticket{send(healthy), send(poison)}
	c.submit(12, 1, "a")
	grants, _ = c.step()
	idsByEngine := make(map[string][]string)
	for _, g := range grants {
		idsByEngine[g.Engine] = append(idsByEngine[g.Engine], g.RequestId)
	}
	for _, suspect := range suspects {
		r := c.requests[suspect.RequestId]
		assert.Assert(t, r.engine == nil || len(idsByEngine[r.engine.info.Name]) == 1)
	}
	var poisonRuns int
	for range 40 {
		for _, g := range grants {
			if r := c.requests[g.RequestId]; r.ticket.Fingerprint == poison {
				assert.Assert(t, r.alone)
				poisonRuns++
				c.finish(g, lost, 0)
				c.report("e0", "three")
				c.report("e1", "three")
				continue
			}
			c.answer(g, 100, 100)
		}
		grants, _ = c.step()
	}
	assert.Equal(t, poisonRuns, 1)
	assert.Equal(t, c.isolator.State(c.now, healthy), isolator.Clear, "an answer while alone clears the suspicion")
	refused := send(poison)
	_, refusals := c.step()
	assert.DeepEqual(t, ids(refusals), []string{refused.RequestId})
	assert.Equal(t, refusals[0].Code, CodePoison)

	listed := c.Dump().Suspects[0]
	assert.Assert(t, listed.Poison && listed.Trait == "64" && listed.Crashes > 0, "%+v", listed)

	other := newTestCell(0, 0, nil)
	ticket := other.ticket(1, "a")
	ticket.Fingerprint = poison
	other.Submit(other.now, "h", ticket)
	other.AddConvictions(other.now, c.Convictions(c.now))
	_, refusals = other.step()
	assert.Equal(t, refusals[0].Code, CodePoison, "a queued ticket is refused when the conviction arrives")
	c.now = c.now.Add(c.settings.Isolation.PoisonRetention)
	send(poison)
	_, refusals = c.step()
	assert.Equal(t, len(refusals), 0, "the conviction has expired")
}
