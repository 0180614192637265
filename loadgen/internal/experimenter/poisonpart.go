package experimenter

import "time"

const (
	// poisonPartInterval is the number of requests of which one has the poison part.
	poisonPartInterval = 50
	// firstParts is the number of different first parts of prompts, which the requests with the poison part have too.
	firstParts = 3
	// maxPartCrashes is the number of crashes in which a poison part has to be found: five, and three more requests that
	// are on their way or not yet refused.
	maxPartCrashes = 8
	poisonPart     = 1 << 50
)

// poisonPartConfig returns a run with healthy requests at load 0.7, of which some are replaced by unlike requests with one
// part in their prompts that crashes engines. Callers retry lost healthy requests until they are answered.
func poisonPartConfig(seed uint64) runConfig {
	const duration = 2 * time.Minute
	engines := enginePool(fast, slow)
	mix := engineMix
	calls := generateCalls(seed, mix, 0.7*capacity(engines, mix), duration, steadyRate)
	for n, c := range calls {
		first, own := uint64(1<<40+n%firstParts), uint64(1<<41+n)
		c.hashes = []uint64{first, own}
		if n%poisonPartInterval == 0 && n > len(calls)/10 {
			c.hashes, c.poison = []uint64{first, poisonPart, own}, true
		}
	}
	return runConfig{seed: seed, engineKinds: engines, calls: calls, settings: productSettings(0),
		reportLag: 500 * time.Millisecond, duration: duration + 2*time.Minute,
		onLost: func(sim *simulation, c *call) {
			if !c.poison {
				sim.retry(c, time.Second)
			}
		},
	}
}

// measurePoisonPart compares the crashes that unlike requests with a part in common cause with and without a search for
// such parts.
func measurePoisonPart(seed uint64) []Row {
	policy := run(poisonPartConfig(seed))
	config := poisonPartConfig(seed)
	config.settings.Isolation.PartCrashLimit = 0
	baseline := run(config)
	return []Row{
		newRow("crashes by unlike requests with a part in common", "crashes", policy.crashes(), "whole requests only", baseline.crashes()).
			atMost(maxPartCrashes),
		newRow("healthy requests held or refused beside a poison part", "requests", policy.heldOrRefused(), "whole requests only",
			baseline.heldOrRefused()).atMost(0),
		newRow("goodput beside a poison part", "share", policy.goodput(-1), "whole requests only", baseline.goodput(-1)).
			atLeast(baseline.goodput(-1)),
	}
}
