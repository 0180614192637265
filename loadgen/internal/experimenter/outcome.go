package experimenter

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coltsfootplank/internal/scheduler"
)

// goodput is the share of a tier's requests whose answers were whole and within their limits; tier -1 means all.
func (w *world) goodput(tier int) float64 {
	good, sum := 0, 0
	for _, c := range w.all {
		if tier < 0 || c.kind.tier == tier {
			sum++
			if c.good() {
				good++
			}
		}
	}
	return float64(good) / float64(sum)
}

// firstToken is the 95th percentile of the time from arrival to first token of the quick questions, in seconds. A
// request without a first token counts as the longest wait, so that a policy gains nothing by a refusal.
func (w *world) firstToken() float64 {
	histogram := hdrhistogram.New(1, time.Hour.Microseconds(), 3)
	for _, c := range w.all {
		if c.kind.name != "question" {
			continue
		}
		wait := time.Hour
		if c.first > 0 {
			wait = c.first - c.arrived
		}
		// The value is within the histogram's range.
		_ = histogram.RecordValue(wait.Microseconds())
	}
	return float64(histogram.ValueAtQuantile(95)) / float64(time.Second.Microseconds())
}

// product returns the product's settings with a bound on the queue.
func product(maxQueue int) scheduler.Settings {
	s := scheduler.DefaultSettings()
	s.MaxQueue = maxQueue
	return s
}

// fifo returns the settings of a plain first come, first served queue: no tiers, no slots set aside.
func fifo(maxQueue int) scheduler.Settings {
	s := product(maxQueue)
	s.OrderPolicy, s.LongShare, s.UrgentReserve = scheduler.OrderFIFO, 1, 0
	return s
}

// pool is the engine mix of the runs: twelve engines of two generations.
func pool(kinds ...engineKind) []engineKind {
	engines := make([]engineKind, 0, 12)
	for len(engines) < cap(engines) {
		engines = append(engines, kinds...)
	}
	return engines
}
