package reporter

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coltsfootplank/loadgen/internal/sender"
	"coltsfootplank/loadgen/internal/statreader"
)

// Report is the result of one run.
type Report struct {
	Seed uint64 `json:"seed"`
	// Seconds is the time from the first arrival to the last answer.
	Seconds float64 `json:"seconds"`
	Sent    int     `json:"sent"`
	// Skipped counts requests that were not sent because too many were in flight.
	Skipped int    `json:"skipped"`
	Tiers   []Tier `json:"tiers"`
	Total   Tier   `json:"total"`
	// Lost counts accepted requests without a complete answer.
	Lost int `json:"lost"`
	// Duplicates counts streams and bookings that the platform stand-ins ran more than once.
	Duplicates int                 `json:"duplicates"`
	Examples   []Example           `json:"examples,omitempty"`
	Prefill    *statreader.Prefill `json:"prefill,omitempty"`
}

// Tier is the result of one tier. Goodput is the share of the tier's requests that were answered completely and within
// the limits.
type Tier struct {
	Tier             int            `json:"tier"`
	Requests         int            `json:"requests"`
	Good             int            `json:"good"`
	Late             int            `json:"late"`
	NotRun           int            `json:"not_run"`
	Unknown          int            `json:"unknown"`
	Failed           int            `json:"failed"`
	Truncated        int            `json:"truncated"`
	ConnectionLost   int            `json:"connection_lost"`
	Corrupt          int            `json:"corrupt"`
	Codes            map[string]int `json:"codes,omitempty"`
	Tokens           int            `json:"tokens"`
	Goodput          float64        `json:"goodput"`
	GoodputPerSecond float64        `json:"goodput_per_second"`
	FirstTokenMS     *Latency       `json:"first_token_ms,omitempty"`
	GapMS            *Latency       `json:"gap_ms,omitempty"`
	TotalMS          *Latency       `json:"total_ms,omitempty"`
}

// Latency summarises one histogram in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Report returns the report on the results that were collected in the given time.
func (c *Collector) Report(seed uint64, elapsed time.Duration) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := &Report{Seed: seed, Seconds: elapsed.Seconds(), Sent: c.sent, Skipped: c.skipped, Examples: c.examples}
	all := NewCollector().tiers[0]
	for i := range c.tiers {
		t := &c.tiers[i]
		if len(t.outcomes) == 0 {
			continue
		}
		report.Tiers = append(report.Tiers, t.summary(i, elapsed))
		all.merge(t)
	}
	report.Total = all.summary(-1, elapsed)
	report.Lost = all.lostCount()
	return report
}

func (t *tier) merge(other *tier) {
	for outcome, count := range other.outcomes {
		t.outcomes[outcome] += count
	}
	for code, count := range other.codes {
		t.codes[code] += count
	}
	t.tokens += other.tokens
	t.firstToken.Merge(other.firstToken)
	t.gap.Merge(other.gap)
	t.total.Merge(other.total)
}

func (t *tier) lostCount() int {
	lost := 0
	for outcome, count := range t.outcomes {
		if outcome.Lost() {
			lost += count
		}
	}
	return lost
}

func (t *tier) summary(number int, elapsed time.Duration) Tier {
	requests := 0
	for _, count := range t.outcomes {
		requests += count
	}
	good := t.outcomes[sender.Good]
	return Tier{
		Tier: number, Requests: requests, Good: good, Late: t.outcomes[sender.Late],
		NotRun: t.outcomes[sender.NotRun], Unknown: t.outcomes[sender.Unknown], Failed: t.outcomes[sender.Failed],
		Truncated: t.outcomes[sender.Truncated], ConnectionLost: t.outcomes[sender.ConnectionLost],
		Corrupt: t.outcomes[sender.Corrupt], Codes: t.codes, Tokens: t.tokens,
		Goodput:          float64(good) / float64(max(requests, 1)),
		GoodputPerSecond: float64(good) / max(elapsed.Seconds(), 1e-9),
		FirstTokenMS:     latency(t.firstToken), GapMS: latency(t.gap), TotalMS: latency(t.total),
	}
}

func latency(histogram *hdrhistogram.Histogram) *Latency {
	if histogram.TotalCount() == 0 {
		return nil
	}
	ms := func(microseconds int64) float64 { return float64(microseconds) / 1000 }
	return &Latency{
		P50: ms(histogram.ValueAtPercentile(50)), P95: ms(histogram.ValueAtPercentile(95)),
		P99: ms(histogram.ValueAtPercentile(99)), Max: ms(histogram.Max()),
	}
}
