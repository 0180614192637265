package extrapolator

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/claimer"
	"coltsfootplank/internal/fakes"
)

const (
	// claimDuration is how long claims are sent at each rate.
	claimDuration = 4 * time.Second
	// maxClaimAppends is the limit of appends per second that the routers share
	// (claimAppendsPerSecond in router/internal/assembler/control.go).
	maxClaimAppends = 200
	// claimBatchSize is the number of claims per log record when claims are replayed, the claimer's largest batch.
	claimBatchSize = 200
)

// claimResult is the result at one number of members and one rate: appends per second, the 95th percentile of the time
// of a claim in seconds, and the CPU seconds that one claim takes in all members together.
type claimResult struct {
	appends    float64
	latencyP95 float64
	cpu        float64
}

// measureClaims claims keys at the given total rate through members that share an in-memory log.
func measureClaims(ctx context.Context, members int, rate float64) (claimResult, error) {
	var result claimResult
	log := fakes.NewLog()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	claimers := make([]*claimer.Claimer, members)
	for i := range claimers {
		options := claimer.Options{BatchWindow: time.Duration(members) * time.Second / maxClaimAppends}
		c := claimer.New(log, claimer.Identity{Router: memberName(i), Incarnation: 1}, options, zap.NewNop())
		claimers[i] = c
		group.Go(func() error { _ = c.Run(ctx); return nil })
	}
	if err := waitUntil(10*time.Millisecond, 10*time.Second, "all claimers can read the log", func() bool {
		return !slices.ContainsFunc(claimers, func(c *claimer.Claimer) bool { return !c.Healthy() })
	}); err != nil {
		return result, err
	}
	var mu sync.Mutex
	var latencies []float64
	var calls errgroup.Group
	before := log.Appends()
	c, err := measureCost(func() error {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer ticker.Stop()
		for i := range int(rate * claimDuration.Seconds()) {
			<-ticker.C
			calls.Go(func() error {
				start := time.Now()
				scope := claimer.Scope{Workspace: "w", Work: "booking", Key: fmt.Sprintf("key-%d", i)}
				if _, err := claimers[i%members].Claim(ctx, scope, memberName(i)); err != nil {
					return err
				}
				mu.Lock()
				defer mu.Unlock()
				latencies = append(latencies, time.Since(start).Seconds())
				return nil
			})
		}
		return calls.Wait()
	})
	if err != nil {
		return result, err
	}
	slices.Sort(latencies)
	result.appends = float64(log.Appends()-before) / c.wall.Seconds()
	result.latencyP95 = latencies[len(latencies)*95/100]
	result.cpu = c.cpu.Seconds() / float64(len(latencies))
	cancel()
	return result, group.Wait()
}

// claimReplayResult is the cost of a number of claims for a router that reads them, for all claims together: memory in
// bytes, CPU in seconds and the size of the log records in bytes.
type claimReplayResult struct {
	memory float64
	cpu    float64
	bytes  float64
}

// measureClaimReplay measures a claimer that reads claims without results from the log.
func measureClaimReplay(ctx context.Context, claims int) (claimReplayResult, error) {
	var result claimReplayResult
	log := fakes.NewLog()
	for first := 0; first < claims; first += claimBatchSize {
		entries := make([]map[string]any, 0, claimBatchSize)
		for i := first; i < min(first+claimBatchSize, claims); i++ {
			entries = append(entries, map[string]any{
				"kind": "claim", "scope_hash": fmt.Sprintf("%032x", uint64(i+1)*0x9e3779b97f4a7c15),
				"claim_id": fmt.Sprintf("01900000-0000-4000-8000-%012d", i), "fingerprint": uint64(i+1) * 0x9e3779b97f4a7c15,
				"request_id": fmt.Sprintf("01900000-0000-7000-8000-%012d", i),
			})
		}
		data, err := json.Marshal(map[string]any{
			"router": memberName(1), "incarnation": 1, "unix_ms": time.Now().UnixMilli(), "entries": entries,
		})
		if err != nil {
			return result, Error.Wrap(err)
		}
		if _, err := log.Append(ctx, claimer.Stream, data); err != nil {
			return result, err
		}
		result.bytes += float64(len(data))
	}
	base := memoryInUse()
	c := claimer.New(log, claimer.Identity{Router: "reader", Incarnation: 1}, claimer.Options{}, zap.NewNop())
	runCtx, cancel := context.WithCancel(ctx)
	var group errgroup.Group
	read, err := measureCost(func() error {
		group.Go(func() error { _ = c.Run(runCtx); return nil })
		// Claim returns after the claimer has read its own record back, and so all records before it.
		last := claimer.Scope{Workspace: "w", Work: "booking", Key: "last"}
		_, err := c.Claim(ctx, last, "last")
		for err != nil && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
			_, err = c.Claim(ctx, last, "last")
		}
		return err
	})
	result.cpu, result.memory = read.cpu.Seconds(), memoryInUse()-base
	cancel()
	_ = group.Wait() // Run ends because its context was cancelled, which is no failure.
	return result, err
}
