package reporter

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/zeebo/errs"

	"coltsfootplank/loadgen/internal/sender"
)

// Error is the class of errors from writing a report.
var Error = errs.Class("write report")

// Progress returns one line about the run so far.
func (c *Collector) Progress(elapsed time.Duration) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := tier{outcomes: make(map[sender.Outcome]int)}
	ended := 0
	for i := range c.tiers {
		for outcome, count := range c.tiers[i].outcomes {
			sum.outcomes[outcome] += count
			ended += count
		}
	}
	return fmt.Sprintf("%3.0fs sent %d, in flight %d, good %d, late %d, not run %d, lost %d", elapsed.Seconds(), c.sent,
		max(c.sent-ended, 0), sum.outcomes[sender.Good], sum.outcomes[sender.Late], sum.outcomes[sender.NotRun], sum.lostCount())
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return Error.Wrap(encoder.Encode(r))
}

// WriteTable writes the report as a text table.
func (r *Report) WriteTable(out io.Writer) error {
	var text strings.Builder
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', tabwriter.AlignRight)
	line := func(format string, values ...any) {
		// Writing to memory can't fail.
		_, _ = fmt.Fprintf(table, format+"\t\n", values...)
	}
	line("tier\trequests\tgood\tlate\tnot run\tunknown\tfailed\ttruncated\tconn. lost\tcorrupt\tgoodput\tgood/s\tfirst p50/p95/p99 ms\tgap p50/p95/p99 ms\ttotal p50/p95/p99 ms")
	for _, t := range append(slices.Clone(r.Tiers), r.Total) {
		name := fmt.Sprint(t.Tier)
		if t.Tier < 0 {
			name = "all"
		}
		line("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%.1f\t%s\t%s\t%s", name, t.Requests, t.Good, t.Late, t.NotRun, t.Unknown,
			t.Failed, t.Truncated, t.ConnectionLost, t.Corrupt, 100*t.Goodput, t.GoodputPerSecond, t.FirstTokenMS, t.GapMS, t.TotalMS)
	}
	_ = table.Flush()
	fmt.Fprintf(&text, "seed %d, %.1f s, sent %d, skipped %d, lost %d, run twice %d, tokens %d\n", r.Seed, r.Seconds, r.Sent,
		r.Skipped, r.Lost, r.Duplicates, r.Total.Tokens)
	if len(r.Total.Codes) > 0 {
		fmt.Fprintf(&text, "codes: %s\n", formatCounts(r.Total.Codes))
	}
	if r.Prefill == nil {
		text.WriteString("prefill: not known\n")
	} else {
		fmt.Fprintf(&text, "prefill tokens: computed %d, wasted %d (%.1f%%), computed again %d (%.1f%%), from cache %d\n",
			r.Prefill.Computed, r.Prefill.Wasted, r.Prefill.Percent(r.Prefill.Wasted), r.Prefill.Recomputed,
			r.Prefill.Percent(r.Prefill.Recomputed), r.Prefill.Cached)
	}
	for _, example := range r.Examples {
		fmt.Fprintf(&text, "lost: tier %d %s %s request %s: %s\n", example.Tier, example.Outcome, example.Code, example.RequestID, example.Detail)
	}
	_, err := io.WriteString(out, text.String())
	return Error.Wrap(err)
}

func (l *Latency) String() string {
	if l == nil {
		return "-"
	}
	return fmt.Sprintf("%.1f/%.1f/%.1f", l.P50, l.P95, l.P99)
}

func formatCounts(counts map[string]int) string {
	parts := make([]string, 0, len(counts))
	for _, code := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", code, counts[code]))
	}
	return strings.Join(parts, ", ")
}
