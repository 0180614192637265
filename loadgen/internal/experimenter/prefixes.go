package experimenter

import (
	"fmt"
	"time"

	"coltsfootplank/internal/scheduler"
)

// prefixMix has prompts whose first halves are shared by many requests. All prefixes together exceed one engine's cache.
var prefixMix = []workKind{
	{name: "question", tier: 0, workspace: "phones", promptTokens: 2000, outputTokens: 60, requestShare: 0.5, limit: 10 * time.Second, sharedPrefixes: 60},
	{name: "specification", tier: 1, workspace: "tooling", promptTokens: 4000, outputTokens: 200, requestShare: 0.5, limit: time.Minute, sharedPrefixes: 200},
}

// measurePrefixes compares the engine choice with random and least-loaded choice by the share of prompt tokens that an
// engine computes although another engine has them cached. Cache events arrive late, and a fifth of them is lost. At
// load 1 the scheduler can choose only among the few engines with a free slot.
func measurePrefixes(seed uint64) []Row {
	const duration = 2 * time.Minute
	engines := enginePool(fast, slow)
	wasted := func(sim *simulation) float64 { return float64(sim.recomputedTokens) / float64(sim.promptTokens) }
	var rows []Row
	for _, load := range []float64{0.7, 1} {
		config := runConfig{seed: seed, engineKinds: engines, settings: productSettings(300), reportLag: time.Second,
			eventLossRate: 0.2, duration: duration + 2*time.Minute,
			calls: generateCalls(seed, prefixMix, load*capacity(engines, prefixMix), duration, burstyRate)}
		policy := run(config)
		for _, choice := range []string{scheduler.ChoiceRandom, scheduler.ChoiceLeastLoaded} {
			config.settings.EngineChoice = choice
			baseline := run(config)
			rows = append(rows,
				newRow(fmt.Sprintf("prefill that another engine had cached at load %g", load), "of prompt tokens", wasted(policy),
					choice, wasted(baseline)).atMost(wasted(baseline)),
				newRow(fmt.Sprintf("goodput of tier 0 with shared prefixes at load %g", load), "share", policy.goodput(0), choice,
					baseline.goodput(0)).atLeast(baseline.goodput(0)))
		}
		rows = append(rows, newRow(fmt.Sprintf("shed before a lower tier with shared prefixes at load %g", load), "tickets",
			float64(policy.priorityInversions), none, 0).atMost(0))
	}
	return rows
}
