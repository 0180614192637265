package experimenter

import (
	"fmt"
	"time"

	"coltsfootplank/internal/scheduler"
)

// prefixMix has prompts whose first halves are common to many requests; together they exceed one engine's cache.
var prefixMix = []kind{
	{name: "question", tier: 0, workspace: "phones", prompt: 2000, output: 60, share: 0.5, limit: 10 * time.Second, documents: 60},
	{name: "specification", tier: 1, workspace: "tooling", prompt: 4000, output: 200, share: 0.5, limit: time.Minute, documents: 200},
}

// measurePrefixes compares the prompt tokens that an engine computes although another has them in its cache, with late
// cache events of which a fifth is lost. At full load an engine is chosen from the few with a free slot.
func measurePrefixes(seed uint64) []Row {
	const length = 2 * time.Minute
	engines := pool(fast, slow)
	wasted := func(w *world) float64 { return float64(w.recomputed) / float64(w.prompts) }
	var rows []Row
	for _, load := range []float64{0.7, 1} {
		p := plan{seed: seed, engines: engines, settings: product(300), lag: time.Second, gaps: 0.2, length: length + 2*time.Minute,
			calls: arrivals(seed, prefixMix, load*capacity(engines, prefixMix), length, bursty)}
		own := run(p)
		for _, choice := range []string{scheduler.ChoiceRandom, scheduler.ChoiceLeastLoaded} {
			p.settings.EngineChoice = choice
			other := run(p)
			rows = append(rows,
				newRow(fmt.Sprintf("prefill that another engine had cached at load %g", load), "of prompt tokens", wasted(own),
					choice, wasted(other)).atMost(wasted(other)),
				newRow(fmt.Sprintf("goodput of tier 0 with shared prefixes at load %g", load), "share", own.goodput(0), choice,
					other.goodput(0)).atLeast(other.goodput(0)))
		}
		rows = append(rows, newRow(fmt.Sprintf("shed before a lower tier with shared prefixes at load %g", load), "tickets",
			float64(own.unordered), none, 0).atMost(0))
	}
	return rows
}
