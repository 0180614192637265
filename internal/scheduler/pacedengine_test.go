package scheduler

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/pacer"
	"coltsfootplank/internal/protocol"
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
			var last string
			for range n + 1 {
				ticket := c.ticket(1, "a")
				last = ticket.RequestId
				c.Adopt(c.now, "h", ticket, "new", time.Second)
			}
			c.Cancel(c.now, "h", last)
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
		{"requests of the predecessor", []func(*cell){adopt(3), submit(99, 1)}, 4},
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

// TestPaceOfAnswers guards against a window that answers, failures and losses don't change, and against one that closes
// because the whole pool is slow.
func TestPaceOfAnswers(t *testing.T) {
	// grant brings a request to an engine, and end ends it after a time. An engine with a request in flight has others too.
	grant := func(c *cell, engine string) *protocol.Grant {
		ticket := c.ticket(1, "a")
		c.Adopt(c.now, "h", ticket, engine, 0)
		return &protocol.Grant{RequestId: ticket.RequestId, Engine: engine}
	}
	end := func(kind protocol.ReleaseKind, engine string, total time.Duration, n int) func(*cell) {
		return func(c *cell) {
			for range n {
				g := grant(c, engine)
				c.now = c.now.Add(total)
				c.Release(c.now, "h", &protocol.Release{RequestId: g.RequestId, Engine: engine, Kind: kind, TotalMs: total.Milliseconds()})
			}
		}
	}
	answered, failed := protocol.ReleaseKind_RELEASE_KIND_ANSWERED, protocol.ReleaseKind_RELEASE_KIND_FAILED
	usual, slow := 100*time.Millisecond, 400*time.Millisecond
	cases := []struct {
		name   string
		steps  []func(*cell)
		window int
		usable bool
	}{
		{"in time", []func(*cell){end(answered, "new", usual, 1)}, 4, true},
		{"late", []func(*cell){end(answered, "new", usual, 1), end(answered, "new", slow, 1)}, 3, true},
		{"failed", []func(*cell){end(answered, "new", usual, 1), end(failed, "new", usual, 1)}, 2, true},
		{"lost", []func(*cell){end(answered, "new", usual, 1), end(lost, "new", usual, 1)}, 2, true},
		{"late alone", []func(*cell){end(answered, "new", slow, 2)}, 1, false},
		{"used again after the pause", []func(*cell){end(answered, "new", slow, 2), end(answered, "old1", usual, 2)}, 1, true},
		{"as slow as the others", []func(*cell){end(answered, "old0", slow, 10), end(answered, "new", slow, 3)}, 6, true},
		{"most of the pool late", []func(*cell){end(answered, "old0", slow, 7), end(answered, "new", slow, 3)}, 2, true},
		{"another engine failed at its first request", []func(*cell){end(failed, "new", usual, 1), func(c *cell) {
			c.setPacedEngines(1, 0)
		}}, 1, true},
	}
	for _, k := range cases {
		c := newPacedCell()
		end(answered, "old0", usual, 20)(c)
		for _, step := range k.steps {
			step(c)
			c.step()
		}
		e := c.engines.byName["new"]
		assert.Equal(t, e.pace.Requests(), k.window, k.name)
		assert.Equal(t, e.usable(), k.usable, k.name)
	}
}

// TestPaceOfTokens guards against long answers and prompts that are taken for late ones, and against slow ones that aren't.
func TestPaceOfTokens(t *testing.T) {
	cases := []struct {
		name           string
		prompt, output uint32
		slowness       int64
		want           int
	}{
		{"usual", 100, 100, 1, 4},
		{"long answer", 100, 1000, 1, 4},
		{"long prompt", 8000, 10, 1, 4},
		{"slow answer", 100, 100, 3, 1},
		{"slow prompt", 8000, 10, 3, 1},
	}
	for _, k := range cases {
		c := newPacedCell()
		run := func(engine string, prompt, output uint32, slowness int64) {
			ticket := c.ticket(1, "a")
			c.Adopt(c.now, "h", ticket, engine, 0)
			firstToken, decode := slowness*int64(prompt)/4, slowness*int64(output)*25
			c.now = c.now.Add(time.Duration(firstToken+decode) * time.Millisecond)
			c.Release(c.now, "h", &protocol.Release{RequestId: ticket.RequestId, Engine: engine,
				Kind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED, PromptTokens: prompt, OutputTokens: output,
				FirstTokenMs: firstToken, TotalMs: firstToken + decode})
			c.step()
		}
		for range 20 {
			run("old0", 100, 100, 1)
		}
		run("new", k.prompt, k.output, k.slowness)
		assert.Equal(t, c.engines.byName["new"].pace.Requests(), k.want, k.name)
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
	for half := range 6 {
		c.now = start.Add(time.Duration(half) * time.Second / 2)
		infos := make([]EngineInfo, 10)
		for i := range infos {
			infos[i] = EngineInfo{Name: fmt.Sprintf("e%d-%d", half, i), Slots: 6, Incarnation: c.now.UnixMilli()}
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
