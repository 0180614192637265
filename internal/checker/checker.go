package checker

import (
	"fmt"
	"slices"
)

// Verdict is the result of checking one invariant. Cases is the number of cases that were checked; a verdict without
// cases proves nothing.
type Verdict struct {
	Invariant  string   `json:"invariant"`
	Title      string   `json:"title"`
	Cases      int      `json:"cases"`
	Violations []string `json:"violations,omitempty"`
}

// Held reports whether cases were checked and none violated the invariant.
func (v Verdict) Held() bool { return v.Cases > 0 && len(v.Violations) == 0 }

func (v *Verdict) addViolation(format string, args ...any) {
	v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
}

// rule checks one invariant.
type rule struct {
	invariant string
	title     string
	check     func(History, Bounds, *Verdict)
}

var rules = []rule{
	{"P1", "a request is dispatched at most once", checkDispatchedOnce},
	{"P2", "a higher tier is never shed before a lower one", checkTierOrder},
	{"P3", "every caller gets the whole answer to its own request", checkWholeAnswers},
	{"P4", "a request that was refused as not run did not run", checkNotRun},
	{"P5", "non-idempotent work runs at most once for a key", checkKeyedOnce},
	{"P6", "a leaving upstream gets no new work", checkLeaving},
	{"P7", "a planned stop cuts off no request", checkPlannedStops},
	{"P8", "an accepted catalogue change is in force everywhere and never reverts", checkCatalogue},
}

// Check checks a history against all invariants and returns one verdict for each, in the order P1 to P8.
func Check(history History, bounds Bounds) []Verdict {
	verdicts := make([]Verdict, 0, len(rules))
	for _, rule := range rules {
		verdict := Verdict{Invariant: rule.invariant, Title: rule.title}
		rule.check(history, bounds, &verdict)
		slices.Sort(verdict.Violations)
		verdicts = append(verdicts, verdict)
	}
	return verdicts
}
