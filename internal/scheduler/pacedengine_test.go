package scheduler

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/pacer"
)

// newPacedCell returns a cell with the pace on, three engines of 6 slots that have long been running, and one, "new", that
// has just started.
func newPacedCell() *cell {
	c := newTestCell(0, 0, func(s *Settings) { s.Pace = true })
	c.setPacedEngines(0, 0)
	return c
}

// setPacedEngines sets the engines. process distinguishes the processes of the new engine.
func (c *cell) setPacedEngines(process int64, cold time.Duration) {
	infos := []EngineInfo{{Name: "new", Slots: 6, Incarnation: start.UnixMilli() + process, ColdRemaining: cold}}
	for i := range 3 {
		infos = append(infos, EngineInfo{Name: fmt.Sprint("old", i), Slots: 6, Incarnation: start.Add(-time.Hour).UnixMilli()})
	}
	c.SetEngines(c.now, infos)
}

func (c *cell) inFlight(engine string) int { return len(c.engines.byName[engine].granted) }

// TestPacedEngine guards against a window that isn't applied, that a new scheduler or a share of the capacity changes too
// much, and against an urgent request as the first one of an untried engine.
func TestPacedEngine(t *testing.T) {
	submit := func(n int, tier uint32) func(*cell) {
		return func(c *cell) { c.submit(n, tier, "a") }
	}
	adopt := func(n int) func(*cell) {
		return func(c *cell) {
			for range n {
				c.Adopt(c.now, "h", c.ticket(1, "a"), "new", time.Second)
			}
		}
	}
	cases := []struct {
		name  string
		steps []func(*cell)
		// want is the number of requests in flight on the new engine.
		want int
	}{
		{"more tickets than slots", []func(*cell){submit(99, 1)}, 2},
		{"announced as cold", []func(*cell){func(c *cell) {
			*c = *newTestCell(0, 0, func(s *Settings) { s.Pace = true })
			c.setPacedEngines(0, time.Minute)
		}, submit(99, 1)}, 1},
		{"part of the capacity", []func(*cell){func(c *cell) { c.SetCapacityShare(0.5) }, submit(99, 1)}, 1},
		{"requests of the predecessor", []func(*cell){adopt(3), submit(99, 1)}, 3},
		{"urgent tickets", []func(*cell){submit(18, 0)}, 0},
		{"urgent tickets without room elsewhere", []func(*cell){submit(19, 0)}, 1},
		{"other tickets", []func(*cell){submit(1, 1)}, 1},
		{"registered again by another process", []func(*cell){
			func(c *cell) { c.engines.byName["new"].pace = pacer.Window{} },
			func(c *cell) { c.setPacedEngines(1, 0) },
			submit(99, 1),
		}, 2},
	}
	for _, k := range cases {
		c := newPacedCell()
		for _, step := range k.steps {
			step(c)
		}
		c.step()
		assert.Equal(t, c.inFlight("new"), k.want, k.name)
	}
}

// TestPacedPrompts guards against several long prompts at once on an engine that hasn't been tried, and against one that
// no longer takes short ones because a long one waits.
func TestPacedPrompts(t *testing.T) {
	c := newPacedCell()
	for range 60 {
		c.submit(1, 0, "a")
		grants, _ := c.step()
		c.now = c.now.Add(time.Second)
		c.answer(grants[0], 100, 100)
	}
	c.submit(18, 0, "a")
	c.step()
	submit := func(prompt uint32) string {
		ticket := c.ticket(1, "a")
		ticket.PromptTokens = prompt
		c.Submit(c.now, "h", ticket)
		return ticket.RequestId
	}
	first, second := submit(180), submit(180)
	grants, _ := c.step()
	assert.DeepEqual(t, ids(grants), []string{first})
	assert.Equal(t, c.waitReason(c.requests[second]), blockPace)
	short := submit(10)
	grants, _ = c.step()
	assert.DeepEqual(t, ids(grants), []string{short})
	// The answer in time opens the window.
	c.answer(grants[0], 10, 10)
	grants, _ = c.step()
	assert.DeepEqual(t, ids(grants), []string{second})
}

// TestPaceLog guards against a log line for each engine of a large pool that starts at once, and against changes that
// aren't logged at all.
func TestPaceLog(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	settings := DefaultSettings()
	settings.Pace = true
	c := &cell{Scheduler: New("briefs", settings, zap.New(core), start), now: start}
	for second := range 3 {
		c.now = start.Add(time.Duration(second) * time.Second)
		infos := make([]EngineInfo, 20)
		for i := range infos {
			infos[i] = EngineInfo{Name: fmt.Sprintf("e%d-%d", second, i), Slots: 6, Incarnation: c.now.UnixMilli()}
		}
		c.SetEngines(c.now, infos)
		c.step()
	}
	found := lines.FilterMessage("engine paced")
	assert.Equal(t, found.Len(), 3*paceLogLines)
	assert.Equal(t, found.All()[paceLogLines].ContextMap()["omitted"], int64(15))
	assert.Equal(t, found.All()[0].ContextMap()["change"], "began")
	assert.Equal(t, c.Dump().Engines[0].Window, 2)
}
