package experimenter

import (
	"math"
	"time"

	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/scheduler"
)

// Time span of the overload and of the load after it.
const retryOverload, retryAfterwards = 30 * time.Second, 4 * time.Minute

// retryRun has 30 s at three times the capacity, then load 0.6. Refused callers repeat up to ten times: after the
// Retry-After of the refusal, or after a fixed second.
func retryRun(seed uint64, obey bool) plan {
	engines := pool(fast, slow)
	rate := capacity(engines, engineMix)
	shape := func(at time.Duration) float64 {
		if at < retryOverload {
			return 3
		}
		return 0.6
	}
	mix := append([]kind(nil), engineMix...)
	for i := range mix {
		mix[i].limit = 5 * time.Minute
	}
	tries := make(map[uint64]int)
	return plan{seed: seed, engines: engines, calls: arrivals(seed, mix, rate, retryOverload+retryAfterwards, shape),
		settings: product(int(5 * rate)), lag: 500 * time.Millisecond, length: retryOverload + retryAfterwards,
		refused: func(w *world, c *call, refusal *protocol.Refusal) {
			if tries[c.fingerprint]++; tries[c.fingerprint] > 10 {
				return
			}
			delay := time.Second
			if obey {
				delay = time.Duration(refusal.RetryAfterMs) * time.Millisecond
			}
			w.retry(c, delay)
		},
	}
}

// drained is the time in seconds from the end of the overload until the queue stays below a twentieth of its bound.
func drained(p plan) (seconds float64, refusals int) {
	last := retryOverload
	p.prepare = func(w *world) {
		var sample func()
		sample = func() {
			queued := 0
			for _, n := range w.routers[0].queued {
				queued += n
			}
			if queued > p.settings.MaxQueue/20 {
				last = w.now
			}
			w.after(100*time.Millisecond, sample)
		}
		w.after(0, sample)
	}
	w := run(p)
	for _, c := range w.all {
		if c.refusal != "" {
			refusals++
		}
	}
	return math.Max(0, (last - retryOverload).Seconds()), refusals
}

// measureRetries compares the time until the queue is drained with callers and schedulers without restraint, and shows
// what each of the two parts does alone.
func measureRetries(seed uint64) []Row {
	without := func(s scheduler.Settings) scheduler.Settings {
		s.Retries.Burst, s.Retries.Ratio, s.Retries.PerSecond = 1e9, 1e9, 1e9
		return s
	}
	both := retryRun(seed, true)
	jitter := retryRun(seed, true)
	jitter.settings = without(jitter.settings)
	budget := retryRun(seed, false)
	neither := retryRun(seed, false)
	neither.settings = without(neither.settings)
	own, refusals := drained(both)
	base, baseRefusals := drained(neither)
	jitterOnly, _ := drained(jitter)
	budgetOnly, _ := drained(budget)
	const name = "queue drained after an overload of 30 s"
	return []Row{
		newRow(name, "s", own, "neither", base).atMost(base),
		newRow(name, "s", own, "Retry-After only", jitterOnly),
		newRow(name, "s", own, "retry budget only", budgetOnly),
		newRow("refusals of repeated requests", "refusals", float64(refusals), "neither", float64(baseRefusals)),
	}
}
