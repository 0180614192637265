package extrapolator

import "math"

// poorResidual is the root mean square residual, as a share of the mean value, above which a fit counts as poor.
const poorResidual = 0.15

// Point is one measured value at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Line is a least squares fit. Residual is the root mean square residual as a share of the mean value.
type Line struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	Residual  float64 `json:"residual"`
}

// Fit fits a line to at least two points of different sizes.
func Fit(points []Point) Line {
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
	}
	var line Line
	line.Slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	line.Intercept = (sy - line.Slope*sx) / n
	var squares float64
	for _, p := range points {
		squares += math.Pow(p.Value-line.At(p.Size), 2)
	}
	if sy != 0 {
		line.Residual = math.Sqrt(squares/n) / math.Abs(sy/n)
	}
	return line
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Poor reports whether the points lie too far from the line for a reliable extrapolation.
func (l Line) Poor() bool { return l.Residual > poorResidual }
