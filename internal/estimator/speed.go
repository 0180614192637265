package estimator

// Weights of a new sample in the exponential moving averages. The EWMA of go-metrics doesn't fit: it averages event
// rates over clock ticks, while speeds are averaged over samples.
const (
	recentWeight   = 0.3
	baselineWeight = 0.02
	// minBaselineSamples is the number of samples that a baseline needs before it is used.
	minBaselineSamples = 5
)

// Speed estimates a recent speed and its long-term baseline, in tokens per second.
type Speed struct {
	recent   float64
	baseline float64
	samples  int
}

// NewSpeed returns an estimate that starts at prior, in tokens per second.
func NewSpeed(prior float64) Speed { return Speed{recent: prior, baseline: prior} }

// Value returns the recent speed in tokens per second.
func (s *Speed) Value() float64 { return s.recent }

// Baseline returns the long-term speed in tokens per second.
func (s *Speed) Baseline() float64 { return s.baseline }

// Ratio returns the recent speed relative to the baseline, or 1 while the baseline has too few samples.
func (s *Speed) Ratio() float64 {
	if s.samples < minBaselineSamples || s.baseline <= 0 {
		return 1
	}
	return s.recent / s.baseline
}

// Observe adds a sample in tokens per second. The first samples replace the prior, which may come from a data sheet.
// Samples below minRatio times the baseline don't change the baseline; otherwise a straggler would lower its own
// baseline and no longer be detected.
func (s *Speed) Observe(sample, minRatio float64) {
	if sample <= 0 {
		return
	}
	s.samples++
	if s.samples <= minBaselineSamples {
		weight := 1 / float64(s.samples)
		s.recent += weight * (sample - s.recent)
		s.baseline = s.recent
		return
	}
	s.recent += recentWeight * (sample - s.recent)
	if sample >= minRatio*s.baseline {
		s.baseline += baselineWeight * (sample - s.baseline)
	}
}

// Reset sets the recent speed to the baseline. It is called when an engine that was excluded as a straggler is fully
// readmitted.
func (s *Speed) Reset() { s.recent = s.baseline }
