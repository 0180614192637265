package experimenter

import (
	"time"

	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/scheduler"
)

// poisonRepeats is how often the caller of the poison request sends it again.
const poisonRepeats = 20

// poisonRun has healthy requests at load 0.7 and one poison request, whose caller repeats it after each failure.
// Callers of healthy requests repeat a lost one too, until it is answered.
func poisonRun(seed uint64) plan {
	const length = 2 * time.Minute
	engines := pool(fast, slow)
	mix := engineMix
	calls := arrivals(seed, mix, 0.7*capacity(engines, mix), length, steady)
	poison := *calls[len(calls)/10]
	poison.id, poison.fingerprint, poison.poison = "poison", 1<<50, true
	repeats := 0
	again := func(w *world, c *call, delay time.Duration) {
		if c.poison {
			if repeats++; repeats > poisonRepeats {
				return
			}
		}
		w.retry(c, delay)
	}
	settings := product(0)
	// The budget of retries would refuse the poison too, and hide what the isolation does.
	settings.Retries.Burst, settings.Retries.PerSecond = 1000, 1000
	return plan{seed: seed, engines: engines, calls: append(calls, &poison), settings: settings, lag: 500 * time.Millisecond,
		length: length + 2*time.Minute,
		lost:   func(w *world, c *call) { again(w, c, time.Second) },
		refused: func(w *world, c *call, _ *protocol.Refusal) {
			if c.poison {
				again(w, c, time.Second)
			}
		},
	}
}

// measurePoison compares the crashes that a repeated poison request causes with a scheduler without isolation. The
// isolation needs two: one among others makes it a suspect, one alone convicts it.
func measurePoison(seed uint64) []Row {
	p := poisonRun(seed)
	own := run(p)
	p = poisonRun(seed)
	p.settings.Isolation.SuspectRetention, p.settings.Isolation.PoisonRetention = 0, 0
	open := run(p)
	crashes := func(w *world) float64 {
		sum := 0
		for _, e := range w.engines {
			sum += e.crashes
		}
		return float64(sum)
	}
	// A healthy request is held if it has no end, and refused if the isolation says so.
	held := func(w *world) float64 {
		sum := 0
		for _, c := range w.all {
			if !c.poison && (c.refusal == scheduler.CodePoison || c.done == 0 && c.refusal == "") {
				sum++
			}
		}
		return float64(sum)
	}
	return []Row{
		newRow("crashes by a request repeated 20 times", "crashes", crashes(own), "no isolation", crashes(open)).atMost(2),
		newRow("healthy requests held or refused as poison", "requests", held(own), "no isolation", held(open)).atMost(0),
		newRow("goodput beside a poison request", "share", own.goodput(-1), "no isolation", open.goodput(-1)).atLeast(open.goodput(-1)),
	}
}
