// Package prover reports the checker's verdicts on the test runs that together prove the invariants. Such a run is called
// a cell, after the cells of the fault matrix. Each cell has one line for each invariant, and scripts/proofs.sh counts
// these lines.
package prover

import (
	"slices"
	"strings"

	"coltsfootplank/internal/checker"
)

// T is the part of *testing.T that Report needs.
type T interface {
	Helper()
	Logf(format string, args ...any)
	Errorf(format string, args ...any)
}

// Words of a report line. scripts/proofs.sh matches them.
const (
	prefix   = "CELL"
	held     = "held"
	violated = "violated"
)

// Report checks a history and writes one line for each invariant that has cases in it. A violated invariant fails the
// test. An expected invariant without cases fails it too, because a cell without cases proves nothing.
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
