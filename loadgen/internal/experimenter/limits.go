package experimenter

import (
	"fmt"
	"time"

	"coltsfootplank/internal/cataloguer"
)

var limitMix = []kind{{name: "limited", tier: 1, workspace: "tooling", prompt: 200, output: 100, share: 1, limit: time.Hour}}

// Limits of the entry; each is a tenth of what is asked for or less.
const (
	limitConcurrency     = 20
	limitTokensPerMinute = 60000
	limitTime            = 4 * time.Minute
	takeoverAt           = 2 * time.Minute
)

// limitUse is the highest use of a run: requests in flight at a time, and tokens admitted in any minute by the charge
// of 300 tokens for each request, relative to the limits.
type limitUse struct {
	inFlight int
	peak     int
	granted  []time.Duration
}

func (u *limitUse) tokens() float64 {
	worst, from := 0, 0
	for i, at := range u.granted {
		for u.granted[from] <= at-time.Minute {
			from++
		}
		worst = max(worst, i-from+1)
	}
	return float64(worst*(limitMix[0].prompt+limitMix[0].output)) / limitTokensPerMinute
}

// limitRun asks for several times a limit, in one or more cells, and with a second scheduler that takes over.
func limitRun(seed uint64, limits cataloguer.Limits, cells int, takeover bool) *limitUse {
	use := &limitUse{}
	engines := pool(fast, slow)
	// Exact lengths, so that the charge by estimate is the use.
	calls := arrivals(seed, limitMix, 25, limitTime, steady)
	for _, c := range calls {
		c.output = c.kind.output
	}
	p := plan{seed: seed, engines: engines, calls: calls, settings: product(0), lag: 500 * time.Millisecond,
		length: limitTime, cells: cells, works: map[string]cataloguer.Work{"limited": {Name: "limited", Limits: limits}},
		granted: func(w *world, _ *call) {
			use.inFlight++
			use.peak = max(use.peak, use.inFlight)
			use.granted = append(use.granted, w.now)
		},
		ended: func() { use.inFlight-- },
		prepare: func(w *world) {
			if takeover {
				w.at(takeoverAt, w.takeover)
			}
		},
	}
	run(p)
	return use
}

// takeover replaces the only scheduler by a new one. Its tickets are sent again; grants run on, and their releases go
// to the old one.
func (w *world) takeover() {
	old := w.routers[0]
	w.routers = nil
	fresh := w.addRouter(0)
	old.retired, old.next = true, fresh
	for _, c := range w.all {
		if c.queued {
			old.dequeue(c)
			c.router = fresh
			w.send(c)
		}
	}
}

// measureLimits compares the highest use with the limits: one scheduler, two cells, and during a takeover.
func measureLimits(seed uint64) []Row {
	const most = 1.1
	var rows []Row
	for _, k := range []struct {
		name     string
		cells    int
		takeover bool
	}{{"one scheduler", 1, false}, {"two cells", 2, false}, {"a takeover", 1, true}} {
		concurrency := limitRun(seed, cataloguer.Limits{Concurrency: limitConcurrency}, k.cells, k.takeover)
		tokens := limitRun(seed, cataloguer.Limits{TokensPerMinute: limitTokensPerMinute}, k.cells, k.takeover)
		rows = append(rows,
			newRow(fmt.Sprintf("requests in flight with %s", k.name), "of the limit", float64(concurrency.peak)/limitConcurrency,
				"limit", 1).atMost(most),
			newRow(fmt.Sprintf("tokens in any minute with %s", k.name), "of the limit", tokens.tokens(), "limit", 1).atMost(most))
	}
	return rows
}
