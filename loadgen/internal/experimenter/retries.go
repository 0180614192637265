package experimenter

import (
	"math"
	"time"

	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/scheduler"
)

// Durations of the overload and of the moderate load after it.
const retryOverloadTime, retryRecoveryTime = 30 * time.Second, 4 * time.Minute

// retryConfig returns a run with 30 s at three times the capacity of the engines, followed by 0.6 times the capacity.
// Callers retry a refused request up to ten times: after the Retry-After delay of the refusal if honourRetryAfter is set,
// otherwise after one second.
func retryConfig(seed uint64, honourRetryAfter bool) runConfig {
	engines := enginePool(fast, slow)
	rate := capacity(engines, engineMix)
	shape := func(at time.Duration) float64 {
		if at < retryOverloadTime {
			return 3
		}
		return 0.6
	}
	mix := append([]workKind(nil), engineMix...)
	for i := range mix {
		mix[i].limit = 5 * time.Minute
	}
	tries := make(map[uint64]int)
	return runConfig{seed: seed, engineKinds: engines,
		calls:    generateCalls(seed, mix, rate, retryOverloadTime+retryRecoveryTime, shape),
		settings: productSettings(int(5 * rate)), reportLag: 500 * time.Millisecond,
		duration: retryOverloadTime + retryRecoveryTime,
		onRefused: func(sim *simulation, c *call, refusal *protocol.Refusal) {
			if tries[c.fingerprint]++; tries[c.fingerprint] > 10 {
				return
			}
			delay := time.Second
			if honourRetryAfter {
				delay = time.Duration(refusal.RetryAfterMs) * time.Millisecond
			}
			sim.retry(c, delay)
		},
	}
}

// drainTime runs the configuration and returns the time from the end of the overload until the queue stays at or below
// a twentieth of its bound, and the number of refusals.
func drainTime(config runConfig) (seconds float64, refusals int) {
	last := retryOverloadTime
	config.prepare = func(sim *simulation) {
		var sample func()
		sample = func() {
			queued := 0
			for _, n := range sim.routers[0].queued {
				queued += n
			}
			if queued > config.settings.MaxQueue/20 {
				last = sim.now
			}
			sim.after(100*time.Millisecond, sample)
		}
		sim.after(0, sample)
	}
	sim := run(config)
	for _, c := range sim.allCalls {
		if c.refusal != "" {
			refusals++
		}
	}
	return math.Max(0, (last - retryOverloadTime).Seconds()), refusals
}

// measureRetries compares the time until the queue has drained with and without the two limits on retries: callers that
// obey Retry-After, and the scheduler's retry budget. It also measures each of the two alone.
func measureRetries(seed uint64) []Row {
	withoutRetryBudget := func(s scheduler.Settings) scheduler.Settings {
		s.Retries.Burst, s.Retries.Ratio, s.Retries.PerSecond = 1e9, 1e9, 1e9
		return s
	}
	both := retryConfig(seed, true)
	retryAfterOnly := retryConfig(seed, true)
	retryAfterOnly.settings = withoutRetryBudget(retryAfterOnly.settings)
	budgetOnly := retryConfig(seed, false)
	neither := retryConfig(seed, false)
	neither.settings = withoutRetryBudget(neither.settings)
	policy, refusals := drainTime(both)
	baseline, baselineRefusals := drainTime(neither)
	retryAfterOnlyTime, _ := drainTime(retryAfterOnly)
	budgetOnlyTime, _ := drainTime(budgetOnly)
	const name = "queue drained after an overload of 30 s"
	return []Row{
		newRow(name, "s", policy, "neither", baseline).atMost(baseline),
		newRow(name, "s", policy, "Retry-After only", retryAfterOnlyTime),
		newRow(name, "s", policy, "retry budget only", budgetOnlyTime),
		newRow("refusals of repeated requests", "refusals", float64(refusals), "neither", float64(baselineRefusals)),
	}
}
