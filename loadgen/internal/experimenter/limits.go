package experimenter

import (
	"fmt"
	"time"

	"coltsfootplank/internal/cataloguer"
)

var limitMix = []workKind{{name: "limited", tier: 1, workspace: "tooling", promptTokens: 200, outputTokens: 100, requestShare: 1, limit: time.Hour}}

// The requests ask for several times the limits. They arrive until limitArrivalTime; in runs with a takeover, a new
// scheduler takes over at takeoverAt.
const (
	limitConcurrency     = 20
	limitTokensPerMinute = 60000
	limitArrivalTime     = 4 * time.Minute
	takeoverAt           = 2 * time.Minute
)

// limitUse records the requests in flight and the times of the grants of a run.
type limitUse struct {
	inFlight     int
	peakInFlight int
	grantedAt    []time.Duration
}

// peakTokens returns the largest number of tokens granted within any minute, relative to the limit. Each request is
// charged its 300 prompt and output tokens.
func (u *limitUse) peakTokens() float64 {
	largest, from := 0, 0
	for i, at := range u.grantedAt {
		for u.grantedAt[from] <= at-time.Minute {
			from++
		}
		largest = max(largest, i-from+1)
	}
	return float64(largest*(limitMix[0].promptTokens+limitMix[0].outputTokens)) / limitTokensPerMinute
}

// measureLimitUse runs requests that ask for several times a limit, with the given number of cells and optionally with a
// takeover by a new scheduler.
func measureLimitUse(seed uint64, limits cataloguer.Limits, cells int, takeover bool) *limitUse {
	use := &limitUse{}
	engines := enginePool(fast, slow)
	// Exact output lengths make the charge, which is based on estimates, equal to the actual use.
	calls := generateCalls(seed, limitMix, 25, limitArrivalTime, steadyRate)
	for _, c := range calls {
		c.outputTokens = c.kind.outputTokens
	}
	config := runConfig{seed: seed, engineKinds: engines, calls: calls, settings: productSettings(0),
		reportLag: 500 * time.Millisecond, duration: limitArrivalTime, cells: cells, works: map[string]cataloguer.Work{"limited": {Name: "limited", Limits: limits}},
		onGranted: func(sim *simulation, _ *call) {
			use.inFlight++
			use.peakInFlight = max(use.peakInFlight, use.inFlight)
			use.grantedAt = append(use.grantedAt, sim.now)
		},
		onRelease: func() { use.inFlight-- },
		prepare: func(sim *simulation) {
			if takeover {
				sim.at(takeoverAt, sim.takeover)
			}
		},
	}
	run(config)
	return use
}

// takeover replaces the only scheduler with a new one. Queued tickets are sent again to the new one. Granted requests
// continue to run, and their releases go to the old one.
func (sim *simulation) takeover() {
	old := sim.routers[0]
	sim.routers = nil
	successor := sim.addRouter(0)
	old.retired, old.successor = true, successor
	for _, c := range sim.allCalls {
		if c.queued {
			old.dequeue(c)
			c.router = successor
			sim.send(c)
		}
	}
}

// measureLimits compares the peak use with the limits: with one scheduler, with two cells, and with a takeover.
func measureLimits(seed uint64) []Row {
	const maxUse = 1.1
	var rows []Row
	for _, k := range []struct {
		name     string
		cells    int
		takeover bool
	}{{"one scheduler", 1, false}, {"two cells", 2, false}, {"a takeover", 1, true}} {
		concurrency := measureLimitUse(seed, cataloguer.Limits{Concurrency: limitConcurrency}, k.cells, k.takeover)
		tokens := measureLimitUse(seed, cataloguer.Limits{TokensPerMinute: limitTokensPerMinute}, k.cells, k.takeover)
		rows = append(rows,
			newRow(fmt.Sprintf("requests in flight with %s", k.name), "of the limit", float64(concurrency.peakInFlight)/limitConcurrency,
				"limit", 1).atMost(maxUse),
			newRow(fmt.Sprintf("tokens in any minute with %s", k.name), "of the limit", tokens.peakTokens(), "limit", 1).atMost(maxUse))
	}
	return rows
}
