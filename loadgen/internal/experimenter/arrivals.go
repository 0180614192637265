package experimenter

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// kind is a kind of work. Lengths are means in tokens; limit is the time for the whole answer.
type kind struct {
	name      string
	tier      int
	workspace string
	prompt    int
	output    int
	// share of the requests; shares of a mix add up to 1.
	share float64
	limit time.Duration
	// documents is the number of prompts with a common first half; 0 means that nothing is shared.
	documents int
}

// call is one request of a caller.
type call struct {
	kind        *kind
	id          string
	fingerprint uint64
	hashes      []uint64
	arrived     time.Duration
	output      int
	poison      bool
	attempt     int

	router     *router
	engine     *engine
	queued     bool
	running    bool
	dispatched time.Duration
	first      time.Duration
	done       time.Duration
	refusal    string
	cached     int
	prefilled  int
	computed   int
	produced   int
	// share is the number of prompt tokens that the current step computes.
	share int
}

// good says that the answer was whole and within its limit.
func (c *call) good() bool { return c.done > 0 && c.done-c.arrived <= c.kind.limit }

// capacity is the number of requests of a mix that engines answer in a second with all slots in use.
func capacity(engines []engineKind, mix []kind) float64 {
	var sum float64
	for _, e := range engines {
		var seconds float64
		for _, k := range mix {
			seconds += k.share * (float64(k.prompt)/e.prefill + float64(k.output)*e.fullStep()/float64(e.slots))
		}
		sum += 1 / seconds
	}
	return sum
}

// steady is a constant rate.
func steady(time.Duration) float64 { return 1 }

// bursty is three times the mean rate for 3 s of every 20 s, and below the mean otherwise.
func bursty(at time.Duration) float64 {
	const period, burst, factor = 20 * time.Second, 3 * time.Second, 3.0
	if at%period < burst {
		return factor
	}
	return (period.Seconds() - factor*burst.Seconds()) / (period - burst).Seconds()
}

// arrivals draws requests of a mix at a mean rate for a duration. Output lengths vary by half of their mean.
func arrivals(seed uint64, mix []kind, rate float64, length time.Duration, shape func(time.Duration) float64) []*call {
	random := rand.New(rand.NewPCG(seed, 1))
	var calls []*call
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / (rate * shape(at)) * float64(time.Second))
		if at >= length {
			return calls
		}
		k := pick(mix, random.Float64())
		n := uint64(len(calls) + 1)
		c := &call{kind: k, id: fmt.Sprintf("r%d", n), fingerprint: n, arrived: at,
			output: max(1, int(float64(k.output)*(0.5+random.Float64())))}
		if k.documents > 0 {
			document := uint64(random.IntN(k.documents))
			c.hashes = []uint64{1<<40 + document, 1<<41 + n}
		}
		calls = append(calls, c)
	}
}

func pick(mix []kind, x float64) *kind {
	for i := range mix {
		if x -= mix[i].share; x < 0 {
			return &mix[i]
		}
	}
	return &mix[len(mix)-1]
}
