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

// Basis says where a figure comes from.
type Basis string

// Bases of figures. A reckoned figure combines others with the numbers of the design scale.
const (
	Measured     Basis = "measured"
	Extrapolated Basis = "extrapolated"
	Reckoned     Basis = "reckoned"
)

// Measure is one figure at several sizes and the line through it. Scale is the size at the design scale.
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

// Check compares a figure at the design scale with its bound. Mend is the change of design that would bring it
// within the bound.
type Check struct {
	Role   string  `json:"role"`
	Figure string  `json:"figure"`
	Unit   string  `json:"unit"`
	Value  float64 `json:"value"`
	Limit  float64 `json:"limit"`
	Basis  Basis   `json:"basis"`
	Mend   string  `json:"mend,omitempty"`
}

// Part describes a role: what carries it and what gives way first.
type Part struct {
	Role      string `json:"role"`
	State     string `json:"state"`
	Messages  string `json:"messages"`
	CPU       string `json:"cpu"`
	Memory    string `json:"memory"`
	Mechanism string `json:"mechanism"`
	GivesWay  string `json:"gives_way"`
}

// Report is the result of a run.
type Report struct {
	Machine  string    `json:"machine"`
	Measures []Measure `json:"measures"`
	Parts    []Part    `json:"parts"`
	Checks   []Check   `json:"checks"`
}

func newReport() *Report {
	return &Report{Machine: fmt.Sprintf("%s/%s, %d processors, %s", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())}
}

// add fits a line and returns its value at the design scale: the measured one if that size was measured.
func (r *Report) add(role, figure, unit, size string, scale float64, points []Point) Line {
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

func (r *Report) check(role, figure, unit string, value, limit float64, basis Basis, mend string) {
	r.Checks = append(r.Checks, Check{Role: role, Figure: figure, Unit: unit, Value: value, Limit: limit, Basis: basis, Mend: mend})
}

// Verdict says whether the bound is met, or by which factor it is missed.
func (c Check) Verdict() string {
	if c.Value <= c.Limit {
		return fmt.Sprintf("met (%.0f%% of it)", 100*c.Value/c.Limit)
	}
	return fmt.Sprintf("missed by a factor of %s", number(c.Value/c.Limit))
}

// number prints three significant digits without an exponent where that is short.
func number(v float64) string {
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

// Markdown returns the tables of the page.
func (r *Report) Markdown() string {
	var out strings.Builder
	line := func(cells ...string) { out.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	fmt.Fprintf(&out, "Run on %s.\n\n### Budgets at the design scale\n\n", r.Machine)
	line("role", "figure", "at scale", "bound", "basis", "verdict", "what would mend it")
	line("---", "---", "---", "---", "---", "---", "---")
	for _, c := range r.Checks {
		mend := c.Mend
		if c.Value <= c.Limit {
			mend = ""
		}
		line(c.Role, c.Figure, number(c.Value)+" "+c.Unit, number(c.Limit)+" "+c.Unit, string(c.Basis), c.Verdict(), mend)
	}
	out.WriteString("\n### Roles at the design scale\n\n")
	line("role", "state", "messages", "CPU", "memory", "mechanism", "what gives way first")
	line("---", "---", "---", "---", "---", "---", "---")
	for _, p := range r.Parts {
		line(p.Role, p.State, p.Messages, p.CPU, p.Memory, p.Mechanism, p.GivesWay)
	}
	out.WriteString("\n### Measurements and fits\n\n")
	line("role", "figure", "unit", "sizes: values", "line", "at scale", "basis")
	line("---", "---", "---", "---", "---", "---", "---")
	for _, m := range r.Measures {
		points := make([]string, len(m.Points))
		for i, p := range m.Points {
			points[i] = number(p.Size) + ": " + number(p.Value)
		}
		fit := fmt.Sprintf("%s + %s x", number(m.Line.Intercept), number(m.Line.Slope))
		if m.Line.Poor() {
			fit += fmt.Sprintf(" (poor fit: residual %.0f%%)", 100*m.Line.Residual)
		}
		line(m.Role, m.Figure, m.Unit, strings.Join(points, ", ")+" "+m.Size, fit, number(m.AtScale)+" at "+number(m.Scale), string(m.Basis))
	}
	return out.String()
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return Error.Wrap(encoder.Encode(r))
}

// Markers of the part of the page that a run replaces.
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
