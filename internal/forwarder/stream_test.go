package forwarder

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
)

func resumableRoute() kernel.Route {
	resumable := route(kernel.RouteStream)
	resumable.Resumable = true
	return resumable
}

// TestFailureRelayedInsideStream guards against the failure of a later attempt ending up in a stream that an earlier
// attempt began, which the caller then takes for complete.
func TestFailureRelayedInsideStream(t *testing.T) {
	begun := streamHead + event("1") + "RESET"
	rest := streamHead + event("2") + lastChunk
	notFound := strings.Replace(failedAnswer, "500 Internal Server Error", "404 Not Found", 1)
	cases := []struct {
		name     string
		attempts int
		answers  []string
		body     string
		whole    bool
		sends    int
	}{
		{"failure", 2, []string{begun, failedAnswer, rest}, "id: 1\n\n", false, 2},
		{"failure, another attempt", 3, []string{begun, failedAnswer, rest}, "id: 1\n\nid: 2\n\n", true, 3},
		{"not found", 2, []string{begun, notFound, rest}, "id: 1\n\n", false, 2},
		{"two failures", 3, []string{begun, failedAnswer, failedAnswer, rest}, "id: 1\n\n", false, 3},
		{"full", 2, []string{begun, shedAnswer, rest}, "id: 1\n\n", false, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := newScriptedUpstream(t, c.answers...)
			base, server := startTestForwarder(t, configWithRoute(resumableRoute(), c.attempts), u)
			status, body, whole, _ := send(t, base, http.MethodPost, "/a/", "", callerHeader)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, body, c.body)
			assert.Equal(t, whole, c.whole)
			assert.Equal(t, server.sends, c.sends)
		})
	}
}
