package checker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/recorder"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// TestCheck guards against a checker that misses a violation or reports one where there is none.
func TestCheck(t *testing.T) {
	shed := recorder.Event{At: at(2), Kind: recorder.Refused, RequestID: "high", Tier: 0, Code: "overloaded"}
	cases := []struct {
		name      string
		invariant string
		history   History
		held      bool
	}{
		{"one run", "P1", History{Runs: []Run{{RequestID: "a"}}}, true},
		{"two runs", "P1", History{Runs: []Run{{RequestID: "a"}, {RequestID: "a"}}}, false},
		{"returned dispatch", "P1", History{
			Runs: []Run{{RequestID: "a"}},
			Events: []recorder.Event{
				{Kind: recorder.Dispatched, RequestID: "a"}, {Kind: recorder.Returned, RequestID: "a"},
				{Kind: recorder.Dispatched, RequestID: "a"},
			},
		}, true},
		{"dispatched twice", "P1", History{
			Runs: []Run{{RequestID: "a"}},
			Events: []recorder.Event{
				{Kind: recorder.Dispatched, RequestID: "a"}, {Kind: recorder.Dispatched, RequestID: "a"},
			},
		}, false},
		{"lower tier queued before and after the refusal", "P2", History{
			Events: []recorder.Event{{At: at(1), Kind: recorder.Ticketed, RequestID: "low", Tier: 3}, shed}, Ended: at(9),
		}, false},
		{"lower tier refused earlier", "P2", History{
			Events: []recorder.Event{
				{At: at(1), Kind: recorder.Ticketed, RequestID: "low", Tier: 3},
				{At: at(1.5), Kind: recorder.Refused, RequestID: "low", Tier: 3, Code: "overloaded"}, shed,
			}, Ended: at(9),
		}, true},
		{"whole stream", "P3", History{Answers: []Answer{{Stream: true, Whole: true, Tokens: []int{0, 1}, Total: 2}}}, true},
		{"repeated token", "P3", History{Answers: []Answer{{Stream: true, Whole: true, Tokens: []int{0, 0}, Total: 2}}}, false},
		{"short stream", "P3", History{Answers: []Answer{{Stream: true, Whole: true, Tokens: []int{0}, Total: 2}}}, false},
		{"whole reply and refusal", "P3", History{Answers: []Answer{{Whole: true}, {RequestID: "b", Outcome: "unknown"}}}, true},
		{"end without refusal", "P3", History{
			Answers: []Answer{{Whole: true}, {RequestID: "b", Stream: true, Tokens: []int{0}}},
		}, false},
		{"malformed end", "P3", History{
			Answers: []Answer{{Whole: true}, {RequestID: "b", Stream: true, Outcome: "malformed", Tokens: []int{0}}},
		}, false},
		{"failed run", "P3", History{Answers: []Answer{{Whole: true}, {RequestID: "b", Outcome: "failed"}}}, true},
		{"not run after a token", "P3", History{
			Answers: []Answer{{Whole: true}, {RequestID: "b", Stream: true, Outcome: "not_run", Tokens: []int{0}}},
		}, false},
		{"foreign part", "P3", History{Answers: []Answer{{Whole: true, ForeignID: "b"}}}, false},
		{"refused and not run", "P4", History{Answers: []Answer{{RequestID: "a", Outcome: "not_run"}}}, true},
		{"refused but ran", "P4", History{
			Answers: []Answer{{RequestID: "a", Outcome: "not_run"}}, Runs: []Run{{RequestID: "a"}},
		}, false},
		{"repeat not run", "P5", History{
			Answers: []Answer{{RequestID: "a", Key: "k"}, {RequestID: "b", Key: "k"}}, Runs: []Run{{RequestID: "a"}},
		}, true},
		{"repeat ran", "P5", History{
			Answers: []Answer{{RequestID: "a", Key: "k"}, {RequestID: "b", Key: "k"}},
			Runs:    []Run{{RequestID: "a"}, {RequestID: "b"}},
		}, false},
		{"work within the grace period", "P6", History{
			MarkedLeaving: []MarkedLeaving{{At: at(0), Upstream: "e"}}, Runs: []Run{{At: at(4), Upstream: "e"}},
		}, true},
		{"work after the grace period", "P6", History{
			MarkedLeaving: []MarkedLeaving{{At: at(0), Upstream: "e"}}, Runs: []Run{{At: at(6), Upstream: "e"}},
		}, false},
		{"stop with all requests ended", "P7", History{
			Stops: []Stop{{Router: "r"}},
			Events: []recorder.Event{
				{Router: "r", Kind: recorder.Accepted, RequestID: "a"}, {Router: "r", Kind: recorder.Answered, RequestID: "a"},
			},
		}, true},
		{"stop with an unfinished request", "P7", History{
			Stops: []Stop{{Router: "r"}}, Events: []recorder.Event{{Router: "r", Kind: recorder.Accepted, RequestID: "a"}},
		}, false},
		{"change in force in time", "P8", History{
			Accepted: []Accepted{{At: at(0), Revision: 2, Digest: "x"}},
			InForce:  []InForce{{At: at(20), Router: "r", Revision: 2, Digest: "x"}},
		}, true},
		{"change late", "P8", History{
			Accepted: []Accepted{{At: at(0), Revision: 2, Digest: "x"}},
			InForce:  []InForce{{At: at(20), Router: "r", Revision: 1}},
		}, false},
		{"change reverted", "P8", History{
			Accepted: []Accepted{{At: at(0), Revision: 2, Digest: "x"}},
			InForce: []InForce{
				{At: at(1), Router: "r", Revision: 2, Digest: "x"}, {At: at(2), Router: "r", Revision: 1},
			},
		}, false},
		{"different content", "P8", History{
			Accepted: []Accepted{{At: at(0), Revision: 2, Digest: "x"}},
			InForce:  []InForce{{At: at(1), Router: "r", Revision: 2, Digest: "y"}},
		}, false},
	}
	for _, c := range cases {
		t.Run(c.invariant+"/"+c.name, func(t *testing.T) {
			for _, verdict := range Check(c.history, DefaultBounds()) {
				if verdict.Invariant == c.invariant {
					assert.Equal(t, verdict.Held(), c.held, "%v", verdict)
				}
			}
		})
	}
}

// TestCheckEmpty guards against a checker that reports an invariant as held for an empty history.
func TestCheckEmpty(t *testing.T) {
	for _, verdict := range Check(History{}, DefaultBounds()) {
		assert.Assert(t, !verdict.Held(), "%s", verdict.Invariant)
	}
}
