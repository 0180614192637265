package experimenter

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coltsfootplank/internal/scheduler"
)

// goodput returns the share of a tier's requests that were answered completely and within their time limit. A
// negative tier selects all requests.
func (sim *simulation) goodput(tier int) float64 {
	good, total := 0, 0
	for _, c := range sim.allCalls {
		if tier < 0 || c.kind.tier == tier {
			total++
			if c.good() {
				good++
			}
		}
	}
	return float64(good) / float64(total)
}

// firstTokenP95 returns the 95th percentile of the time from arrival to the first token of the "question" requests, in
// seconds. A request without a first token counts as one hour, so that refusing requests doesn't improve the result.
func (sim *simulation) firstTokenP95() float64 {
	histogram := hdrhistogram.New(1, time.Hour.Microseconds(), 3)
	for _, c := range sim.allCalls {
		if c.kind.name != "question" {
			continue
		}
		wait := time.Hour
		if c.firstTokenAt > 0 {
			wait = c.firstTokenAt - c.arrivedAt
		}
		// The value is within the histogram's range.
		_ = histogram.RecordValue(wait.Microseconds())
	}
	return float64(histogram.ValueAtQuantile(95)) / float64(time.Second.Microseconds())
}

// productSettings returns the scheduler's default settings with the given bound on the queue.
func productSettings(maxQueue int) scheduler.Settings {
	s := scheduler.DefaultSettings()
	s.MaxQueue = maxQueue
	return s
}

// fifoSettings returns the settings of a plain first-in, first-out queue without tiers and without reserved slots.
func fifoSettings(maxQueue int) scheduler.Settings {
	s := productSettings(maxQueue)
	s.OrderPolicy, s.LongShare, s.UrgentReserve = scheduler.OrderFIFO, 1, 0
	return s
}

// enginePool returns twelve engines, in equal numbers of each of the given kinds.
func enginePool(kinds ...engineKind) []engineKind {
	engines := make([]engineKind, 0, 12)
	for len(engines) < cap(engines) {
		engines = append(engines, kinds...)
	}
	return engines
}
