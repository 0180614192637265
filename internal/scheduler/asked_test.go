package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

// TestAskedEngines guards against grants to a router that an engine has turned away, or to an engine that says that it is
// leaving, and against leaving out an engine whose next process has said nothing.
func TestAskedEngines(t *testing.T) {
	const (
		answered = protocol.ReleaseKind_RELEASE_KIND_ANSWERED
		unused   = protocol.ReleaseKind_RELEASE_KIND_UNUSED
		shed     = protocol.ReleaseKind_RELEASE_KIND_SHED
	)
	leaving := &protocol.Release{Kind: answered, Leaving: true, Incarnation: 1}
	paused := func(kind protocol.ReleaseKind, ms int64) *protocol.Release {
		return &protocol.Release{Kind: kind, PausedMs: ms, Incarnation: 1}
	}
	set := func(incarnation int64) func(*cell) {
		return func(c *cell) { c.SetEngines(c.now, []EngineInfo{{Name: "e0", Slots: 2, Incarnation: incarnation}}) }
	}
	wait := func(d time.Duration) func(*cell) { return func(c *cell) { c.now = c.now.Add(d) } }
	cases := []struct {
		name     string
		releases []*protocol.Release
		then     func(*cell)
		holder   string
		granted  bool
	}{
		{"answered", []*protocol.Release{{Kind: answered}}, nil, "h", true},
		{"leaving", []*protocol.Release{leaving}, nil, "h", false},
		{"leaving, another holder", []*protocol.Release{leaving}, nil, "other", false},
		{"leaving, returned grant", []*protocol.Release{{Kind: unused, Leaving: true, Incarnation: 1}}, nil, "h", false},
		{"leaving, much later", []*protocol.Release{leaving}, wait(time.Hour), "h", false},
		{"leaving, registered again", []*protocol.Release{leaving}, set(1), "h", false},
		{"leaving, dropped at a reload and registered again", []*protocol.Release{leaving}, func(c *cell) {
			c.SetEngines(c.now, []EngineInfo{{Name: "e0", Slots: 2, Incarnation: 1}, {Name: "e1", Slots: 1}})
			c.SetEngines(c.now, []EngineInfo{{Name: "e0", Slots: 2, Incarnation: 1}})
		}, "h", false},
		{"leaving, registered without a start time", []*protocol.Release{leaving}, set(0), "h", false},
		{"leaving, next process", []*protocol.Release{leaving}, set(2), "h", true},
		{"leaving, load report that says nothing of it", []*protocol.Release{leaving},
			func(c *cell) { c.ObserveLoad(c.now, "e0", kernel.LoadReport{Instance: "1"}, nil) }, "h", false},
		{"notice of an earlier process", []*protocol.Release{{Kind: answered, Leaving: true, Incarnation: 7}}, nil, "h", true},
		{"notice of a process that the holder doesn't know", []*protocol.Release{{Kind: answered, Leaving: true}}, nil, "h", false},
		{"turned away", []*protocol.Release{paused(shed, 2000)}, wait(time.Second), "h", false},
		{"turned away, returned grant", []*protocol.Release{paused(unused, 2000)}, wait(time.Second), "h", false},
		{"turned away, another holder", []*protocol.Release{paused(unused, 2000)}, wait(time.Second), "other", true},
		{"turned away, time is up", []*protocol.Release{paused(shed, 2000)}, wait(2 * time.Second), "h", true},
		{"turned away, registered again", []*protocol.Release{paused(shed, 2000)}, set(1), "h", false},
		{"turned away, next process", []*protocol.Release{paused(unused, 2000)}, set(2), "h", true},
		{"longer after shorter", []*protocol.Release{paused(unused, 1000), paused(unused, 3000)}, wait(2 * time.Second), "h", false},
		{"shorter after longer", []*protocol.Release{paused(unused, 3000), paused(unused, 1000)}, wait(2 * time.Second), "h", false},
		{"turned away for a day", []*protocol.Release{paused(unused, 24*time.Hour.Milliseconds())}, wait(time.Hour), "h", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cell := newTestCell(0, 0, nil)
			set(1)(cell)
			for _, release := range c.releases {
				ticket := cell.ticket(0, "w")
				cell.Submit(cell.now, "h", ticket)
				cell.Step(cell.now)
				release.RequestId, release.Engine = ticket.GetRequestId(), "e0"
				cell.Release(cell.now, "h", release)
				cell.Cancel(cell.now, "h", ticket.GetRequestId())
			}
			if c.then != nil {
				c.then(cell)
			}
			cell.Submit(cell.now, c.holder, cell.ticket(0, "w"))
			grants, _ := cell.step()
			assert.Equal(t, len(grants) == 1, c.granted)
		})
	}
}

// pause makes an engine want no requests from holder h for a time.
func (c *cell) pause(name string, d time.Duration) {
	c.engines.recordAsked(c.engines.byName[name], "h", &protocol.Release{PausedMs: d.Milliseconds()}, c.now)
}

// TestTurnedAwayHolder guards against a holder that engines have turned away holding up the tickets of others, against
// tickets that wait past their aim for the end of a pause, and against a refusal that names a time at which the engines
// still want no requests.
func TestTurnedAwayHolder(t *testing.T) {
	cases := []struct {
		name   string
		pauses map[string]time.Duration
		// granted is the engine of the holder's ticket, refused whether the ticket is refused, and wake the time until the
		// next step that is due.
		granted    string
		refused    bool
		retryAfter time.Duration
		wake       time.Duration
	}{
		{"one engine", map[string]time.Duration{"e0": time.Minute}, "e1", false, 0, 0},
		{"all, in time", map[string]time.Duration{"e0": 300 * time.Millisecond, "e1": 200 * time.Millisecond}, "", false, 0, 200 * time.Millisecond},
		{"all, one in time", map[string]time.Duration{"e0": 300 * time.Millisecond, "e1": time.Minute}, "", false, 0, 300 * time.Millisecond},
		{"all, too long", map[string]time.Duration{"e0": 9 * time.Second, "e1": 7 * time.Second}, "", true, 7 * time.Second, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cell := newTestCell(2, 1, nil)
			for name, d := range c.pauses {
				cell.pause(name, d)
			}
			ticket := cell.ticket(0, "w")
			ticket.StartMs, ticket.DeadlineMs = 2000, 10_000
			cell.Submit(cell.now, "h", ticket)
			cell.Submit(cell.now, "other", cell.ticket(0, "w"))
			decisions := cell.Step(cell.now)
			engines := map[string]string{}
			for _, d := range decisions {
				engines[d.Holder] = d.Grant.GetEngine()
				assert.Equal(t, d.Refusal != nil, c.refused && d.Holder == "h")
				if d.Refusal != nil {
					assert.Equal(t, time.Duration(d.Refusal.GetRetryAfterMs())*time.Millisecond, c.retryAfter)
				}
			}
			assert.Equal(t, engines["h"], c.granted)
			assert.Assert(t, engines["other"] != "", "the ticket of another holder waits")
			if c.wake > 0 {
				assert.Equal(t, cell.NextWake(cell.now).Sub(cell.now), c.wake)
				cell.now = cell.now.Add(c.wake)
				cell.Release(cell.now, "other", &protocol.Release{RequestId: "r2", Engine: engines["other"], Kind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED})
				grants, _ := cell.step()
				assert.Equal(t, len(grants), 1)
				assert.Equal(t, grants[0].GetRequestId(), ticket.GetRequestId())
			}
		})
	}
}
