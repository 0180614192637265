package scheduler

import (
	"fmt"
	"math"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/protocol"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// cell is the scheduler of one cell, with test helpers and a clock of its own.
type cell struct {
	*Scheduler
	now         time.Time
	ticketCount int
}

// newTestCell returns a scheduler with n engines, named e0, e1 and so on, with the given number of slots each.
func newTestCell(n, slots int, change func(*Settings)) *cell {
	settings := DefaultSettings()
	settings.UrgentReserve = 0
	settings.LongShare = 1
	if change != nil {
		change(&settings)
	}
	c := &cell{Scheduler: New("briefs", settings, zap.NewNop(), start), now: start}
	infos := make([]EngineInfo, n)
	for i := range infos {
		infos[i] = EngineInfo{Name: fmt.Sprintf("e%d", i), Generation: fmt.Sprintf("g%d", i%3), Slots: slots,
			PrefillPerSec: 4000, TokensPerSec: 40}
	}
	c.SetEngines(start, infos)
	return c
}

// ticket returns a ticket of 100 prompt and 100 output tokens with a new request ID.
func (c *cell) ticket(tier uint32, workspace string) *protocol.Ticket {
	c.ticketCount++
	return &protocol.Ticket{RequestId: fmt.Sprintf("r%d", c.ticketCount), Pool: "briefs", Tier: tier, Workspace: workspace,
		Work: "work", PromptTokens: 100, OutputTokens: 100, Fingerprint: uint64(c.ticketCount)}
}

// submit queues n tickets and returns the last one.
func (c *cell) submit(n int, tier uint32, workspace string) *protocol.Ticket {
	var last *protocol.Ticket
	for range n {
		last = c.ticket(tier, workspace)
		c.Submit(c.now, "h", last)
	}
	return last
}

// step returns the grants and refusals that are due.
func (c *cell) step() (grants []*protocol.Grant, refusals []*protocol.Refusal) {
	for _, d := range c.Step(c.now) {
		if d.Grant != nil {
			grants = append(grants, d.Grant)
		}
		if d.Refusal != nil {
			refusals = append(refusals, d.Refusal)
		}
	}
	return grants, refusals
}

// answer releases a grant as answered, with the given lengths and the times of a normal run.
func (c *cell) answer(g *protocol.Grant, prompt, output uint32) {
	c.Release(c.now, "h", &protocol.Release{RequestId: g.RequestId, Engine: g.Engine,
		Kind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED, PromptTokens: prompt, OutputTokens: output,
		FirstTokenMs: int64(prompt) / 4, TotalMs: int64(prompt)/4 + int64(output)*25})
}

// finish releases a grant with the given kind.
func (c *cell) finish(g *protocol.Grant, kind protocol.ReleaseKind, fingerprint uint64) {
	c.Release(c.now, "h", &protocol.Release{RequestId: g.RequestId, Engine: g.Engine, Kind: kind,
		Fingerprint: fingerprint})
}

func ids[M interface{ GetRequestId() string }](messages []M) []string {
	out := make([]string, len(messages))
	for i, m := range messages {
		out[i] = m.GetRequestId()
	}
	return out
}

// within reports whether got differs from want by at most the given share of want.
func within(got, want, share float64) bool { return math.Abs(got-want) <= share*want }
