package estimator

// Weights of a new sample in the moving averages. go-metrics' EWMA averages event rates over ticks of a clock;
// speeds are averages over samples, so they are kept here.
const (
	recentWeight   = 0.3
	baselineWeight = 0.02
	// baselineMinimum is the number of samples before a baseline is trusted.
	baselineMinimum = 5
)

// Speed is a speed in tokens per second with its own long-term baseline.
type Speed struct {
	recent   float64
	baseline float64
	samples  int
}

// NewSpeed returns an estimate that starts from prior (tokens per second).
func NewSpeed(prior float64) Speed { return Speed{recent: prior, baseline: prior} }

// Value returns the estimate in tokens per second.
func (s *Speed) Value() float64 { return s.recent }

// Baseline returns the long-term speed in tokens per second.
func (s *Speed) Baseline() float64 { return s.baseline }

// Ratio returns the recent speed relative to the baseline; 1 while the baseline isn't trusted.
func (s *Speed) Ratio() float64 {
	if s.samples < baselineMinimum || s.baseline <= 0 {
		return 1
	}
	return s.recent / s.baseline
}

// Observe takes one sample in tokens per second. The first samples replace the prior, which may be a data sheet's
// figure. The baseline doesn't learn from samples below floor times itself: a straggler would otherwise become
// its own norm.
func (s *Speed) Observe(sample, floor float64) {
	if sample <= 0 {
		return
	}
	s.samples++
	if s.samples <= baselineMinimum {
		weight := 1 / float64(s.samples)
		s.recent += weight * (sample - s.recent)
		s.baseline = s.recent
		return
	}
	s.recent += recentWeight * (sample - s.recent)
	if sample >= floor*s.baseline {
		s.baseline += baselineWeight * (sample - s.baseline)
	}
}

// Reset makes the recent speed the baseline, after an engine has proven itself again.
func (s *Speed) Reset() { s.recent = s.baseline }
