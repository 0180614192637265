package experimenter

import (
	"fmt"
	"time"
)

// tierMix has one kind of work in each tier. Tier 0 is about a tenth of the work, so that the engines can answer all of
// it even at three times their capacity.
var tierMix = []workKind{
	{name: "question", tier: 0, workspace: "phones", promptTokens: 200, outputTokens: 40, requestShare: 0.4, limit: 5 * time.Second},
	{name: "brief", tier: 1, workspace: "forge", promptTokens: 600, outputTokens: 300, requestShare: 0.25, limit: 40 * time.Second},
	{name: "draft", tier: 2, workspace: "drawing", promptTokens: 1000, outputTokens: 1200, requestShare: 0.05, limit: 2 * time.Minute},
	{name: "tags", tier: 3, workspace: "archive", promptTokens: 800, outputTokens: 60, requestShare: 0.3, limit: time.Minute},
}

// tierConfig returns a run with 60 s of bursty arrivals, a straggler in the middle and late load reports. The queue holds
// about 10 s of work.
func tierConfig(seed uint64, load float64) runConfig {
	const duration = time.Minute
	engines := enginePool(fast, slow)
	rate := capacity(engines, tierMix)
	return runConfig{
		seed: seed, engineKinds: engines, calls: generateCalls(seed, tierMix, load*rate, duration, burstyRate),
		settings: productSettings(int(10 * rate)), reportLag: 1500 * time.Millisecond, duration: duration + 2*time.Minute,
		prepare: func(sim *simulation) {
			sim.at(20*time.Second, func() { sim.engines[0].speed = 0.2 })
			sim.at(40*time.Second, func() { sim.engines[0].speed = 1 })
		},
	}
}

// measureTiers compares the goodput of each tier with that of a FIFO queue and with that of three routers that schedule
// independently.
func measureTiers(seed uint64) []Row {
	lowLoad := tierConfig(seed, 0.2)
	lowLoad.prepare = nil
	lowLoadGoodput := run(lowLoad).goodput(0)
	var rows []Row
	for _, load := range []float64{0.7, 1.5, 3} {
		config := tierConfig(seed, load)
		policy := run(config)
		maxQueue := config.settings.MaxQueue
		config.independentRouters, config.settings = 3, productSettings(maxQueue/3)
		independent := run(config)
		config.independentRouters, config.settings = 0, fifoSettings(maxQueue)
		baseline := run(config)
		for tier := range 4 {
			name := fmt.Sprintf("goodput of tier %d at load %g", tier, load)
			row := newRow(name, "share", policy.goodput(tier), "fifo", baseline.goodput(tier))
			if tier == 0 && load == 3 {
				row = row.atLeast(0.99 * lowLoadGoodput)
			}
			rows = append(rows, row, newRow(name, "share", policy.goodput(tier), "3 routers alone", independent.goodput(tier)))
		}
		rows = append(rows, newRow(fmt.Sprintf("shed before a lower tier at load %g", load), "tickets",
			float64(policy.priorityInversions), "fifo", float64(baseline.priorityInversions)).atMost(0))
	}
	return rows
}
