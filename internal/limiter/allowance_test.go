package limiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/cataloguer"
)

// TestAllowance guards against a workspace that uses more than its allowance in a window, also if another scheduler
// takes over, against a workspace that gets much less than its allowance, and against a wait of 0 or above one second.
func TestAllowance(t *testing.T) {
	limit := cataloguer.Allowance{Rate: 1000, Burst: 2000}
	const window, charge, length = 8, 150, 40
	allowed := limit.Rate*window + limit.Burst
	cases := []struct {
		name   string
		window time.Duration
		// changes contains the seconds at which another scheduler takes over.
		changes []int
		bound   float64
		// least is the minimum use in each full window after the first two.
		least float64
	}{
		{"one scheduler", 0, nil, allowed, limit.Rate * window * 0.9},
		{"taken over once", 0, []int{20}, allowed * 1.1, limit.Rate * window * 0.9},
		{"window", window * time.Second, nil, allowed, limit.Rate*window + limit.Burst/2},
		{"window, taken over once", window * time.Second, []int{20}, allowed * 1.1, limit.Rate * window * 0.9},
		{"window, taken over twice", window * time.Second, []int{20, 23}, allowed * 1.1, limit.Rate * window * 0.9},
	}
	for _, c := range cases {
		a := NewAllowances(start, c.window)
		var used [length * 10]float64
		for ms := range length * 1000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for _, second := range c.changes {
				if ms == second*1000 {
					a = NewAllowances(now, c.window)
				}
			}
			wait, ok := a.Take(now, "w", limit, charge)
			if ok {
				used[ms/100] += charge
				continue
			}
			assert.Assert(t, wait > 0 && wait <= time.Second, "%s: %v", c.name, wait)
		}
		for from := 0; from+window*10 <= len(used); from++ {
			sum := 0.0
			for _, units := range used[from : from+window*10] {
				sum += units
			}
			assert.Assert(t, sum <= c.bound, "%s, from %d: %v", c.name, from, sum)
			assert.Assert(t, from < 2*window*10 || sum >= c.least, "%s, from %d: %v", c.name, from, sum)
		}
	}
}

// TestAllowanceLowered guards against a workspace that gets nothing for a whole window after its limit was lowered.
func TestAllowanceLowered(t *testing.T) {
	const window = 8 * time.Second
	a := NewAllowances(start, window)
	high, low := cataloguer.Allowance{Rate: 10_000, Burst: 10_000}, cataloguer.Allowance{Rate: 1000, Burst: 3000}
	for ms := range 20_000 {
		a.Take(start.Add(time.Duration(ms)*time.Millisecond), "w", high, 100)
	}
	granted := 0
	for ms := range 2000 {
		if _, ok := a.Take(start.Add(20*time.Second+time.Duration(ms)*time.Millisecond), "w", low, 100); ok {
			granted++
		}
	}
	assert.Assert(t, granted >= 20, "%d granted", granted)
}

// TestAllowanceOfChangingCell guards against a workspace that uses much more than its allowance because the part of it that a
// cell may grant changes with each engine that comes or leaves.
func TestAllowanceOfChangingCell(t *testing.T) {
	const window = 8 * time.Second
	a := NewAllowances(start, window)
	used := make([]float64, 0, 6000)
	for step := range 6000 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		share := 1 - 0.02*float64(step/50%2)
		taken := 0.0
		// The workspace sends nothing in every other window.
		for step/800%2 == 1 {
			if _, ok := a.Take(now, "w", cataloguer.Allowance{Rate: 1000 * share, Burst: 2000 * share}, 10); !ok {
				break
			}
			taken += 10
		}
		used = append(used, taken)
	}
	steps := int(window / (10 * time.Millisecond))
	limit := 1000*window.Seconds() + 2000
	sum := 0.0
	for i, taken := range used {
		if sum += taken; i >= steps {
			sum -= used[i-steps]
		}
		assert.Assert(t, sum <= 1.1*limit, "%.0f of %.0f in the window that ends with step %d", sum, limit, i)
	}
}

// TestAllowanceRefund guards against an allowance that is used up by requests that weren't run, and against limiting
// workspaces that have no limit.
func TestAllowanceRefund(t *testing.T) {
	a := NewAllowances(start, 0)
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

// TestRepeatBudget guards against a router that repeats more than its share of the budget, or much less.
func TestRepeatBudget(t *testing.T) {
	r := NewRepeatBudget(RepeatBudgetSettings{Ratio: 0.2, Slack: 40, Routers: func() int { return 10 }})
	taken := 0
	for range 1000 {
		r.RecordRequest("s")
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
