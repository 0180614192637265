package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/protocol"
)

// TestConnections guards against a new connection for a request that could use an idle one, against relying on a
// connection that was closed or is in use, and against queueing on a busy engine only because a connection to it
// exists.
func TestConnections(t *testing.T) {
	cases := []struct {
		name   string
		holder string
		idle   time.Duration
		// busy is the number of requests in flight on the engine with the connection.
		busy int
		want string
	}{
		{"idle connection", "h", 0, 0, "e2"},
		{"another holder", "other", 0, 0, "e0"},
		{"closed meanwhile", "h", time.Minute, 0, "e0"},
		{"in use, engine busy", "h", 0, 1, "e0"},
	}
	for _, k := range cases {
		c := newTestCell(3, 4, func(s *Settings) { s.ConnectionCost = 150 * time.Millisecond })
		var grants [3]*protocol.Grant
		submit := func(holder string) *protocol.Grant {
			c.Submit(c.now, holder, c.ticket(0, "a"))
			granted, _ := c.step()
			return granted[0]
		}
		for i, holder := range []string{"g", "g", "h"} {
			grants[i] = submit(holder)
		}
		assert.Equal(t, grants[2].Engine, "e2")
		for i, holder := range []string{"g", "g", "h"} {
			c.Release(c.now, holder, &protocol.Release{RequestId: grants[i].RequestId, Engine: grants[i].Engine,
				Kind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED})
		}
		c.now = c.now.Add(k.idle)
		for range k.busy {
			assert.Equal(t, submit(k.holder).Engine, "e2", k.name)
		}
		assert.Equal(t, submit(k.holder).Engine, k.want, k.name)
	}
}
