package commander

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

const settingsTemplate = `routers: [%[1]q]
stats: [%[1]q]
phases: [{duration: 200ms, rate: 100}]
workspaces: [{name: forge, key: k, weight: 1}]
works:
- {name: brief, kind: stream, tier: 1, weight: 1, model: m, prompt_tokens: 10, output_tokens: 12, exact_output: true}
- {name: lookup, kind: unary, tier: 0, weight: 1, method: GET, path: /v1/status}
`

// router answers stream requests with 12 tokens, without the final [DONE] event if broken is set. At each read, its
// statistics report one more duplicate stream.
func router(broken bool) http.HandlerFunc {
	var readings atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/control/stats" {
			_, _ = fmt.Fprintf(w, `{"totals":{},"duplicate_streams":%d}`, readings.Add(1))
			return
		}
		w.Header().Set("X-Request-Id", "r")
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, `{"state":"ready"}`)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range 12 {
			_, _ = fmt.Fprintf(w, "data: {\"id\":\"r\",\"index\":%d,\"choices\":[{\"delta\":{\"content\":\"t%d\"}}]}\n\n", i, i)
		}
		if !broken {
			_, _ = io.WriteString(w, "data: {\"id\":\"r\",\"index\":12,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
		}
	}
}

// TestCommands guards against lost answers that don't change the exit code, and against sample output without the end of
// an answer.
func TestCommands(t *testing.T) {
	cases := []struct {
		name, line string
		broken     bool
		code       int
		out        []string
	}{
		{"table", "run --max-lost 0 --min-goodput 1", false, exitSuccess, []string{"goodput", "100.0%", "lost 0"}},
		{"json", "run --json", false, exitSuccess, []string{`"goodput": 1`}},
		{"loss", "run --max-lost 0", true, exitBound, []string{"lost: tier 1 connection_lost"}},
		{"run twice", "run --max-twice 0", false, exitBound, []string{"run twice 1"}},
		{"loss allowed", "run", true, exitSuccess, []string{"connection_lost"}},
		{"low goodput", "run --min-goodput 1", true, exitBound, []string{"goodput"}},
		{"sample", "sample", false, exitSuccess, []string{"== brief (tier 1)", `"t0"`, "lines left out", "data: [DONE]", "== lookup", `{"state":"ready"}`}},
		{"broken sample", "sample", true, exitBound, []string{"no end mark"}},
	}
	for _, c := range cases {
		server := httptest.NewServer(router(c.broken))
		file := filepath.Join(t.TempDir(), "load.yaml")
		assert.NilError(t, os.WriteFile(file, fmt.Appendf(nil, settingsTemplate, server.Listener.Addr()), 0o600))
		var out, diagnostics bytes.Buffer
		code := Run(t.Context(), append(strings.Fields(c.line), "--settings", file), &out, &diagnostics)
		server.Close()
		assert.Equal(t, code, c.code, "%s: %s%s", c.name, out.String(), diagnostics.String())
		for _, want := range c.out {
			assert.Assert(t, strings.Contains(out.String(), want), "%s: %q is missing in %s", c.name, want, out.String())
		}
	}
}

// TestExitCodes guards against an invalid settings file or command line that has the same exit code as a failed load.
func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	assert.NilError(t, os.WriteFile(bad, []byte("router: []\n"), 0o600))
	cases := []struct {
		line string
		want int
	}{
		{"", exitUsage}, {"run", exitUsage}, {"run --settings " + bad, exitSettings},
		{"run --settings " + bad + ".none", exitFailure}, {"--help", exitSuccess},
	}
	for _, c := range cases {
		var diagnostics bytes.Buffer
		assert.Equal(t, Run(t.Context(), strings.Fields(c.line), io.Discard, &diagnostics), c.want, c.line)
		assert.Assert(t, strings.Count(diagnostics.String(), "\n") <= 1, diagnostics.String())
	}
}

// TestMeasure guards against a measurement that doesn't run, and against success with an unknown name.
func TestMeasure(t *testing.T) {
	var out, diagnostics bytes.Buffer
	code := Run(t.Context(), []string{"measure", "--only", "shares", "--json"}, &out, &diagnostics)
	assert.Equal(t, code, exitSuccess, diagnostics.String())
	assert.Assert(t, strings.Contains(out.String(), `"seed": 1`), out.String())
	assert.Equal(t, Run(t.Context(), []string{"measure", "--only", "none"}, io.Discard, io.Discard), exitFailure)
}
