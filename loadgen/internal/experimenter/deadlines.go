package experimenter

import "time"

// deadlineMix has kinds of work whose answers are useless after their time limit.
var deadlineMix = []workKind{
	{name: "question", tier: 0, workspace: "phones", promptTokens: 1000, outputTokens: 40, requestShare: 0.6, limit: 4 * time.Second},
	{name: "brief", tier: 1, workspace: "forge", promptTokens: 2000, outputTokens: 300, requestShare: 0.4, limit: 20 * time.Second},
}

// measureDeadlines compares the prompt tokens computed for requests that miss their time limit, and the goodput, with
// those of a scheduler that doesn't know the deadlines.
func measureDeadlines(seed uint64) []Row {
	const load, duration = 1.5, 2 * time.Minute
	engines := enginePool(fast, slow)
	rate := capacity(engines, deadlineMix)
	config := runConfig{seed: seed, engineKinds: engines, calls: generateCalls(seed, deadlineMix, load*rate, duration, burstyRate),
		settings: productSettings(int(60 * rate)), reportLag: 500 * time.Millisecond, duration: duration + 2*time.Minute}
	policy := run(config)
	config.hideDeadlines = true
	withoutDeadlines := run(config)
	wasted := func(sim *simulation) float64 {
		sum := 0
		for _, c := range sim.allCalls {
			if !c.good() {
				sum += c.computedTokens
			}
		}
		return float64(sum)
	}
	baseline := wasted(withoutDeadlines)
	return []Row{
		newRow("prefill for answers past their deadline", "tokens", wasted(policy), "deadlines hidden", baseline).atMost(baseline),
		newRow("goodput with deadlines at load 1.5", "share", policy.goodput(-1), "deadlines hidden", withoutDeadlines.goodput(-1)).
			atLeast(withoutDeadlines.goodput(-1)),
	}
}
