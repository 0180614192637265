package estimator

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// TestLengths guards against estimates that ignore the observations, follow a single observation, or don't adapt to a
// change of workload.
func TestLengths(t *testing.T) {
	key := Key{Workspace: "a", Work: "brief"}
	cases := []struct {
		name     string
		observed []float64
		declared float64
		want     float64
	}{
		{"none", nil, 100, 100},
		{"upper bound", repeat(10, 500), 1000, 10},
		{"one outlier", repeat(2000, 1), 1000, 1217},
		{"change of workload", append(repeat(1000, 500), repeat(10, 1000)...), 1000, 10},
	}
	for _, c := range cases {
		l := NewLengths()
		for _, observed := range c.observed {
			l.Observe(key, 1000, observed)
		}
		got := l.Estimate(key, c.declared)
		assert.Assert(t, math.Abs(got-c.want) <= c.want*0.05, "%s: %v", c.name, got)
		assert.Equal(t, l.Estimate(Key{Workspace: "b", Work: "brief"}, 7), 7.0)
	}
}

func repeat(value float64, n int) []float64 {
	values := make([]float64, n)
	for i := range values {
		values[i] = value
	}
	return values
}

// TestSpeedBaseline guards against a baseline that follows a straggler down to its slow speed, and against a wrong speed
// in a data sheet that makes a healthy engine look like a straggler.
func TestSpeedBaseline(t *testing.T) {
	s := NewSpeed(1000)
	for range 20 {
		s.Observe(50, 0.5)
	}
	assert.Assert(t, s.Ratio() > 0.95, "%v", s.Ratio())
	for range 200 {
		s.Observe(10, 0.5)
	}
	assert.Assert(t, s.Ratio() < 0.25, "%v", s.Ratio())
	assert.Assert(t, math.Abs(s.Value()-10) < 1)
	s.Reset()
	assert.Equal(t, s.Ratio(), 1.0)
}
