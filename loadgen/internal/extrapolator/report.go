package extrapolator

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"strings"
)

// Basis is the way in which a figure was obtained.
type Basis string

// Bases of figures. A calculated figure combines measured or extrapolated figures with numbers of the design scale.
const (
	Measured     Basis = "measured"
	Extrapolated Basis = "extrapolated"
	Calculated   Basis = "reckoned"
)

// Measure is one figure at several sizes and the line fitted to it. Scale is the size at the design scale, AtScale the
// value at that size.
type Measure struct {
	Role    string  `json:"role"`
	Figure  string  `json:"figure"`
	Unit    string  `json:"unit"`
	Size    string  `json:"size"`
	Points  []Point `json:"points"`
	Line    Line    `json:"line"`
	Scale   float64 `json:"scale"`
	AtScale float64 `json:"at_scale"`
	Basis   Basis   `json:"basis"`
}

// Check compares a figure at the design scale with its upper bound. Remedy is the design change that would bring the
// figure within the bound.
type Check struct {
	Role   string  `json:"role"`
	Figure string  `json:"figure"`
	Unit   string  `json:"unit"`
	Value  float64 `json:"value"`
	Limit  float64 `json:"limit"`
	Basis  Basis   `json:"basis"`
	Remedy string  `json:"mend,omitempty"`
}

// RoleSummary describes the load of one role at the design scale, the mechanism in the code that carries it and the
// bottleneck that is reached first.
type RoleSummary struct {
	Role       string `json:"role"`
	State      string `json:"state"`
	Messages   string `json:"messages"`
	CPU        string `json:"cpu"`
	Memory     string `json:"memory"`
	Mechanism  string `json:"mechanism"`
	Bottleneck string `json:"gives_way"`
}

// Report is the result of a run.
type Report struct {
	Machine  string        `json:"machine"`
	Measures []Measure     `json:"measures"`
	Roles    []RoleSummary `json:"parts"`
	Checks   []Check       `json:"checks"`
}

func newReport() *Report {
	return &Report{Machine: fmt.Sprintf("%s/%s, %d processors, %s", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())}
}

// addMeasure fits a line to the points, adds the figure to the report and returns the line. The reported value at the
// design scale is the measured one if that size was measured.
func (r *Report) addMeasure(role, figure, unit, size string, scale float64, points []Point) Line {
	m := Measure{Role: role, Figure: figure, Unit: unit, Size: size, Points: points, Line: Fit(points), Scale: scale}
	m.AtScale, m.Basis = m.Line.At(scale), Extrapolated
	for _, p := range points {
		if p.Size == scale {
			m.AtScale, m.Basis = p.Value, Measured
		}
	}
	r.Measures = append(r.Measures, m)
	return m.Line
}

func (r *Report) addCheck(role, figure, unit string, value, limit float64, basis Basis, remedy string) {
	r.Checks = append(r.Checks, Check{Role: role, Figure: figure, Unit: unit, Value: value, Limit: limit, Basis: basis, Remedy: remedy})
}

// Verdict returns a text that tells whether the bound is met, or by which factor it is missed.
func (c Check) Verdict() string {
	if c.Value <= c.Limit {
		return fmt.Sprintf("met (%.0f%% of it)", 100*c.Value/c.Limit)
	}
	return fmt.Sprintf("missed by a factor of %s", formatNumber(c.Value/c.Limit))
}

// formatNumber formats values from 0.01 with about three significant digits and without an exponent, smaller ones with
// two significant digits.
func formatNumber(v float64) string {
	switch a := math.Abs(v); {
	case a == 0:
		return "0"
	case a >= 100:
		return fmt.Sprintf("%.0f", v)
	case a >= 0.01:
		return strings.TrimRight(strings.TrimRight(fmt.Sprintf("%.*f", 2-int(math.Floor(math.Log10(a))), v), "0"), ".")
	}
	return fmt.Sprintf("%.2g", v)
}

// Markdown returns the report as Markdown tables.
func (r *Report) Markdown() string {
	var out strings.Builder
	row := func(cells ...string) { out.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	fmt.Fprintf(&out, "Run on %s.\n\n### Budgets at the design scale\n\n", r.Machine)
	row("role", "figure", "at scale", "bound", "basis", "verdict", "what would mend it")
	row("---", "---", "---", "---", "---", "---", "---")
	for _, c := range r.Checks {
		remedy := c.Remedy
		if c.Value <= c.Limit {
			remedy = ""
		}
		row(c.Role, c.Figure, formatNumber(c.Value)+" "+c.Unit, formatNumber(c.Limit)+" "+c.Unit, string(c.Basis), c.Verdict(), remedy)
	}
	out.WriteString("\n### Roles at the design scale\n\n")
	row("role", "state", "messages", "CPU", "memory", "mechanism", "what gives way first")
	row("---", "---", "---", "---", "---", "---", "---")
	for _, summary := range r.Roles {
		row(summary.Role, summary.State, summary.Messages, summary.CPU, summary.Memory, summary.Mechanism, summary.Bottleneck)
	}
	out.WriteString("\n### Measurements and fits\n\n")
	row("role", "figure", "unit", "sizes: values", "line", "at scale", "basis")
	row("---", "---", "---", "---", "---", "---", "---")
	for _, m := range r.Measures {
		points := make([]string, len(m.Points))
		for i, p := range m.Points {
			points[i] = formatNumber(p.Size) + ": " + formatNumber(p.Value)
		}
		fit := fmt.Sprintf("%s + %s x", formatNumber(m.Line.Intercept), formatNumber(m.Line.Slope))
		if m.Line.Poor() {
			fit += fmt.Sprintf(" (poor fit: residual %.0f%%)", 100*m.Line.Residual)
		}
		row(m.Role, m.Figure, m.Unit, strings.Join(points, ", ")+" "+m.Size, fit, formatNumber(m.AtScale)+" at "+formatNumber(m.Scale), string(m.Basis))
	}
	return out.String()
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return Error.Wrap(encoder.Encode(r))
}

// Markers around the part of the page that WritePage replaces.
const (
	markerBegin = "<!-- capacity: begin -->"
	markerEnd   = "<!-- capacity: end -->"
)

// WritePage replaces the text between the markers of a file. Errors: *MarkerError.
func (r *Report) WritePage(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return Error.Wrap(err)
	}
	before, rest, found := strings.Cut(string(data), markerBegin)
	if !found {
		return &MarkerError{File: file, Marker: markerBegin}
	}
	_, after, found := strings.Cut(rest, markerEnd)
	if !found {
		return &MarkerError{File: file, Marker: markerEnd}
	}
	text := before + markerBegin + "\n\n" + r.Markdown() + "\n" + markerEnd + after
	return Error.Wrap(os.WriteFile(file, []byte(text), 0o600))
}
