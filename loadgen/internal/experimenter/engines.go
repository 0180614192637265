package experimenter

import (
	"time"

	"coltsfootplank/internal/scheduler"
)

// engineMix is the mix of the experiments on engine choice, poison requests and retries.
var engineMix = []workKind{
	{name: "question", tier: 0, workspace: "phones", promptTokens: 200, outputTokens: 40, requestShare: 0.7, limit: 4 * time.Second},
	{name: "brief", tier: 1, workspace: "forge", promptTokens: 1500, outputTokens: 300, requestShare: 0.3, limit: 20 * time.Second},
}

// measureEngines compares the engine choice with random and least-loaded choice on engines of three speeds, one of which
// is a straggler for the middle third of the arrivals.
func measureEngines(seed uint64) []Row {
	const load, duration = 0.7, 90 * time.Second
	engines := enginePool(fast, medium, slow)
	config := runConfig{seed: seed, engineKinds: engines,
		calls:    generateCalls(seed, engineMix, load*capacity(engines, engineMix), duration, burstyRate),
		settings: productSettings(0), reportLag: time.Second, duration: duration + 2*time.Minute,
		prepare: func(sim *simulation) {
			sim.at(duration/3, func() { sim.engines[0].speed = 0.2 })
			sim.at(2*duration/3, func() { sim.engines[0].speed = 1 })
		}}
	policy := run(config)
	var rows []Row
	for _, choice := range []string{scheduler.ChoiceRandom, scheduler.ChoiceLeastLoaded} {
		config.settings.EngineChoice = choice
		baseline := run(config)
		rows = append(rows,
			newRow("first token of tier 0 on unlike engines, p95", "s", policy.firstTokenP95(), choice, baseline.firstTokenP95()).atMost(0.36),
			newRow("goodput on unlike engines", "share", policy.goodput(-1), choice, baseline.goodput(-1)).atLeast(baseline.goodput(-1)))
	}
	return rows
}
