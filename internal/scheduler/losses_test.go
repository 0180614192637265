package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/protocol"
)

// TestLosses guards against an engine that resets all its connections, therefore always has free slots, and so gets one
// request after another. It also guards against excluding most engines of a pool in which every engine loses some
// answers.
func TestLosses(t *testing.T) {
	const (
		engines         = 4
		requests        = 400
		requestInterval = 10 * time.Millisecond
	)
	cases := []struct {
		name string
		// lost reports whether an engine loses the answer to its nth request.
		lost        func(engine string, n int) bool
		least, most int
	}{
		{"none", func(string, int) bool { return false }, 0, 0},
		{"one engine loses all answers", func(engine string, _ int) bool { return engine == "e0" }, lossesToExclude, 8},
		{"each engine loses every other answer", func(_ string, n int) bool { return n%2 == 0 }, requests / 3, requests * 2 / 3},
		{"all engines lose all answers", func(string, int) bool { return true }, requests, requests},
	}
	for _, k := range cases {
		c := newTestCell(engines, 2, func(s *Settings) { s.ProbeAfter = time.Second })
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
			c.now = c.now.Add(requestInterval)
		}
		assert.Assert(t, lost >= k.least && lost <= k.most, "%s: %d lost", k.name, lost)
	}
}
