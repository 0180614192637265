package extrapolator

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/scheduler"
)

const (
	// measuredDecisions is how many decisions are timed at each size.
	measuredDecisions = 20_000
	// slotsPerEngine is the number of requests in flight on an engine in these measurements.
	slotsPerEngine = 8
	// queuedTickets is the number of tickets in the queue during the measurement.
	queuedTickets = 2000
)

// schedulerBench drives a scheduler whose engines are all fully loaded. now is its simulated time.
type schedulerBench struct {
	*scheduler.Scheduler
	now  time.Time
	next int
}

func newSchedulerBench(engines int) *schedulerBench {
	settings := scheduler.DefaultSettings()
	settings.MaxQueue = 0
	bench := &schedulerBench{now: time.Now()}
	bench.Scheduler = scheduler.New("p", settings, zap.NewNop(), bench.now)
	infos := make([]scheduler.EngineInfo, engines)
	for i := range infos {
		infos[i] = scheduler.EngineInfo{
			Name: fmt.Sprintf("engine-%04d", i), Generation: fmt.Sprintf("g%d", i%3), Slots: slotsPerEngine,
			PrefillPerSec: 4000, TokensPerSec: 40,
		}
	}
	bench.SetEngines(bench.now, infos)
	return bench
}

// newTicket returns a ticket like those of the receiver for a prompt of about 500 tokens.
func newTicket(i int) *protocol.Ticket {
	prefixes := make([]uint64, 8)
	for j := range prefixes {
		// The multiplier sets high bits, as in a real hash, since the encoded size of a varint depends on them.
		prefixes[j] = uint64(i%500+1)*0x9e3779b97f4a7c15 + uint64(j)
	}
	return &protocol.Ticket{
		RequestId: fmt.Sprintf("01900000-0000-7000-8000-%012d", i), Pool: "p", Tier: uint32(i % 4),
		Workspace: fmt.Sprintf("workspace-%d", i%200), Work: "work", PromptTokens: 500, OutputTokens: 270,
		PrefixHashes: prefixes, DeadlineMs: 100_000_000, Fingerprint: uint64(i+1) * 0x9e3779b97f4a7c15, Attempt: 1,
	}
}

func (b *schedulerBench) submit() {
	b.Submit(b.now, "h", newTicket(b.next))
	b.next++
}

func (b *schedulerBench) step() []*protocol.Grant {
	var grants []*protocol.Grant
	for _, d := range b.Step(b.now) {
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

// schedulingResult is the result at one number of engines: CPU seconds and allocations of one decision, memory of one
// queued ticket and of all engines in bytes.
type schedulingResult struct {
	decisionCPU  float64
	allocs       float64
	ticketMemory float64
	engineMemory float64
}

func measureScheduling(engines int) (schedulingResult, error) {
	var result schedulingResult
	base := memoryInUse()
	bench := newSchedulerBench(engines)
	result.engineMemory = memoryInUse() - base
	for range engines * slotsPerEngine {
		bench.submit()
	}
	running := bench.step()
	if len(running) == 0 {
		return result, &UnexpectedError{Component: "scheduler", Detail: "no grant"}
	}
	base = memoryInUse()
	for range queuedTickets {
		bench.submit()
	}
	result.ticketMemory = (memoryInUse() - base) / queuedTickets
	bench.step()
	total, err := measureCost(func() error {
		for i := range measuredDecisions {
			bench.now = bench.now.Add(time.Millisecond)
			bench.Release(bench.now, "h", newRelease(running[i%len(running)]))
			bench.submit()
			if grants := bench.step(); len(grants) > 0 {
				running[i%len(running)] = grants[0]
			}
		}
		return nil
	})
	result.decisionCPU = total.cpu.Seconds() / measuredDecisions
	result.allocs = total.allocs / measuredDecisions
	return result, err
}
