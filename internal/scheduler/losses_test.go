package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/protocol"
)

// TestLosses guards against an engine that resets all its connections and gets request after request, since it always has free
// slots, and against a pool that is emptied where all engines lose answers now and then.
func TestLosses(t *testing.T) {
	const (
		engines  = 4
		requests = 400
		between  = 10 * time.Millisecond
	)
	cases := []struct {
		name string
		// lost says whether an engine loses the answer of its nth request.
		lost        func(engine string, n int) bool
		least, most int
	}{
		{"none", func(string, int) bool { return false }, 0, 0},
		{"one engine loses all", func(engine string, _ int) bool { return engine == "e0" }, lossesToExclude, 8},
		{"each loses every other", func(_ string, n int) bool { return n%2 == 0 }, requests / 3, requests * 2 / 3},
		{"all lose all", func(string, int) bool { return true }, requests, requests},
	}
	for _, k := range cases {
		c := newCell(engines, 2, func(s *Settings) { s.ProbeAfter = time.Second })
		served := make(map[string]int)
		lost := 0
		for range requests {
			c.submit(1, 0, "a")
			grants, refusals := c.step()
			assert.Equal(t, len(grants), 1, k.name)
			assert.Equal(t, len(refusals), 0, k.name)
			g := grants[0]
			served[g.Engine]++
			if k.lost(g.Engine, served[g.Engine]) {
				lost++
				c.finish(g, protocol.ReleaseKind_RELEASE_KIND_LOST, 0)
			} else {
				c.answer(g, 100, 100)
			}
			c.now = c.now.Add(between)
		}
		assert.Assert(t, lost >= k.least && lost <= k.most, "%s: %d lost", k.name, lost)
	}
}
