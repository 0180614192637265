package estimator

// Key names the requests whose lengths are alike.
type Key struct {
	Workspace string
	Work      string
}

const (
	// priorSamples is how many observations the declared length is worth at first. Its weight fades with each
	// observation, since a declared upper bound says little about the mean.
	priorSamples = 4
	priorFade    = 0.9
	// memorySamples bounds the weight of the past, so that the estimate follows a change of workload.
	memorySamples = 64
)

// Lengths learns how the output length of a kind of work relates to the length declared for it. It learns the
// ratio and not the length itself, because a declared length may be exact, an average or an upper bound.
type Lengths struct {
	ratios map[Key]*ratio
}

// ratio holds decayed sums of observed and declared tokens.
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

// Observe takes the output tokens of a complete answer. Requests without a declared length teach nothing.
func (l *Lengths) Observe(key Key, declared, observed float64) {
	if declared <= 0 {
		return
	}
	r := l.ratios[key]
	if r == nil {
		r = &ratio{prior: priorSamples}
		l.ratios[key] = r
	}
	if r.samples >= memorySamples {
		keep := (memorySamples - 1) / r.samples
		r.observed *= keep
		r.declared *= keep
		r.samples *= keep
	}
	r.observed += observed
	r.declared += declared
	r.samples++
	r.prior *= priorFade
}
