package experimenter

import (
	"time"

	"coltsfootplank/internal/scheduler"
)

var engineMix = []kind{
	{name: "question", tier: 0, workspace: "phones", prompt: 200, output: 40, share: 0.7, limit: 4 * time.Second},
	{name: "brief", tier: 1, workspace: "forge", prompt: 1500, output: 300, share: 0.3, limit: 20 * time.Second},
}

// measureEngines compares the engine choice with the baselines on three speeds of engines, with a straggler for the
// middle third of the run.
func measureEngines(seed uint64) []Row {
	const load, length = 0.7, 90 * time.Second
	engines := pool(fast, medium, slow)
	p := plan{seed: seed, engines: engines, calls: arrivals(seed, engineMix, load*capacity(engines, engineMix), length, bursty),
		settings: product(0), lag: time.Second, length: length + 2*time.Minute,
		prepare: func(w *world) {
			w.at(length/3, func() { w.engines[0].speed = 0.2 })
			w.at(2*length/3, func() { w.engines[0].speed = 1 })
		}}
	own := run(p)
	var rows []Row
	for _, choice := range []string{scheduler.ChoiceRandom, scheduler.ChoiceLeastLoaded} {
		p.settings.EngineChoice = choice
		other := run(p)
		rows = append(rows,
			newRow("first token of tier 0 on unlike engines, p95", "s", own.firstToken(), choice, other.firstToken()).atMost(0.36),
			newRow("goodput on unlike engines", "share", own.goodput(-1), choice, other.goodput(-1)).atLeast(other.goodput(-1)))
	}
	return rows
}
