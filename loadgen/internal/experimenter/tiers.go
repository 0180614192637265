package experimenter

import (
	"fmt"
	"time"
)

// tierMix is a mix of all tiers. The work of tier 0 is about a tenth of the whole, so that it fits into the engines at
// three times their capacity.
var tierMix = []kind{
	{name: "question", tier: 0, workspace: "phones", prompt: 200, output: 40, share: 0.4, limit: 5 * time.Second},
	{name: "brief", tier: 1, workspace: "forge", prompt: 600, output: 300, share: 0.25, limit: 40 * time.Second},
	{name: "draft", tier: 2, workspace: "drawing", prompt: 1000, output: 1200, share: 0.05, limit: 2 * time.Minute},
	{name: "tags", tier: 3, workspace: "archive", prompt: 800, output: 60, share: 0.3, limit: time.Minute},
}

// tierRun is 60 s of load in bursts with a straggler in the middle and stale reports. The queue holds about 10 s of
// work.
func tierRun(seed uint64, load float64) plan {
	const length = time.Minute
	engines := pool(fast, slow)
	rate := capacity(engines, tierMix)
	return plan{
		seed: seed, engines: engines, calls: arrivals(seed, tierMix, load*rate, length, bursty),
		settings: product(int(10 * rate)), lag: 1500 * time.Millisecond, length: length + 2*time.Minute,
		prepare: func(w *world) {
			w.at(20*time.Second, func() { w.engines[0].speed = 0.2 })
			w.at(40*time.Second, func() { w.engines[0].speed = 1 })
		},
	}
}

// measureTiers compares goodput by tier with FIFO and with three routers that schedule alone.
func measureTiers(seed uint64) []Row {
	calm := tierRun(seed, 0.2)
	calm.prepare = nil
	unloaded := run(calm).goodput(0)
	var rows []Row
	for _, load := range []float64{0.7, 1.5, 3} {
		p := tierRun(seed, load)
		own := run(p)
		maxQueue := p.settings.MaxQueue
		p.alone, p.settings = 3, product(maxQueue/3)
		alone := run(p)
		p.alone, p.settings = 0, fifo(maxQueue)
		plain := run(p)
		for tier := range 4 {
			name := fmt.Sprintf("goodput of tier %d at load %g", tier, load)
			row := newRow(name, "share", own.goodput(tier), "fifo", plain.goodput(tier))
			if tier == 0 && load == 3 {
				row = row.atLeast(0.99 * unloaded)
			}
			rows = append(rows, row, newRow(name, "share", own.goodput(tier), "3 routers alone", alone.goodput(tier)))
		}
		rows = append(rows, newRow(fmt.Sprintf("shed before a lower tier at load %g", load), "tickets",
			float64(own.unordered), "fifo", float64(plain.unordered)).atMost(0))
	}
	return rows
}
