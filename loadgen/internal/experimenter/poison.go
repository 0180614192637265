package experimenter

import (
	"time"

	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/scheduler"
)

// poisonRepeats is the number of times that the caller retries the poison request.
const poisonRepeats = 20

// poisonConfig returns a run with healthy requests at load 0.7 and one poison request, which its caller retries after
// each loss or refusal. Callers of healthy requests retry lost requests until they are answered.
func poisonConfig(seed uint64) runConfig {
	const duration = 2 * time.Minute
	engines := enginePool(fast, slow)
	mix := engineMix
	calls := generateCalls(seed, mix, 0.7*capacity(engines, mix), duration, steadyRate)
	poison := *calls[len(calls)/10]
	poison.id, poison.fingerprint, poison.poison = "poison", 1<<50, true
	repeats := 0
	repeat := func(sim *simulation, c *call, delay time.Duration) {
		if c.poison {
			if repeats++; repeats > poisonRepeats {
				return
			}
		}
		sim.retry(c, delay)
	}
	settings := productSettings(0)
	// A large retry budget, because the default one would refuse the poison request as well and hide the effect of the
	// isolation.
	settings.Retries.Burst, settings.Retries.PerSecond = 1000, 1000
	return runConfig{seed: seed, engineKinds: engines, calls: append(calls, &poison), settings: settings,
		reportLag: 500 * time.Millisecond, duration: duration + 2*time.Minute,
		onLost: func(sim *simulation, c *call) { repeat(sim, c, time.Second) },
		onRefused: func(sim *simulation, c *call, _ *protocol.Refusal) {
			if c.poison {
				repeat(sim, c, time.Second)
			}
		},
	}
}

// measurePoison compares the crashes that a retried poison request causes with and without isolation. The isolation needs
// two crashes: the first makes the request a suspect, together with others on the engine; the second, while it runs
// alone, convicts it.
func measurePoison(seed uint64) []Row {
	config := poisonConfig(seed)
	policy := run(config)
	config = poisonConfig(seed)
	config.settings.Isolation.SuspectRetention, config.settings.Isolation.PoisonRetention = 0, 0
	baseline := run(config)
	return []Row{
		newRow("crashes by a request repeated 20 times", "crashes", policy.crashes(), "no isolation", baseline.crashes()).atMost(2),
		newRow("healthy requests held or refused as poison", "requests", policy.heldOrRefused(), "no isolation", baseline.heldOrRefused()).atMost(0),
		newRow("goodput beside a poison request", "share", policy.goodput(-1), "no isolation", baseline.goodput(-1)).atLeast(baseline.goodput(-1)),
	}
}

// crashes returns the number of crashes of all engines.
func (sim *simulation) crashes() float64 {
	sum := 0
	for _, e := range sim.engines {
		sum += e.crashes
	}
	return float64(sum)
}

// heldOrRefused returns the number of healthy requests that were neither answered nor refused, or that the isolation took
// for poison.
func (sim *simulation) heldOrRefused() float64 {
	sum := 0
	for _, c := range sim.allCalls {
		if !c.poison && (c.refusal == scheduler.CodePoison || c.doneAt == 0 && c.refusal == "") {
			sum++
		}
	}
	return float64(sum)
}
