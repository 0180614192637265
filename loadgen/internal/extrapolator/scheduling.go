package extrapolator

import (
	"fmt"
	"time"

	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/scheduler"
)

const (
	// measuredDecisions is how many decisions are timed at each size.
	measuredDecisions = 20_000
	// slotsPerEngine is the number of requests in flight on an engine in these measurements.
	slotsPerEngine = 8
	// queuedTickets is the backlog during the measurement.
	queuedTickets = 2000
)

// cellBench drives a scheduler at saturation.
type cellBench struct {
	*scheduler.Scheduler
	now  time.Time
	next int
}

func newCellBench(engines int) *cellBench {
	settings := scheduler.DefaultSettings()
	settings.MaxQueue = 0
	c := &cellBench{now: time.Now()}
	c.Scheduler = scheduler.New("p", settings, c.now)
	infos := make([]scheduler.EngineInfo, engines)
	for i := range infos {
		infos[i] = scheduler.EngineInfo{
			Name: fmt.Sprintf("engine-%04d", i), Generation: fmt.Sprintf("g%d", i%3), Slots: slotsPerEngine,
			PrefillPerSec: 4000, TokensPerSec: 40,
		}
	}
	c.SetEngines(c.now, infos)
	return c
}

// newTicket returns a ticket as the receiver makes them for a prompt of some 500 tokens.
func newTicket(i int) *protocol.Ticket {
	prefixes := make([]uint64, 8)
	for j := range prefixes {
		// High bits set, as in a real hash: the size of a varint depends on them.
		prefixes[j] = uint64(i%500+1)*0x9e3779b97f4a7c15 + uint64(j)
	}
	return &protocol.Ticket{
		RequestId: fmt.Sprintf("01900000-0000-7000-8000-%012d", i), Pool: "p", Tier: uint32(i % 4),
		Workspace: fmt.Sprintf("workspace-%d", i%200), Work: "work", PromptTokens: 500, OutputTokens: 270,
		PrefixHashes: prefixes, DeadlineMs: 100_000_000, Fingerprint: uint64(i+1) * 0x9e3779b97f4a7c15, Attempt: 1,
	}
}

func (c *cellBench) submit() {
	c.Submit(c.now, "h", newTicket(c.next))
	c.next++
}

func (c *cellBench) step() []*protocol.Grant {
	var grants []*protocol.Grant
	for _, d := range c.Step(c.now) {
		if d.Grant != nil {
			grants = append(grants, d.Grant)
		}
	}
	return grants
}

func newRelease(g *protocol.Grant) *protocol.Release {
	return &protocol.Release{
		RequestId: g.GetRequestId(), Engine: g.GetEngine(), Kind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED,
		PromptTokens: 500, CachedTokens: 100, OutputTokens: 270, FirstTokenMs: 125, TotalMs: 7000, Fingerprint: 1,
		Pool: g.GetPool(), Cell: g.GetCell(), Attempt: g.GetAttempt(),
	}
}

// schedulingRun is the result at one number of engines. Times are in seconds, memory in bytes.
type schedulingRun struct {
	decision  float64
	allocs    float64
	perTicket float64
	engines   float64
}

func runScheduling(engines int) (schedulingRun, error) {
	var run schedulingRun
	base := memory()
	c := newCellBench(engines)
	run.engines = memory() - base
	for range engines * slotsPerEngine {
		c.submit()
	}
	running := c.step()
	if len(running) == 0 {
		return run, &UnexpectedError{Part: "scheduler", Detail: "no grant"}
	}
	base = memory()
	for range queuedTickets {
		c.submit()
	}
	run.perTicket = (memory() - base) / queuedTickets
	c.step()
	total, err := spent(func() error {
		for i := range measuredDecisions {
			c.now = c.now.Add(time.Millisecond)
			c.Release(c.now, "h", newRelease(running[i%len(running)]))
			c.submit()
			if grants := c.step(); len(grants) > 0 {
				running[i%len(running)] = grants[0]
			}
		}
		return nil
	})
	run.decision = total.cpu.Seconds() / measuredDecisions
	run.allocs = total.allocs / measuredDecisions
	return run, err
}
