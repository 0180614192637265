package holder

import (
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/dispatcher"
	"coltsfootplank/internal/kernel"
)

// TestFailureOfResume guards against a second dispatch of a request whose stream began and whose resume reached no
// engine, and against "failed" for one whose resume was rejected.
func TestFailureOfResume(t *testing.T) {
	cases := []struct {
		tokens int
		cause  error
		code   Code
	}{
		{3, &kernel.NotSentError{}, CodeStreamTruncated},
		{3, &kernel.RejectedError{}, CodeStreamTruncated},
		{0, &kernel.NotSentError{}, CodeUpstreamLost},
		{0, &kernel.RejectedError{}, CodeUpstreamLost},
	}
	for _, c := range cases {
		got := failure(&dispatcher.TruncatedError{StreamID: "a", Tokens: c.tokens, Cause: c.cause})
		assert.Assert(t, !got.notSent && got.refusal != nil, "%T", c.cause)
		assert.Equal(t, got.refusal.Outcome, OutcomeUnknown)
		assert.Equal(t, got.refusal.Code, c.code)
	}
}
