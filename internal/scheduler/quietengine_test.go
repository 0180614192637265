package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/isolator"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

// TestCrashShownByRegistration guards against a crash that goes unnoticed because the engine has no load reports and nobody
// else connects to it before it is back under its name.
func TestCrashShownByRegistration(t *testing.T) {
	register := func(incarnation int64) func(*cell) {
		return func(c *cell) { c.SetEngines(c.now, []EngineInfo{{Name: "e0", Slots: 4, Incarnation: incarnation}}) }
	}
	wait := func(d time.Duration) func(*cell) { return func(c *cell) { c.now = c.now.Add(d) } }
	lose := func(c *cell) { c.finish(&protocol.Grant{RequestId: "r1", Engine: "e0"}, lost, 1) }
	remove := func(c *cell) { c.SetEngines(c.now, nil) }
	leave := func(c *cell) { c.SetLeaving(c.now, "e0", true) }
	unreachable := func(c *cell) {
		c.finish(&protocol.Grant{RequestId: "x", Engine: "e0"}, protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE, 2)
	}
	usable := func(c *cell) { c.report("e0", "one") }
	unusable := func(c *cell) {
		c.ObserveLoad(c.now, "e0", kernel.LoadReport{}, &kernel.ConnectionLostError{Cause: &kernel.MalformedAnswerError{Cause: errPoll}})
	}
	cases := []struct {
		name  string
		steps []func(*cell)
		want  isolator.State
	}{
		{"lost, then registered by another process", []func(*cell){lose, register(2)}, isolator.Suspect},
		{"registered by another process, then lost", []func(*cell){register(2), lose}, isolator.Suspect},
		{"back after a long time", []func(*cell){lose, wait(30 * time.Second), register(2)}, isolator.Suspect},
		{"registration expires after a long time", []func(*cell){lose, wait(10 * time.Second), remove}, isolator.Suspect},
		{"unreachable long before it is back", []func(*cell){lose, wait(6 * time.Second), unreachable, register(2)}, isolator.Suspect},
		{"reports became unusable", []func(*cell){usable, unusable, lose, register(2)}, isolator.Suspect},
		{"lost only", []func(*cell){lose, register(1)}, isolator.Clear},
		{"restart long after", []func(*cell){lose, wait(2 * time.Minute), register(2)}, isolator.Clear},
		{"same process in the load reports", []func(*cell){usable, lose, usable, register(2)}, isolator.Clear},
		{"lost while leaving", []func(*cell){leave, lose, register(2)}, isolator.Clear},
	}
	for _, k := range cases {
		c := newTestCell(0, 0, nil)
		register(1)(c)
		c.submit(1, 0, "a")
		c.step()
		for _, step := range k.steps {
			step(c)
		}
		assert.Equal(t, c.isolator.State(c.now, 1), k.want, k.name)
	}
}

// quietService is a service without load reports whose only request comes every interval and crashes each engine that runs it.
type quietService struct {
	engines            int
	interval, downTime time.Duration
	// expiry is how long the registration of a silent engine is kept.
	expiry time.Duration
	// renamed is set if an engine comes back under another name.
	renamed bool
}

// TestRequestThatCrashesQuietEngines guards against a request that crashes one engine after the other without ever being
// refused, because it is the only request of a service without load reports.
func TestRequestThatCrashesQuietEngines(t *testing.T) {
	for _, engines := range []int{1, 2, 3, 8} {
		for _, interval := range []time.Duration{time.Second, 4 * time.Second, 20 * time.Second} {
			for _, downTime := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 5 * time.Second, 15 * time.Second} {
				for _, expiry := range []time.Duration{3600 * time.Millisecond, 6 * time.Second, 30 * time.Second} {
					for _, renamed := range []bool{false, true} {
						day := quietService{engines: engines, interval: interval, downTime: downTime, expiry: expiry, renamed: renamed}
						runs := day.play()
						assert.Assert(t, len(runs) >= 3, "%+v: %d runs", day, len(runs))
						late := slices.DeleteFunc(slices.Clone(runs), func(at time.Duration) bool { return at <= runs[2]+contactTime })
						assert.Assert(t, len(late) <= maxLateRuns, "%+v: %d runs later than %s after the third crash", day, len(late), contactTime)
					}
				}
			}
		}
	}
}

type quietEngine struct {
	name        string
	incarnation int64
	crashedAt   time.Duration
	// replaced is set for the registration of an engine that is back under another name.
	crashed, unregistered, replaced bool
}

// play returns when the request ran.
func (q quietService) play() (runs []time.Duration) {
	c := newTestCell(0, 0, func(s *Settings) {
		s.Isolation.CrashLimit, s.ProbeAfter, s.StragglerCap = 3, time.Second, 0
		s.Retries.Ratio, s.Retries.Burst = 1, 1e6
	})
	var engines []*quietEngine
	for i := range q.engines {
		engines = append(engines, &quietEngine{name: fmt.Sprint("e", i), incarnation: 1})
	}
	register := func() {
		var infos []EngineInfo
		for _, e := range engines {
			if !e.unregistered {
				infos = append(infos, EngineInfo{Name: e.name, Slots: 6, Incarnation: e.incarnation})
			}
		}
		c.SetEngines(c.now, infos)
	}
	register()
	for at := time.Duration(0); at < 20*(q.interval+q.downTime); at += 50 * time.Millisecond {
		c.now = start.Add(at)
		changed := false
		for _, e := range engines {
			switch down := at - e.crashedAt; {
			case e.crashed && !e.replaced && down >= q.downTime:
				changed = true
				if q.renamed && !e.unregistered {
					// The old registration expires later.
					engines = append(engines, &quietEngine{name: e.name, incarnation: e.incarnation, crashedAt: e.crashedAt, crashed: true, replaced: true})
				}
				if q.renamed {
					e.name += "x"
				}
				e.crashed, e.unregistered = false, false
				e.incarnation++
			case e.crashed && down >= q.expiry && !e.unregistered:
				e.unregistered, changed = true, true
			}
		}
		if changed {
			register()
		}
		if at%q.interval == 0 {
			ticket := c.ticket(1, "a")
			ticket.Fingerprint, ticket.DeadlineMs, ticket.PromptTokens, ticket.OutputTokens = 100, 1500, 0, 0
			c.Submit(c.now, "h", ticket)
		}
		grants, _ := c.step()
		for _, g := range grants {
			i := slices.IndexFunc(engines, func(e *quietEngine) bool { return e.name == g.Engine })
			e := engines[i]
			if e.crashed {
				c.finish(g, protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE, 100)
				continue
			}
			runs = append(runs, at)
			e.crashed, e.crashedAt = true, at
			c.finish(g, lost, 100)
		}
	}
	return runs
}
