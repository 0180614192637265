package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRouterMovedFromStandIn guards against a scheduler that isn't ranked first and grants the part of a router for seconds after that has
// gone back to the first one, which grants it too.
func TestRouterMovedFromStandIn(t *testing.T) {
	now := time.Now()
	for _, row := range []struct {
		first bool
		since time.Duration
		sends bool
	}{
		{false, 100 * time.Millisecond, true}, {false, 500 * time.Millisecond, false},
		{true, 500 * time.Millisecond, true}, {true, 3 * time.Second, false},
	} {
		c := &cell{presence: presence{first: row.first}}
		h := &holder{ticketAt: now.Add(-row.since)}
		assert.Check(t, h.sendsTickets(now, c.ticketInterval()) == row.sends, "%+v", row)
	}
}
