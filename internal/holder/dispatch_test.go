package holder

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/dispatcher"
	"coltsfootplank/internal/kernel"
)

// TestFailure guards against a prompt that is sent again, or called failed, because the last resume of its truncated
// stream was refused.
func TestFailure(t *testing.T) {
	notSent, rejected := &kernel.NotSentError{Cause: io.EOF}, &kernel.RejectedError{Status: 503}
	cases := []struct {
		name    string
		err     error
		notSent bool
		state   State
		code    Code
	}{
		{"not sent", notSent, true, Waiting, ""},
		{"rejected", rejected, false, Failed, CodeUpstreamFailed},
		{"lost", &kernel.LostError{Cause: io.EOF}, false, Unknown, CodeUpstreamLost},
		{"caller gone", &dispatcher.CallerGoneError{Cause: notSent}, false, Unknown, CodeCallerGone},
		{"resume refused", &dispatcher.TruncatedError{Tokens: 3, Cause: notSent}, false, Unknown, CodeStreamTruncated},
		{"resume refused before the first token", &dispatcher.TruncatedError{Cause: notSent}, false, Unknown, CodeUpstreamLost},
		{"resume rejected", &dispatcher.TruncatedError{Tokens: 3, Cause: rejected}, false, Unknown, CodeStreamTruncated},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			result := failure(c.err)
			assert.Equal(t, result.notSent, c.notSent)
			assert.Equal(t, result.state, c.state)
			if c.code != "" {
				assert.Equal(t, result.refusal.Code, c.code)
			}
		})
	}
}
