package experimenter

import (
	"fmt"
	"runtime"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/scheduler"
)

// costDecisions is the number of timed decisions for each number of engines.
const costDecisions = 20000

// decisionCost returns the mean real time and allocations of one submission, decision and release while all slots are
// in use.
func decisionCost(seed uint64, engines int) (nanoseconds, allocations float64) {
	now := startTime
	settings := productSettings(0)
	settings.Seed = seed
	s := scheduler.New("briefs", settings, zap.NewNop(), now)
	infos := make([]scheduler.EngineInfo, engines)
	for i := range infos {
		infos[i] = scheduler.EngineInfo{Name: fmt.Sprintf("e%d", i), Generation: fmt.Sprint(i % 3), Slots: 8,
			PrefillPerSec: 4000, TokensPerSec: 40, KVTokens: 200000}
	}
	s.SetEngines(now, infos)
	next := 0
	submit := func() {
		next++
		s.Submit(now, "h", &protocol.Ticket{RequestId: fmt.Sprint(next), Tier: uint32(next % 4), Workspace: fmt.Sprint(next % 200),
			Work: "work", PromptTokens: 100, OutputTokens: 100, Fingerprint: uint64(next), DeadlineMs: 100_000_000,
			PrefixHashes: []uint64{uint64(next % 50), uint64(next%500) + 1000, uint64(next) + 10_000}})
	}
	const queued = 2000
	for range engines*8 + queued {
		submit()
	}
	running := s.Step(now)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := time.Now()
	for i := range costDecisions {
		now = now.Add(time.Millisecond)
		at := i % len(running)
		g := running[at].Grant
		s.Release(now, "h", &protocol.Release{RequestId: g.RequestId, Engine: g.Engine, PromptTokens: 100, OutputTokens: 100,
			Kind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED, FirstTokenMs: 25, TotalMs: 2525})
		submit()
		if granted := s.Step(now); len(granted) > 0 {
			running[at] = granted[0]
		}
	}
	elapsed := time.Since(start)
	runtime.ReadMemStats(&after)
	return float64(elapsed.Nanoseconds()) / costDecisions, float64(after.Mallocs-before.Mallocs) / costDecisions
}

// measureCost compares the cost of a decision at 100 and at 900 engines with the cost at 12 engines. It may grow by a
// factor of two at most.
func measureCost(seed uint64) []Row {
	const maxRatio = 2
	decisionCost(seed, 12) // Warm up; the result is discarded.
	baseline, baselineAllocations := decisionCost(seed, 12)
	var rows []Row
	for _, engines := range []int{100, 900} {
		ns, allocations := decisionCost(seed, engines)
		rows = append(rows,
			newRow(fmt.Sprintf("time of a decision at %d engines", engines), "ns", ns, "12 engines", baseline).ratioAtMost(maxRatio),
			newRow(fmt.Sprintf("allocations of a decision at %d engines", engines), "allocations", allocations, "12 engines",
				baselineAllocations).ratioAtMost(maxRatio))
	}
	return rows
}
