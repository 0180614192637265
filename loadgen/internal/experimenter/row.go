package experimenter

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/zeebo/errs"
)

// Error is the class of failures to write the rows.
var Error = errs.Class("write measurements")

// Row is one measured figure of a policy beside that of its baseline.
type Row struct {
	Name string `json:"name"`
	// Unit of Value and Baseline.
	Unit     string  `json:"unit"`
	Value    float64 `json:"value"`
	Against  string  `json:"against"`
	Baseline float64 `json:"baseline"`
	// Ratio of value to baseline; 0 if the baseline is 0.
	Ratio float64 `json:"ratio"`
	// Bound is a comparison such as "<= 0.36", or empty if no target is stated.
	Bound string `json:"bound"`
	Seed  uint64 `json:"seed"`
	Met   bool   `json:"met"`
}

// none stands for a missing baseline.
const none = "-"

// newRow returns a row without a bound.
func newRow(name, unit string, value float64, against string, baseline float64) Row {
	r := Row{Name: name, Unit: unit, Value: value, Against: against, Baseline: baseline, Met: true}
	if baseline != 0 {
		r.Ratio = value / baseline
	}
	return r
}

// atMost and atLeast set the bound of a row. A value that isn't a number misses every bound.
func (r Row) atMost(bound float64) Row {
	r.Bound, r.Met = fmt.Sprintf("<= %.4g", bound), r.Value <= bound
	return r
}

func (r Row) atLeast(bound float64) Row {
	r.Bound, r.Met = fmt.Sprintf(">= %.4g", bound), r.Value >= bound
	return r
}

// ratioAtLeast and ratioAtMost bound the ratio instead of the value.
func (r Row) ratioAtLeast(bound float64) Row {
	r.Bound, r.Met = fmt.Sprintf("ratio >= %.4g", bound), r.Ratio >= bound
	return r
}

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
		if r.Against != none {
			baseline = fmt.Sprintf("%.4g", r.Baseline)
		}
		if r.Ratio != 0 {
			ratio = fmt.Sprintf("%.3f", r.Ratio)
		}
		if r.Bound != "" {
			bound, met = r.Bound, map[bool]string{true: "yes", false: "NO"}[r.Met]
		}
		line(r.Name, r.Unit, fmt.Sprintf("%.4g", r.Value), r.Against, baseline, ratio, bound, r.Seed, met)
	}
	_ = table.Flush()
	_, err := io.WriteString(out, text.String())
	return Error.Wrap(err)
}
