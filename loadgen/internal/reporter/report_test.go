package reporter

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/loadgen/internal/sender"
	"coltsfootplank/loadgen/internal/statreader"
)

func newTestCollector() *Collector {
	c := NewCollector()
	add := func(tier, count int, outcome sender.Outcome, code string) {
		for range count {
			c.Sent()
			c.Add(sender.Result{Tier: tier, Outcome: outcome, Code: code, Tokens: 3, RequestID: "r-" + code,
				FirstToken: 100 * time.Millisecond, Gaps: []time.Duration{20 * time.Millisecond, 40 * time.Millisecond}, Total: 160 * time.Millisecond})
		}
	}
	add(0, 8, sender.Good, "")
	add(0, 1, sender.Late, "")
	add(0, 1, sender.NotRun, "overloaded")
	add(3, 1, sender.Good, "")
	for _, lost := range []sender.Outcome{sender.Unknown, sender.Failed, sender.Truncated, sender.ConnectionLost, sender.Corrupt} {
		add(3, 1, lost, "code_"+string(lost))
	}
	c.Skipped()
	return c
}

// TestReport guards against lost answers that aren't counted as lost, and against refusals or late answers that count
// towards goodput.
func TestReport(t *testing.T) {
	report := newTestCollector().Report(5, 2*time.Second)
	assert.Equal(t, report.Sent, 16)
	assert.Equal(t, report.Skipped, 1)
	assert.Equal(t, report.Lost, 5)
	assert.Equal(t, len(report.Examples), 5)
	assert.Equal(t, len(report.Tiers), 2)
	tier0, tier3 := report.Tiers[0], report.Tiers[1]
	assert.Equal(t, tier0.Goodput, 0.8)
	assert.Equal(t, tier0.GoodputPerSecond, 4.0)
	assert.Equal(t, tier0.NotRun, 1)
	assert.Equal(t, tier0.Late, 1)
	assert.Equal(t, tier0.Codes["not_run/overloaded"], 1)
	assert.Equal(t, tier0.Tokens, 27)
	assert.Equal(t, tier3.Tier, 3)
	assert.Equal(t, tier3.Requests, 6)
	assert.Equal(t, report.Total.Requests, 16)
	assert.Equal(t, report.Total.Goodput, 9.0/16)
	assert.Equal(t, report.Total.Unknown+report.Total.Failed+report.Total.Truncated+report.Total.ConnectionLost+report.Total.Corrupt, 5)
}

// TestLatencies guards against latencies of failed requests in the histograms, and against wrong units.
func TestLatencies(t *testing.T) {
	c := newTestCollector()
	c.Add(sender.Result{Tier: 0, Outcome: sender.Failed, Total: time.Minute, FirstToken: time.Minute, Tokens: 1})
	c.Add(sender.Result{Tier: 1, Outcome: sender.Good, Total: 2 * time.Hour})
	report := c.Report(5, time.Second)
	near := func(got, want float64) {
		assert.Assert(t, got > want*0.99 && got < want*1.01, "%v, want %v", got, want)
	}
	near(report.Tiers[0].FirstTokenMS.Max, 100)
	near(report.Tiers[0].GapMS.P50, 20)
	near(report.Tiers[0].GapMS.P95, 40)
	near(report.Tiers[0].TotalMS.P99, 160)
	near(report.Tiers[1].TotalMS.Max, 3600_000)
	assert.Assert(t, report.Tiers[1].FirstTokenMS == nil)
}

// TestOutput guards against figures that are missing from the table, the JSON text or the progress line.
func TestOutput(t *testing.T) {
	c := newTestCollector()
	report := c.Report(5, 2*time.Second)
	report.Prefill = &statreader.Prefill{Computed: 1000, Wasted: 50, Recomputed: 100}
	report.Duplicates = 7
	var table, text strings.Builder
	assert.NilError(t, report.WriteTable(&table))
	for _, want := range []string{"goodput", "80.0%", "100.0/100.0/100.0", "lost 5", "run twice 7", "not_run/overloaded 1",
		"wasted 50 (5.0%), computed again 100 (10.0%)", "request r-code_corrupt"} {
		assert.Assert(t, strings.Contains(table.String(), want), "%q is missing in\n%s", want, table.String())
	}
	assert.NilError(t, report.WriteJSON(&text))
	var decoded Report
	assert.NilError(t, json.Unmarshal([]byte(text.String()), &decoded))
	assert.DeepEqual(t, &decoded, report)
	c.Sent()
	assert.Equal(t, c.Progress(2*time.Second), "  2s sent 17, in flight 1, good 9, late 1, not run 1, lost 5")
}
