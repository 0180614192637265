package promoter

import (
	"math"
	"math/bits"
	"time"
)

// Outcome is how one request to an engine ended.
type Outcome int

// Outcomes of requests.
const (
	// OutcomeAnswered means a whole answer without an error.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed means an answer that reports an error of the engine, or one that isn't the engine's.
	OutcomeFailed
	// OutcomeLost means that the connection was lost before the answer was complete.
	OutcomeLost

	outcomeCount
)

// BucketCount is the number of buckets of a Histogram. The last one begins at about 131 s.
const BucketCount = 36

// Histogram counts answers by latency. Bucket i ends at 1 ms times the i-th power of the square root of 2.
type Histogram [BucketCount]uint32

// latencyBucket returns the bucket of a latency.
func latencyBucket(latency time.Duration) int {
	squared := uint64(min(max(0, latency.Microseconds()), 1<<30))
	// The squares of the bucket's limits are powers of 2, in units of 1 ms squared.
	squared = (squared*squared + 999_999) / 1_000_000
	if squared <= 1 {
		return 0
	}
	return min(bits.Len64(squared-1), BucketCount-1)
}

func (h *Histogram) total() (sum float64) {
	for _, count := range h {
		sum += float64(count)
	}
	return sum
}

// beyond returns the number of answers above a bucket.
func (h *Histogram) beyond(bucket int) (sum float64) {
	for _, count := range h[min(bucket+1, BucketCount):] {
		sum += float64(count)
	}
	return sum
}

// median returns the bucket of the median, -1 without answers.
func (h *Histogram) median() int {
	total := h.total()
	for i := range h {
		if 2*h.beyond(i) < total {
			return i
		}
	}
	return -1
}

// Tally sums up the requests of one version on one route.
type Tally struct {
	Outcomes [outcomeCount]uint32
	// Latency counts the requests that were answered without an error.
	Latency Histogram
}

// Observe adds one request.
func (t *Tally) Observe(outcome Outcome, latency time.Duration) {
	t.Outcomes[outcome]++
	if outcome == OutcomeAnswered {
		t.Latency[latencyBucket(latency)]++
	}
}

// total returns the number of requests that have ended.
func (t *Tally) total() (sum float64) {
	for _, count := range t.Outcomes {
		sum += float64(count)
	}
	return sum
}

func (t *Tally) add(other *Tally) {
	for i, count := range other.Outcomes {
		t.Outcomes[i] += count
	}
	for i, count := range other.Latency {
		t.Latency[i] += count
	}
}

// subtract returns the requests of t that aren't in earlier. Sums that went down, which only a faulty report can cause,
// count as unchanged.
func (t *Tally) subtract(earlier *Tally) Tally {
	result := *t
	for i, count := range earlier.Outcomes {
		result.Outcomes[i] -= min(result.Outcomes[i], count)
	}
	for i, count := range earlier.Latency {
		result.Latency[i] -= min(result.Latency[i], count)
	}
	return result
}

// Series names what a Tally sums up.
type Series struct {
	Version string
	Route   string
}

// Evidence holds the tallies of a service since the order.
type Evidence map[Series]Tally

// MaxSeries bounds the series of one router's evidence, and so the size of its reports. Further routes share the series
// of the empty route.
const MaxSeries = 64

// Observe adds one request.
func (e Evidence) Observe(series Series, outcome Outcome, latency time.Duration) {
	tally, known := e[series]
	if !known && len(e) >= MaxSeries {
		series.Route = ""
		tally = e[series]
	}
	tally.Observe(outcome, latency)
	e[series] = tally
}

func (e Evidence) add(other Evidence) {
	for series, tally := range other {
		sum := e[series]
		sum.add(&tally)
		e[series] = sum
	}
}

// since returns the evidence that isn't in earlier.
func (e Evidence) since(earlier Evidence) Evidence {
	result := make(Evidence, len(e))
	for series, tally := range e {
		before := earlier[series]
		result[series] = tally.subtract(&before)
	}
	return result
}

// bucketEnd returns the upper limit of a bucket in ms.
func bucketEnd(bucket int) float64 { return math.Pow(math.Sqrt2, float64(bucket)) }
