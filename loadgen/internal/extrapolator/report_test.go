package extrapolator

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestWritePage guards against changes to the text around the tables, and against tables of an earlier run that remain.
func TestWritePage(t *testing.T) {
	file := filepath.Join(t.TempDir(), "page.md")
	assert.NilError(t, os.WriteFile(file, []byte("before\n"+markerBegin+"\nold\n"+markerEnd+"\nafter\n"), 0o600))
	report := newReport()
	report.addCheck("front", "figure", "B/s", 20, 10, Calculated, "send less")
	for range 2 {
		assert.NilError(t, report.WritePage(file))
	}
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	text := string(data)
	assert.Assert(t, strings.HasPrefix(text, "before\n"+markerBegin) && strings.HasSuffix(text, markerEnd+"\nafter\n"), text)
	assert.Assert(t, !strings.Contains(text, "old"), text)
	assert.Equal(t, strings.Count(text, "missed by a factor of 2 | send less"), 1, text)

	assert.NilError(t, os.WriteFile(file, []byte("no markers"), 0o600))
	var missing *MarkerError
	assert.Assert(t, errors.As(report.WritePage(file), &missing))
}

// TestFormatNumber guards against removing trailing zeros of whole numbers along with those of fractions.
func TestFormatNumber(t *testing.T) {
	for value, want := range map[float64]string{0: "0", 410: "410", 100: "100", 63.5: "63.5", 20: "20", 1234.5: "1234", 0.36: "0.36", 0.00036: "0.00036"} {
		assert.Equal(t, formatNumber(value), want)
	}
}
