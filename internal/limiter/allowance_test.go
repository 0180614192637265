package limiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/cataloguer"
)

// TestAllowance guards against a workspace that uses more than its allowance in a window, also across the change of the
// scheduler, and against waits that aren't long enough.
func TestAllowance(t *testing.T) {
	limit := cataloguer.Allowance{Rate: 1000, Burst: 2000}
	const window, charge = 8, 150
	cases := []struct {
		name string
		// changes are the seconds at which another scheduler takes over.
		changes []int
		bound   float64
	}{
		{"one scheduler", nil, limit.Rate*window + limit.Burst},
		{"taken over once", []int{4}, (limit.Rate*window + limit.Burst) * 1.1},
	}
	for _, c := range cases {
		a := NewAllowances(start)
		used := 0.0
		for ms := range window * 1000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for _, second := range c.changes {
				if ms == second*1000 {
					a = NewAllowances(now)
				}
			}
			wait, ok := a.Take(now, "w", limit, charge)
			if ok {
				used += charge
				continue
			}
			assert.Assert(t, wait > 0 && wait <= time.Second)
		}
		assert.Assert(t, used <= c.bound, "%s: %v", c.name, used)
		assert.Assert(t, used >= limit.Rate*window, "%s: %v", c.name, used)
	}
}

// TestAllowanceRefund guards against requests that didn't run using up the allowance, and against a limit for workspaces
// without one.
func TestAllowanceRefund(t *testing.T) {
	a := NewAllowances(start)
	limit := cataloguer.Allowance{Rate: 1, Burst: 1000}
	for range 5 {
		_, ok := a.Take(start, "w", limit, 300)
		assert.Assert(t, ok)
		a.Refund("w", 300)
	}
	_, ok := a.Take(start, "w", limit, 300)
	assert.Assert(t, ok)
	_, ok = a.Take(start, "w", limit, 300)
	assert.Assert(t, !ok)
	_, ok = a.Take(start, "free", cataloguer.Allowance{}, 1e9)
	assert.Assert(t, ok)
}

// TestRepeats guards against more repeats than the budget of all routers together.
func TestRepeats(t *testing.T) {
	r := NewRepeats(RepeatSettings{Ratio: 0.2, Slack: 40, Routers: func() int { return 10 }})
	taken := 0
	for range 1000 {
		r.Request("s")
		for range 3 {
			if r.Take("s") {
				taken++
			}
		}
	}
	assert.Assert(t, taken <= 1000*2/10+40/10, "%d repeats", taken)
	assert.Assert(t, taken >= 1000/10, "%d repeats", taken)
	assert.Assert(t, r.Take("other"))
}
