package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/pacer"
	"coltsfootplank/internal/protocol"
)

// linkedPool is three engines, three holders and their scheduler, one of each in a data centre, in virtual time. The engines run
// requests in order of arrival and queue those beyond their slots, up to queue.
type linkedPool struct {
	slots, queue int
	run, link    time.Duration
	// every second run of an uneven pool takes three times as long.
	uneven     bool
	turnaround bool
}

// linkedRun is a granted request: sent by its holder, at the engine at arrives, and once it has begun there, ended at ends, back at
// the holder, and released to the scheduler at releasedAt.
type linkedRun struct {
	grant                                 *protocol.Grant
	holder, engine                        int
	work                                  time.Duration
	sent, arrives, ends, back, releasedAt time.Time
	begun                                 bool
	kind                                  protocol.ReleaseKind
}

// play keeps 60 tickets queued for three seconds and returns the runs that ended per second in the last two seconds, the most
// requests in flight on one engine, the sheds and the longest wait in an engine's queue.
func (p linkedPool) play() (perSecond float64, inFlight, sheds int, wait time.Duration) {
	const step, seconds, engines = 500 * time.Microsecond, 3, 3
	c := newTestCell(engines, p.slots, func(s *Settings) { s.Turnaround = p.turnaround })
	free := make([][]time.Time, engines)
	for i := range free {
		free[i] = make([]time.Time, p.slots)
	}
	var runs []*linkedRun
	holders, ended := map[string]int{}, 0
	distance := func(a, b int) time.Duration {
		if a == b {
			return 100 * time.Microsecond
		}
		return p.link
	}
	for c.now = start; c.now.Before(start.Add(seconds * time.Second)); c.now = c.now.Add(step) {
		runs = slices.DeleteFunc(runs, func(r *linkedRun) bool {
			if !r.begun || r.releasedAt.After(c.now) {
				return false
			}
			c.Release(c.now, fmt.Sprint("h", holders[r.grant.RequestId]), &protocol.Release{RequestId: r.grant.RequestId,
				Engine: r.grant.Engine, Kind: r.kind, TotalMs: r.back.Sub(r.sent).Milliseconds()})
			if r.kind == protocol.ReleaseKind_RELEASE_KIND_ANSWERED && c.now.Sub(start) > time.Second {
				ended++
			}
			return true
		})
		for c.queued() < 60 {
			ticket := c.ticket(1, "a")
			ticket.PromptTokens, ticket.OutputTokens = 0, 0
			holders[ticket.RequestId] = c.ticketCount % 3
			c.Submit(c.now, fmt.Sprint("h", c.ticketCount%3), ticket)
		}
		for _, d := range c.Step(c.now) {
			// The scheduler is in the first data centre.
			holder, engine := holders[d.Grant.RequestId], int(d.Grant.Engine[1]-'0')
			r := &linkedRun{grant: d.Grant, sent: c.now.Add(distance(0, holder)), engine: engine, holder: holder, work: p.run}
			if p.uneven && c.random.IntN(2) == 0 {
				r.work *= 3
			}
			r.arrives = r.sent.Add(distance(holder, engine))
			runs = append(runs, r)
		}
		slices.SortStableFunc(runs, func(a, b *linkedRun) int { return a.arrives.Compare(b.arrives) })
		for _, r := range runs {
			if r.begun || r.arrives.After(c.now) {
				continue
			}
			slices.SortFunc(free[r.engine], time.Time.Compare)
			present := 0
			for _, other := range runs {
				if other.begun && other.engine == r.engine && other.ends.After(r.arrives) {
					present++
				}
			}
			r.begun, r.ends, r.kind = true, r.arrives, protocol.ReleaseKind_RELEASE_KIND_SHED
			if present < p.slots+p.queue {
				begins := r.arrives
				if free[r.engine][0].After(begins) {
					begins = free[r.engine][0]
				}
				r.ends, r.kind = begins.Add(r.work), protocol.ReleaseKind_RELEASE_KIND_ANSWERED
				free[r.engine][0] = r.ends
				wait = max(wait, begins.Sub(r.arrives))
			} else {
				sheds++
			}
			r.back = r.ends.Add(distance(r.holder, r.engine))
			r.releasedAt = r.back.Add(distance(0, r.holder))
		}
		for _, e := range c.engines.list {
			inFlight = max(inFlight, len(e.granted))
		}
	}
	return float64(ended) / (seconds - 1), inFlight, sheds, wait
}

// TestTurnaround guards against slots that stay empty while releases and grants cross the network, and against requests that
// wait long in an engine's queue or are sent to one that refuses them.
func TestTurnaround(t *testing.T) {
	barol := linkedPool{slots: 6, queue: 24, run: 15 * time.Millisecond, link: 3400 * time.Microsecond}
	cases := []struct {
		name   string
		change func(*linkedPool)
		// filled is the smallest share of the engines' capacity that is used.
		filled                       float64
		fewestInFlight, mostInFlight int
	}{
		{"runs of 15 ms", func(*linkedPool) {}, 0.95, 9, 12},
		{"runs of 30 ms behind short links", func(p *linkedPool) { p.run, p.link = 30*time.Millisecond, 900*time.Microsecond }, 0.95, 6, 8},
		{"no links", func(p *linkedPool) { p.link = 100 * time.Microsecond }, 0.9, 6, 7},
		{"runs of a model engine", func(p *linkedPool) { p.run, p.slots = 600*time.Millisecond, 7 }, 0, 7, 7},
		{"uneven runs", func(p *linkedPool) { p.uneven = true }, 0.9, 6, 12},
		{"very short runs", func(p *linkedPool) { p.run = time.Millisecond }, 0, 12, 12},
		{"engines without a queue", func(p *linkedPool) { p.queue = 0 }, 0, 6, 12},
	}
	for _, k := range cases {
		pool := barol
		pool.turnaround = true
		k.change(&pool)
		perSecond, inFlight, sheds, wait := pool.play()
		mean := pool.run
		if pool.uneven {
			mean *= 2
		}
		t.Logf("%s: %.0f a second, %d in flight, %d shed, waits up to %s", k.name, perSecond, inFlight, sheds, wait)
		assert.Assert(t, perSecond >= k.filled*float64(3*pool.slots)/mean.Seconds(), "%s: %.0f a second", k.name, perSecond)
		assert.Assert(t, inFlight >= k.fewestInFlight && inFlight <= k.mostInFlight, "%s: %d in flight", k.name, inFlight)
		assert.Assert(t, wait <= 2*mean, "%s: waits of %s", k.name, wait)
		if pool.queue > 0 {
			assert.Equal(t, sheds, 0, k.name)
		}
		pool.turnaround = false
		without, inFlight, _, _ := pool.play()
		t.Logf("%s, off: %.0f a second", k.name, without)
		// A pool whose engines don't queue loses at most a tenth to the attempts.
		assert.Assert(t, perSecond >= 0.9*without, "%s: %.0f and %.0f a second", k.name, perSecond, without)
		assert.Equal(t, inFlight, pool.slots, k.name)
	}
}

// TestTurnaroundOff guards against requests beyond the slots of an engine that isn't in full use, whose runs are long, or that shed.
func TestTurnaroundOff(t *testing.T) {
	shed := &protocol.Release{RequestId: "x", Engine: "e0", Kind: protocol.ReleaseKind_RELEASE_KIND_SHED}
	cases := []struct {
		name   string
		change func(*cell, *engine)
		want   int
	}{
		{"full use", func(*cell, *engine) {}, 6},
		{"share of the capacity", func(c *cell, _ *engine) { c.SetCapacityShare(0.95) }, 0},
		{"model engine", func(c *cell, e *engine) { e.info.KVTokens = 1 << 20; c.engines.refreshOne(e) }, 0},
		{"probe", func(c *cell, e *engine) { c.engines.probe(e, c.now) }, 0},
		{"smaller batch", func(c *cell, e *engine) { e.batchSlots = 5; c.engines.refreshOne(e) }, 0},
		{"runs alone", func(c *cell, e *engine) { e.runningAlone = &request{}; c.engines.refreshOne(e) }, 0},
		{"long runs", func(c *cell, e *engine) {
			e.observeRuns(90*time.Millisecond, 300*time.Millisecond)
			c.engines.refreshOne(e)
		}, 0},
		{"shed", func(c *cell, _ *engine) { c.Release(c.now, "h", shed) }, 0},
		{"some time after a shed", func(c *cell, e *engine) {
			c.Release(c.now, "h", shed)
			c.now = c.now.Add(2 * turnaroundRecovery)
			c.Step(c.now)
			e.pace = pacer.Window{}
			c.engines.refreshOne(e)
		}, 2},
	}
	for _, k := range cases {
		c := newTestCell(1, 6, func(s *Settings) { s.Turnaround = true })
		e := c.engines.byName["e0"]
		e.observeRuns(15*time.Millisecond, 45*time.Millisecond)
		c.engines.refreshOne(e)
		assert.Equal(t, e.extraSlots, 6)
		k.change(c, e)
		assert.Equal(t, e.extraSlots, k.want, k.name)
	}
}

// observeRuns records runs of a length, with the given time from grant to release.
func (e *engine) observeRuns(run, span time.Duration) {
	for range turnaroundRuns {
		e.turnaround.observe(span, run)
	}
}
