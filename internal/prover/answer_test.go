package prover_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/checker"
	"coltsfootplank/internal/kernel"
)

// TestShortStreamFound guards against a proof that takes a short stream for a whole one because it believes the total that
// the router gives.
func TestShortStreamFound(t *testing.T) {
	cases := []struct {
		name          string
		tokens, total int
		held          bool
	}{
		{"whole", 3, 3, true},
		{"short, with the upstream's total", 1, 3, false},
		{"short, with the total of the relayed tokens", 1, 1, false},
		{"whole, with another total", 3, 5, false},
		{"empty", 0, 0, false},
		{"long", 4, 4, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			answer := newCallerAnswer(&router{ctx: context.Background()}, checker.Answer{RequestID: "r", Stream: true}, 3)
			for index := range c.tokens {
				assert.NilError(t, answer.Token(kernel.Frame{StreamID: "r", Index: index}))
			}
			assert.NilError(t, answer.Finish(c.total))
			for _, verdict := range checker.Check(checker.History{Answers: []checker.Answer{answer.reply}}, checker.DefaultBounds()) {
				if verdict.Invariant == "P3" {
					assert.Equal(t, verdict.Held(), c.held, "%v", verdict)
				}
			}
		})
	}
}
