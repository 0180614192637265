package experimenter

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/zeebo/errs"
)

// Error is the class of errors from writing the rows.
var Error = errs.Class("write measurements")

// Row compares one measured figure of a policy with that of a baseline.
type Row struct {
	Name string `json:"name"`
	// Unit is the unit of Value and Baseline.
	Unit         string  `json:"unit"`
	Value        float64 `json:"value"`
	BaselineName string  `json:"against"`
	Baseline     float64 `json:"baseline"`
	// Ratio is Value divided by Baseline, or 0 if Baseline is 0.
	Ratio float64 `json:"ratio"`
	// Bound is the comparison that the row must meet, such as "<= 0.36", or empty if there is none.
	Bound string `json:"bound"`
	Seed  uint64 `json:"seed"`
	Met   bool   `json:"met"`
}

// none is the text of an empty table cell, and the name of the baseline in rows without one.
const none = "-"

// newRow returns a row without a bound.
func newRow(name, unit string, value float64, baselineName string, baseline float64) Row {
	r := Row{Name: name, Unit: unit, Value: value, BaselineName: baselineName, Baseline: baseline, Met: true}
	if baseline != 0 {
		r.Ratio = value / baseline
	}
	return r
}

// atMost sets an upper bound on the value. NaN misses every bound.
func (r Row) atMost(bound float64) Row {
	r.Bound, r.Met = fmt.Sprintf("<= %.4g", bound), r.Value <= bound
	return r
}

// atLeast sets a lower bound on the value.
func (r Row) atLeast(bound float64) Row {
	r.Bound, r.Met = fmt.Sprintf(">= %.4g", bound), r.Value >= bound
	return r
}

// ratioAtLeast sets a lower bound on the ratio.
func (r Row) ratioAtLeast(bound float64) Row {
	r.Bound, r.Met = fmt.Sprintf("ratio >= %.4g", bound), r.Ratio >= bound
	return r
}

// ratioAtMost sets an upper bound on the ratio.
func (r Row) ratioAtMost(bound float64) Row {
	r.Bound, r.Met = fmt.Sprintf("ratio <= %.4g", bound), r.Ratio <= bound
	return r
}

// WriteJSON writes the rows as a JSON array.
func WriteJSON(out io.Writer, rows []Row) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return Error.Wrap(encoder.Encode(rows))
}

// WriteTable writes the rows as a Markdown table.
func WriteTable(out io.Writer, rows []Row) error {
	var text strings.Builder
	table := tabwriter.NewWriter(&text, 0, 0, 1, ' ', 0)
	line := func(cells ...any) {
		// Writing to memory can't fail.
		_, _ = fmt.Fprintf(table, "| %v\t| %v\t| %v\t| %v\t| %v\t| %v\t| %v\t| %v\t| %v\t|\n", cells...)
	}
	line("name", "unit", "value", "against", "baseline", "ratio", "bound", "seed", "met")
	line("---", "---", "---", "---", "---", "---", "---", "---", "---")
	for _, r := range rows {
		baseline, ratio, bound, met := none, none, none, none
		if r.BaselineName != none {
			baseline = fmt.Sprintf("%.4g", r.Baseline)
		}
		if r.Ratio != 0 {
			ratio = fmt.Sprintf("%.3f", r.Ratio)
		}
		if r.Bound != "" {
			bound, met = r.Bound, map[bool]string{true: "yes", false: "NO"}[r.Met]
		}
		line(r.Name, r.Unit, fmt.Sprintf("%.4g", r.Value), r.BaselineName, baseline, ratio, bound, r.Seed, met)
	}
	_ = table.Flush()
	_, err := io.WriteString(out, text.String())
	return Error.Wrap(err)
}
