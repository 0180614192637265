package experimenter

import "time"

// deadlineMix has answers that are worthless when late.
var deadlineMix = []kind{
	{name: "question", tier: 0, workspace: "phones", prompt: 1000, output: 40, share: 0.6, limit: 4 * time.Second},
	{name: "brief", tier: 1, workspace: "forge", prompt: 2000, output: 300, share: 0.4, limit: 20 * time.Second},
}

// measureDeadlines compares the prompt tokens computed for answers that come too late with a scheduler that doesn't see
// the deadlines.
func measureDeadlines(seed uint64) []Row {
	const load, length = 1.5, 2 * time.Minute
	engines := pool(fast, slow)
	rate := capacity(engines, deadlineMix)
	p := plan{seed: seed, engines: engines, calls: arrivals(seed, deadlineMix, load*rate, length, bursty),
		settings: product(int(60 * rate)), lag: 500 * time.Millisecond, length: length + 2*time.Minute}
	own := run(p)
	p.hideDeadlines = true
	blind := run(p)
	wasted := func(w *world) float64 {
		sum := 0
		for _, c := range w.all {
			if !c.good() {
				sum += c.computed
			}
		}
		return float64(sum)
	}
	base := wasted(blind)
	return []Row{
		newRow("prefill for answers past their deadline", "tokens", wasted(own), "deadlines hidden", base).atMost(base),
		newRow("goodput with deadlines at load 1.5", "share", own.goodput(-1), "deadlines hidden", blind.goodput(-1)).
			atLeast(blind.goodput(-1)),
	}
}
