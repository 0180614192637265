package runner

import (
	"context"
	"io"
	"math"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/loadgen/internal/planner"
	"coltsfootplank/loadgen/internal/sender"
)

func settings() *planner.Settings {
	s := planner.Defaults()
	s.Routers = []string{"127.0.0.1:1"}
	s.Phases = []planner.Phase{{Duration: 20 * time.Second, Rate: 50}}
	s.Workspaces = []planner.Workspace{{Name: "forge", Key: "k", Weight: 1}}
	s.Works = []planner.Work{{Name: "booking", Kind: planner.KindUnary, Method: "POST", Path: "/b", Weight: 1}}
	s.SettleTimeout = 10 * time.Second
	return &s
}

// TestOpenLoop guards against slow answers that delay later requests.
func TestOpenLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		worst := time.Duration(0)
		start := time.Now()
		var lines strings.Builder
		report := run(t.Context(), settings(), func(_ context.Context, request planner.Request, arrival time.Time) sender.Result {
			mu.Lock()
			worst = max(worst, time.Since(arrival))
			mu.Unlock()
			assert.Check(t, arrival.Equal(start.Add(request.At)))
			time.Sleep(5 * time.Second)
			return sender.Result{Outcome: sender.Good}
		}, &lines)
		assert.Assert(t, math.Abs(float64(report.Sent)-1000) < 5*math.Sqrt(1000), "%d", report.Sent)
		assert.Equal(t, report.Total.Good, report.Sent)
		assert.Equal(t, worst, time.Duration(0))
		assert.Assert(t, report.Seconds > 20 && report.Seconds <= 25)
		assert.Assert(t, strings.Count(lines.String(), "\n") >= 20)
	})
}

// TestMaxInFlight guards against an unbounded number of requests in flight, and against a report without the skipped
// requests.
func TestMaxInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := settings()
		s.MaxInFlight = 10
		report := run(t.Context(), s, func(context.Context, planner.Request, time.Time) sender.Result {
			time.Sleep(time.Second)
			return sender.Result{Outcome: sender.Good}
		}, io.Discard)
		assert.Assert(t, report.Sent <= 10*21, "%d", report.Sent)
		assert.Assert(t, report.Sent+report.Skipped > 800, "%d %d", report.Sent, report.Skipped)
	})
}

// TestSettle guards against waiting without a timeout for answers that never come, and against cancelling outstanding
// requests when the run is interrupted.
func TestSettle(t *testing.T) {
	cases := []struct {
		name      string
		answer    time.Duration
		interrupt time.Duration
		seconds   float64
		good      bool
	}{
		{"no answer", time.Hour, time.Hour, 30, false},
		{"interrupted", 4 * time.Second, 5 * time.Second, 9, true},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), c.interrupt)
			defer cancel()
			report := run(ctx, settings(), func(ctx context.Context, _ planner.Request, _ time.Time) sender.Result {
				select {
				case <-ctx.Done():
					return sender.Result{Outcome: sender.Unknown}
				case <-time.After(c.answer):
					return sender.Result{Outcome: sender.Good}
				}
			}, io.Discard)
			assert.Assert(t, math.Abs(report.Seconds-c.seconds) < 0.5, "%s: %v", c.name, report.Seconds)
			assert.Equal(t, report.Lost == 0, c.good, c.name)
		})
	}
}
