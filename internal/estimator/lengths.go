package estimator

// Key identifies requests that are expected to have similar output lengths.
type Key struct {
	Workspace string
	Work      string
}

const (
	// priorSamples is the initial weight of the declared length, in observations. Each observation multiplies the
	// weight by priorDecay, because a declared upper bound says little about the mean.
	priorSamples = 4
	priorDecay   = 0.9
	// maxSamples limits the weight of past observations, so that the estimate follows a change of workload.
	maxSamples = 64
)

// Lengths estimates output lengths. For each key it learns the ratio of the observed length to the declared length
// rather than the length itself, because a declared length may be exact, an average or an upper bound.
type Lengths struct {
	ratios map[Key]*ratio
}

// ratio holds the decayed sums of observed and declared tokens. prior is the current weight of the declared length.
type ratio struct {
	observed float64
	declared float64
	samples  float64
	prior    float64
}

// NewLengths returns an estimator without observations.
func NewLengths() *Lengths { return &Lengths{ratios: make(map[Key]*ratio)} }

// Estimate returns the expected output tokens of a request with a declared length in tokens.
func (l *Lengths) Estimate(key Key, declared float64) float64 {
	r := l.ratios[key]
	if r == nil || r.declared <= 0 {
		return declared
	}
	prior := r.prior * r.declared / r.samples
	return declared * (r.observed + prior) / (r.declared + prior)
}

// Observe records the output tokens of a complete answer. It ignores requests without a declared length.
func (l *Lengths) Observe(key Key, declared, observed float64) {
	if declared <= 0 {
		return
	}
	r := l.ratios[key]
	if r == nil {
		r = &ratio{prior: priorSamples}
		l.ratios[key] = r
	}
	if r.samples >= maxSamples {
		decay := (maxSamples - 1) / r.samples
		r.observed *= decay
		r.declared *= decay
		r.samples *= decay
	}
	r.observed += observed
	r.declared += declared
	r.samples++
	r.prior *= priorDecay
}
