package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/protocol"
)

// workReplay replays requests of 100 ms on four engines whose machines become 2.5 times slower.
type workReplay struct {
	*cell
	// slow reports whether an engine is slow at a time after the start, and states returns what it then states.
	slow   func(engine int, at time.Duration) bool
	states func(engine int, at time.Duration, load *protocol.EngineLoad)
	// deadline is that of the requests, rate their number per second.
	deadline time.Duration
	rate     float64
	runs     []*workRun
	// granted holds the times of the grants after the start by engine. late counts answers after their deadlines.
	granted [4][]time.Duration
	late    int
	refused int
}

// workRun is a run with the work that is left and what its head stated.
type workRun struct {
	grant     *protocol.Grant
	left      time.Duration
	granted   time.Time
	statedAt  time.Time
	load      *protocol.EngineLoad
	arrivedAt time.Time
}

func newWorkReplay(slow func(int, time.Duration) bool) *workReplay {
	c := newTestCell(0, 0, nil)
	infos := make([]EngineInfo, 4)
	for i := range infos {
		infos[i] = EngineInfo{Name: fmt.Sprint(i), Slots: 6, PrefillPerSec: 4000, TokensPerSec: 100 / 0.075}
	}
	c.SetEngines(start, infos)
	return &workReplay{cell: c, slow: slow, deadline: 180 * time.Millisecond, rate: 100, states: honest(slow)}
}

// honest states what is so.
func honest(slow func(int, time.Duration) bool) func(int, time.Duration, *protocol.EngineLoad) {
	return func(engine int, at time.Duration, load *protocol.EngineLoad) {
		if load.WorkPercent = 100; slow(engine, at) {
			load.WorkPercent = 250
		}
	}
}

// run replays until a time after the start.
func (w *workReplay) run(until time.Duration) {
	const step = time.Millisecond
	due := 0.0
	arrived := map[string]time.Time{}
	for ; w.now.Before(start.Add(until)); w.now = w.now.Add(step) {
		at := w.now.Sub(start)
		w.runs = slices.DeleteFunc(w.runs, func(r *workRun) bool {
			engine := int(r.grant.Engine[0] - '0')
			done := step
			if w.slow(engine, at) {
				done = step * 2 / 5
			}
			if r.left -= done; r.left <= 75*time.Millisecond && r.load == nil {
				r.load, r.statedAt = &protocol.EngineLoad{Slots: 6}, w.now
				w.states(engine, at, r.load)
				for _, other := range w.runs {
					if other.grant.Engine == r.grant.Engine && other.left > 0 {
						r.load.Running++
					}
				}
			}
			if r.left > 0 {
				return false
			}
			if w.now.Sub(r.arrivedAt) > w.deadline {
				w.late++
			}
			r.load.AgeMs += w.now.Sub(r.statedAt).Milliseconds()
			w.Release(w.now, "h", &protocol.Release{RequestId: r.grant.RequestId, Engine: r.grant.Engine, Load: r.load,
				Kind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED, PromptTokens: 100, OutputTokens: 100,
				FirstTokenMs: r.statedAt.Sub(r.granted).Milliseconds(), TotalMs: w.now.Sub(r.granted).Milliseconds()})
			return true
		})
		for due += w.rate * step.Seconds(); due >= 1; due-- {
			ticket := w.ticket(0, "a")
			ticket.DeadlineMs = w.deadline.Milliseconds()
			arrived[ticket.RequestId] = w.now
			w.Submit(w.now, "h", ticket)
		}
		grants, refusals := w.step()
		w.refused += len(refusals)
		for _, g := range grants {
			w.granted[g.Engine[0]-'0'] = append(w.granted[g.Engine[0]-'0'], at)
			w.runs = append(w.runs, &workRun{grant: g, left: 100 * time.Millisecond, granted: w.now, arrivedAt: arrived[g.RequestId]})
		}
	}
}

// share returns the share of the grants in a span that an engine got.
func (w *workReplay) share(engine int, from, to time.Duration) float64 {
	var own, all float64
	for i, times := range w.granted {
		for _, at := range times {
			if at >= from && at < to {
				all++
				if i == engine {
					own++
				}
			}
		}
	}
	return own / all
}

func never(int, time.Duration) bool { return false }

// between makes engine 0 slow in a span.
func between(from, to time.Duration) func(int, time.Duration) bool {
	return func(engine int, at time.Duration) bool { return engine == 0 && at >= from && at < to }
}

// random makes each engine slow for 0.15 of the spans of the given length.
func random(seed uint64, span time.Duration) func(int, time.Duration) bool {
	source := rand.New(rand.NewPCG(seed, 0))
	var slow [4][200]bool
	for engine := range slow {
		for i := range slow[engine] {
			slow[engine][i] = source.Float64() < 0.15
		}
	}
	return func(engine int, at time.Duration) bool { return slow[engine][at/span] }
}

// TestStatedWork guards against an engine that gets no requests after its machine was slow, because the slow phase was learnt
// as its speed, so that deadlines count as infeasible; against one that is slow for seconds and keeps its part of the
// requests; against bursts that follow single samples; and against figures that are stale, wrong or missing and take effect.
func TestStatedWork(t *testing.T) {
	const (
		begin = 2 * time.Second
		even  = 0.25
	)
	always := func(engine int, _ time.Duration) bool { return engine == 0 }
	states := func(change func(load *protocol.EngineLoad)) func(int, time.Duration, *protocol.EngineLoad) {
		return func(engine int, _ time.Duration, load *protocol.EngineLoad) {
			if load.WorkPercent = 100; engine == 0 {
				change(load)
			}
		}
	}
	cases := []struct {
		name   string
		slow   func(int, time.Duration) bool
		states func(int, time.Duration, *protocol.EngineLoad)
		// end is when the pattern ends. least and most bound the share of engine 0 in it.
		end         time.Duration
		least, most float64
	}{
		{"never slow", never, nil, 5 * time.Second, even / 2, even * 1.5},
		{"slow for 600 ms", between(begin, begin+slowPhase), nil, begin + slowPhase, 0, even / 2},
		{"slow for 3 s", between(begin, 5*time.Second), nil, 5 * time.Second, 0, even / 2},
		{"speed changes each 100 ms", random(1, 100*time.Millisecond), nil, 5 * time.Second, even / 2, even * 1.5},
		{"phases of 600 ms", random(2, slowPhase), nil, 8 * time.Second, even / 2, even * 1.5},
		{"stale", never, states(func(load *protocol.EngineLoad) { load.WorkPercent, load.AgeMs = 250, 2000 }), 5 * time.Second, even / 2, even * 1.5},
		{"wrong percentage", never, states(func(load *protocol.EngineLoad) { load.WorkPercent = 100_000 }), 5 * time.Second, even / 2, even * 1.5},
		{"wrong counts", never, states(func(load *protocol.EngineLoad) { load.Running, load.Waiting = 4e9, 4e9 }), 5 * time.Second, even / 4, even * 1.5},
		{"low percentage of a slow engine", always, states(func(load *protocol.EngineLoad) { load.WorkPercent = 1 }), 5 * time.Second, 0, even / 2},
		{"missing", never, func(int, time.Duration, *protocol.EngineLoad) {}, 5 * time.Second, even / 2, even * 1.5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorkReplay(c.slow)
			if w.states = c.states; c.states == nil {
				w.states = honest(c.slow)
			}
			w.run(c.end)
			share := w.share(0, begin, c.end)
			assert.Assert(t, share >= c.least && share <= c.most, "%.3f of the grants", share)
			assert.Assert(t, w.refused <= w.ticketCount/100, "%d of %d refused", w.refused, w.ticketCount)
			assert.Equal(t, w.engines.byName["0"].foreignInFlight, 0)
			if c.states != nil {
				return
			}
			// The learnt speed is nearer to the usual one than to that of a slow phase.
			learnt := w.engines.byName["0"].decodeSpeed()
			assert.Assert(t, learnt > (1+1/2.5)/2*100/0.075, "%v", learnt)
			w.run(c.end + time.Second)
			after := w.share(0, c.end+slowPhase/2, c.end+time.Second)
			assert.Assert(t, after >= even/2, "%.3f of the grants after the end", after)
			for _, times := range w.granted {
				for i := range times[:max(0, len(times)-6)] {
					assert.Assert(t, times[i+6]-times[i] > 20*time.Millisecond, "a burst at %v", times[i])
				}
			}
		})
	}
}

// TestWorkFactor guards against a single sample that moves the factor by all that it states, against samples of one moment
// that count several times, and against a slowdown that is kept without fresh samples or is forgotten while they come.
func TestWorkFactor(t *testing.T) {
	var w workFactor
	w.observe(start, 2.5, 0)
	single := w.value(start)
	assert.Assert(t, single > 1.5 && single < 2.1, "%v", single)
	assert.Assert(t, w.value(start.Add(slowPhase)) < 1.3)
	assert.Assert(t, w.value(start.Add(2*slowPhase)) < 1.05)
	before := w
	w.observe(start, 1, 0)
	assert.Assert(t, w.value(start) > 1+0.8*(single-1), "a second sample of the same moment")
	w = before
	w.observe(start.Add(slowPhase), 2.5, 10*time.Second)
	assert.Assert(t, w.value(start.Add(slowPhase)) < 1.3, "a stale sample")
	now := start
	for range 40 {
		now = now.Add(workSampleInterval)
		w.observe(now, 2.5, 0)
	}
	assert.Assert(t, within(w.value(now), 2.5, 0.2), "%v", w.value(now))
	// The integral is that of the values.
	sum, from := 0.0, now
	for ; now.Before(from.Add(slowPhase)); now = now.Add(time.Millisecond) {
		sum += (w.value(now) - 1) * 0.001
	}
	assert.Assert(t, within(w.since(now), sum, 0.01), "%v, %v", w.since(now), sum)
}
