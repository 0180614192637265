package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/protocol"
)

const (
	// A run of a plain service takes paceRunTime; its caller needs the answer within paceDeadline.
	paceRunTime  = 100 * time.Millisecond
	paceDeadline = 300 * time.Millisecond
	paceTick     = 5 * time.Millisecond
	paceSlots    = 6
	paceEngines  = 6
	paceLength   = 30 * time.Second
)

// paceEngine is an engine of a replay. slow is the factor on the time of a run that starts with inFlight requests at an
// age; crashAt is the age of a run at which the engine crashes.
type paceEngine struct {
	name    string
	bornAt  time.Duration
	cold    time.Duration
	slow    func(age time.Duration, inFlight int) float64
	crashAt time.Duration
	cut     func(at time.Duration) bool
	running []*paceRequest
}

type paceRequest struct {
	id                    string
	sentAt, since, endsAt time.Duration
}

type paceReplay struct {
	name string
	// engines returns the engines that are registered at a time, called each second.
	engines func(second int) []paceEngine
	// rate returns the requests for each tick.
	rate func(at time.Duration) int
	// least is the share of requests that must be answered in time with the pace on; 0 means as many as off. failsOff is set if it isn't reached
	// with the pace off.
	least    float64
	failsOff bool
	// length is paceLength if it isn't set. Requests are sent until a second before its end.
	length time.Duration
}

func sound(from, to int) (list []paceEngine) {
	for i := from; i < to; i++ {
		list = append(list, paceEngine{name: fmt.Sprint("e", i), bornAt: -time.Hour})
	}
	return list
}

// with returns sound engines and one more, which starts in the first second.
func with(engine paceEngine) func(int) []paceEngine {
	engine.name, engine.bornAt = "new", time.Second
	return func(second int) []paceEngine {
		if second == 0 {
			return sound(1, paceEngines)
		}
		return append(sound(1, paceEngines), engine)
	}
}

func coldFor(cold time.Duration) func(time.Duration, int) float64 {
	return func(age time.Duration, _ int) float64 {
		if age < cold {
			return 4
		}
		return 1
	}
}

// play returns the share of requests that were answered in time.
func (p paceReplay) play(pace bool) float64 {
	c := newTestCell(0, 0, func(s *Settings) {
		s.Pace, s.StragglerCap, s.ProbeAfter = pace, 0, time.Second
		s.Retries.Ratio, s.Retries.Burst = 1, 1e9
	})
	known := make(map[string]*paceEngine)
	sent, inTime := 0, 0
	for at := time.Duration(0); at < cmp.Or(p.length, paceLength); at += paceTick {
		c.now = start.Add(at)
		if at%time.Second == 0 {
			p.register(c, known, at)
		}
		for _, e := range known {
			inTime += e.advance(c, at)
		}
		if at >= cmp.Or(p.length, paceLength)-time.Second {
			continue
		}
		for range p.rate(at) {
			sent++
			ticket := &protocol.Ticket{RequestId: fmt.Sprintf("%d/%d", at, sent), Pool: "briefs", Tier: 1, Workspace: "a",
				Work: "plain", DeadlineMs: paceDeadline.Milliseconds(), Fingerprint: uint64(sent)}
			c.Submit(c.now, "h", ticket)
		}
		p.grant(c, known, at)
	}
	return float64(inTime) / float64(sent)
}

func (p paceReplay) grant(c *cell, known map[string]*paceEngine, at time.Duration) {
	for granted := true; granted; {
		grants, _ := c.step()
		granted = false
		for _, g := range grants {
			e := known[g.Engine]
			if e.cut != nil && e.cut(at) {
				c.finish(g, protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE, 0)
				granted = true
				continue
			}
			factor := 1.0
			if e.slow != nil {
				factor = e.slow(at-e.bornAt, len(e.running)+1)
			}
			r := &paceRequest{id: g.RequestId, since: at, endsAt: at + time.Duration(factor*float64(paceRunTime))}
			_, err := fmt.Sscanf(g.RequestId, "%d/", (*int64)(&r.sentAt))
			if err != nil {
				panic(err)
			}
			e.running = append(e.running, r)
		}
	}
}

func (p paceReplay) register(c *cell, known map[string]*paceEngine, at time.Duration) {
	var infos []EngineInfo
	names := make(map[string]bool)
	for _, e := range p.engines(int(at / time.Second)) {
		names[e.name] = true
		if known[e.name] == nil {
			known[e.name] = &e
		}
		infos = append(infos, EngineInfo{Name: e.name, Slots: paceSlots, Incarnation: start.Add(e.bornAt).UnixMilli(),
			ColdRemaining: e.cold})
	}
	c.SetEngines(c.now, infos)
	for name, e := range known {
		if !names[name] && len(e.running) == 0 {
			delete(known, name)
		}
	}
}

// advance ends the runs that are due and returns how many were answered in time.
func (e *paceEngine) advance(c *cell, at time.Duration) (inTime int) {
	lost := e.cut != nil && e.cut(at) || e.crashAt > 0 && slices.ContainsFunc(e.running, func(r *paceRequest) bool {
		return at-r.since >= e.crashAt
	})
	e.running = slices.DeleteFunc(e.running, func(r *paceRequest) bool {
		g := &protocol.Grant{RequestId: r.id, Engine: e.name}
		switch {
		case lost:
			c.finish(g, protocol.ReleaseKind_RELEASE_KIND_LOST, 0)
			return true
		case at < r.endsAt:
			return false
		}
		if at-r.sentAt <= paceDeadline {
			inTime++
		}
		c.Release(c.now, "h", &protocol.Release{RequestId: r.id, Engine: e.name, Kind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED,
			TotalMs: (at - r.since).Milliseconds()})
		return true
	})
	if lost && e.crashAt > 0 {
		e.cut = func(time.Duration) bool { return true }
	}
	return inTime
}

// replaced returns a pool of which the engines of each second replace half.
func replaced(engine paceEngine) func(int) []paceEngine {
	return func(second int) (list []paceEngine) {
		for _, s := range []int{second - 1, second} {
			for i := range paceEngines / 2 {
				e := engine
				e.name, e.bornAt = fmt.Sprintf("s%d-%d", s, i), time.Duration(s)*time.Second
				list = append(list, e)
			}
		}
		return list
	}
}

// TestPace guards against engines that are overloaded right after their start or recovery, and against engines that are left
// idle by their pace. The bounds are what callers need: 1 of 50 requests may miss its deadline where one engine of six is
// slow or crashes, and pacing must cost nothing where the engines are sound, or where half of the pool is cold, which leaves
// too little capacity either way.
func TestPace(t *testing.T) {
	steady := func(time.Duration) int { return 1 }
	burst := func(at time.Duration) int {
		if at%(10*time.Second) >= 3*time.Second && at%(10*time.Second) < 5*time.Second && at%(4*paceTick) != 0 {
			return 2
		}
		return 1
	}
	flaps := func(at time.Duration) bool { return at > time.Second && at%(2*time.Second) >= 1500*time.Millisecond }
	allNew := func(int) []paceEngine {
		list := sound(0, paceEngines)
		for i := range list {
			list[i].bornAt = 0
		}
		return list
	}
	cases := []paceReplay{
		{"cold for 2 s", with(paceEngine{slow: coldFor(2 * time.Second)}), steady, 0.98, true, 4 * time.Second},
		{"cold for 20 s", with(paceEngine{slow: coldFor(20 * time.Second)}), steady, 0.98, true, 0},
		{"cold for 20 s, as registered", with(paceEngine{slow: coldFor(20 * time.Second), cold: 20 * time.Second}), steady, 0.98, true, 0},
		{"cold for ever", with(paceEngine{slow: coldFor(time.Hour)}), steady, 0.98, true, 0},
		{"two engines a second crash at their first requests", func(second int) []paceEngine {
			list := sound(1, paceEngines)
			for i := range 2 {
				list = append(list, paceEngine{name: fmt.Sprintf("c%d-%d", second, i), bornAt: time.Duration(second) * time.Second,
					crashAt: 80 * time.Millisecond})
			}
			return list
		}, steady, 0.98, true, 0},
		{"slow when nearly full", with(paceEngine{slow: func(_ time.Duration, inFlight int) float64 {
			if inFlight >= paceSlots-1 {
				return 4
			}
			return 1
		}}), burst, 0.98, false, 0},
		{"half of the pool replaced each second", replaced(paceEngine{}), steady, 0.999, false, 0},
		{"half of the pool replaced each second, cold for 300 ms", replaced(paceEngine{slow: coldFor(300 * time.Millisecond)}), steady, 0, false, 0},
		{"all engines at once", allNew, burst, 0.999, false, 0},
		{"recovery during a burst", func(int) []paceEngine {
			list := sound(0, paceEngines)
			for i := range 2 {
				list[i].cut = func(at time.Duration) bool {
					return at >= 2500*time.Millisecond && at < 3500*time.Millisecond
				}
			}
			return list
		}, burst, 0.98, false, 0},
		{"flapping", func(int) []paceEngine {
			return append(sound(1, paceEngines), paceEngine{name: "e0", bornAt: -time.Hour, cut: flaps})
		}, steady, 0.98, false, 0},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			off, on := k.play(false), k.play(true)
			t.Logf("answered in time: %.4f with the pace off, %.4f on", off, on)
			assert.Assert(t, on >= k.least, "%.4f with the pace on, %.4f needed", on, k.least)
			assert.Assert(t, k.least > 0 || on >= off, "%.4f with the pace on, %.4f off", on, off)
			assert.Assert(t, !k.failsOff || off < k.least, "%.4f with the pace off: the replay shows nothing", off)
		})
	}
}
