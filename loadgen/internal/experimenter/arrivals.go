package experimenter

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// workKind is a kind of work. Its lengths are means, and limit is the longest time to a complete answer that counts as
// good.
type workKind struct {
	name         string
	tier         int
	workspace    string
	promptTokens int
	outputTokens int
	// requestShare is the share of this kind among the requests; the shares of a mix add up to 1.
	requestShare float64
	limit        time.Duration
	// sharedPrefixes is the number of different first halves of prompts, each shared by many requests; 0 means that
	// prompts share nothing.
	sharedPrefixes int
}

// call is one request of a caller. The first group of fields describes the request, the second its progress.
type call struct {
	kind         *workKind
	id           string
	fingerprint  uint64
	hashes       []uint64
	arrivedAt    time.Duration
	outputTokens int
	poison       bool
	attempt      int

	router          *router
	engine          *engine
	queued          bool
	running         bool
	dispatchedAt    time.Duration
	firstTokenAt    time.Duration
	doneAt          time.Duration
	refusal         string
	cachedTokens    int
	prefilledTokens int
	computedTokens  int
	producedTokens  int
	// stepPrefillTokens is the number of this prompt's tokens that the current step computes.
	stepPrefillTokens int
}

// good reports whether the call was answered completely and within its time limit.
func (c *call) good() bool { return c.doneAt > 0 && c.doneAt-c.arrivedAt <= c.kind.limit }

// capacity returns the number of requests of a mix that the engines answer per second with all slots in use.
func capacity(engines []engineKind, mix []workKind) float64 {
	var sum float64
	for _, e := range engines {
		var seconds float64
		for _, k := range mix {
			seconds += k.requestShare * (float64(k.promptTokens)/e.prefillPerSecond +
				float64(k.outputTokens)*e.fullStepSeconds()/float64(e.slots))
		}
		sum += 1 / seconds
	}
	return sum
}

// steadyRate is the factor of a constant arrival rate.
func steadyRate(time.Duration) float64 { return 1 }

// burstyRate returns the factor on the mean arrival rate at a time: 3 for 3 s of every 20 s, and below 1 otherwise.
func burstyRate(at time.Duration) float64 {
	const period, burst, factor = 20 * time.Second, 3 * time.Second, 3.0
	if at%period < burst {
		return factor
	}
	return (period.Seconds() - factor*burst.Seconds()) / (period - burst).Seconds()
}

// generateCalls returns random requests of a mix with Poisson arrivals at a mean rate, multiplied by shape at each time.
// Output lengths vary by up to half of their mean.
func generateCalls(seed uint64, mix []workKind, rate float64, duration time.Duration, shape func(time.Duration) float64) []*call {
	random := rand.New(rand.NewPCG(seed, 1))
	var calls []*call
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / (rate * shape(at)) * float64(time.Second))
		if at >= duration {
			return calls
		}
		k := kindAt(mix, random.Float64())
		n := uint64(len(calls) + 1)
		c := &call{kind: k, id: fmt.Sprintf("r%d", n), fingerprint: n, arrivedAt: at,
			outputTokens: max(1, int(float64(k.outputTokens)*(0.5+random.Float64())))}
		if k.sharedPrefixes > 0 {
			document := uint64(random.IntN(k.sharedPrefixes))
			c.hashes = []uint64{1<<40 + document, 1<<41 + n}
		}
		calls = append(calls, c)
	}
}

// kindAt returns the kind whose part of the cumulative request shares contains x.
func kindAt(mix []workKind, x float64) *workKind {
	for i := range mix {
		if x -= mix[i].requestShare; x < 0 {
			return &mix[i]
		}
	}
	return &mix[len(mix)-1]
}
