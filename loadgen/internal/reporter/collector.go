// Package reporter collects the results of requests by tier and prints them as a report.
package reporter

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coltsfootplank/loadgen/internal/sender"
)

// tierCount is the number of tiers that a catalogue can have.
const tierCount = 4

// maxExamples is the largest number of lost answers that a report describes.
const maxExamples = 10

// Collector counts results. Its methods may be called concurrently.
type Collector struct {
	mu       sync.Mutex
	tiers    [tierCount]tier
	sent     int
	skipped  int
	examples []Example
}

// Example describes one lost answer, so that its request can be found in the routers' logs.
type Example struct {
	Tier      int            `json:"tier"`
	Outcome   sender.Outcome `json:"outcome"`
	Code      string         `json:"code,omitempty"`
	RequestID string         `json:"request_id,omitempty"`
	Detail    string         `json:"detail,omitempty"`
}

type tier struct {
	outcomes map[sender.Outcome]int
	codes    map[string]int
	tokens   int
	// The histograms are in microseconds.
	firstToken, gap, total *hdrhistogram.Histogram
}

// NewCollector returns a collector without results.
func NewCollector() *Collector {
	c := &Collector{}
	for i := range c.tiers {
		c.tiers[i] = tier{outcomes: make(map[sender.Outcome]int), codes: make(map[string]int),
			firstToken: newHistogram(), gap: newHistogram(), total: newHistogram()}
	}
	return c
}

func newHistogram() *hdrhistogram.Histogram {
	const (
		highest           = int64(time.Hour / time.Microsecond)
		significantDigits = 3
	)
	return hdrhistogram.New(1, highest, significantDigits)
}

// record adds a latency to the histogram. A latency above the range is recorded as the highest value.
func record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	value := min(max(latency.Microseconds(), 1), histogram.HighestTrackableValue())
	// RecordValue fails only for values out of range.
	_ = histogram.RecordValue(value)
}

// Sent counts a request that is about to be sent.
func (c *Collector) Sent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
}

// Skipped counts a request that was not sent because too many were in flight.
func (c *Collector) Skipped() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.skipped++
}

// Add counts the result of a request. Only complete answers count for the latencies.
func (c *Collector) Add(result sender.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &c.tiers[result.Tier]
	t.outcomes[result.Outcome]++
	if result.Code != "" {
		t.codes[string(result.Outcome)+"/"+result.Code]++
	}
	if result.Outcome.Lost() && len(c.examples) < maxExamples {
		c.examples = append(c.examples, Example{Tier: result.Tier, Outcome: result.Outcome, Code: result.Code,
			RequestID: result.RequestID, Detail: result.Detail})
	}
	if result.Outcome != sender.Good && result.Outcome != sender.Late {
		return
	}
	t.tokens += result.Tokens
	record(t.total, result.Total)
	if result.Tokens > 0 {
		record(t.firstToken, result.FirstToken)
	}
	for _, gap := range result.Gaps {
		record(t.gap, gap)
	}
}
