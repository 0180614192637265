package extrapolator

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFit guards against a wrong extrapolation and against a poor fit that isn't reported as such.
func TestFit(t *testing.T) {
	cases := []struct {
		name   string
		value  func(x float64) float64
		at     float64
		within float64
		poor   bool
	}{
		{"line", func(x float64) float64 { return 7 + 3*x }, 7 + 3*410, 1e-6, false},
		{"flat", func(float64) float64 { return 5 }, 5, 1e-6, false},
		{"quadratic", func(x float64) float64 { return x * x }, 0, math.Inf(1), true},
	}
	for _, c := range cases {
		var points []Point
		for _, x := range []float64{5, 20, 100} {
			points = append(points, Point{x, c.value(x)})
		}
		line := Fit(points)
		assert.Assert(t, math.Abs(line.At(410)-c.at) <= c.within, "%s: %v", c.name, line)
		assert.Equal(t, line.Poor(), c.poor, "%s: %v", c.name, line)
	}
}
