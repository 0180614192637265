package extrapolator

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestWritePage guards against a run that damages the text around its tables, or leaves an earlier run's in place.
func TestWritePage(t *testing.T) {
	file := filepath.Join(t.TempDir(), "page.md")
	assert.NilError(t, os.WriteFile(file, []byte("before\n"+markerBegin+"\nold\n"+markerEnd+"\nafter\n"), 0o600))
	report := newReport()
	report.check("front", "figure", "B/s", 20, 10, Reckoned, "send less")
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

// TestNumber guards against zeros of a whole number that are cut off with those of a fraction.
func TestNumber(t *testing.T) {
	for value, want := range map[float64]string{0: "0", 410: "410", 100: "100", 63.5: "63.5", 20: "20", 1234.5: "1234", 0.36: "0.36", 0.00036: "0.00036"} {
		assert.Equal(t, number(value), want)
	}
}
