// Package prover reports the checker's verdicts on the cells of a proof: one line for each invariant and cell.
//
// The lines are read by scripts/proofs.sh, which counts them for each invariant.
package prover

import (
	"slices"
	"strings"

	"coltsfootplank/internal/checker"
)

// T is the part of *testing.T that a report needs.
type T interface {
	Helper()
	Logf(format string, args ...any)
	Errorf(format string, args ...any)
}

// Words of a cell line.
const (
	prefix   = "CELL"
	held     = "held"
	violated = "violated"
)

// Report judges a history and writes one line for each invariant that had cases in it. A violated invariant fails the
// test, and so does an expected one without cases: a cell that checks nothing proves nothing.
func Report(t T, cell string, history checker.History, bounds checker.Bounds, expected ...string) {
	t.Helper()
	for _, verdict := range checker.Check(history, bounds) {
		switch {
		case len(verdict.Violations) > 0:
			t.Errorf("%s %s %s %s: %s", prefix, verdict.Invariant, violated, cell, strings.Join(verdict.Violations, "; "))
		case verdict.Cases > 0:
			t.Logf("%s %s %s %s (%d cases)", prefix, verdict.Invariant, held, cell, verdict.Cases)
		case slices.Contains(expected, verdict.Invariant):
			t.Errorf("%s %s %s %s: the cell has no case for it", prefix, verdict.Invariant, violated, cell)
		}
	}
}
