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
	// claimTime is how long one rate of claims is measured.
	claimTime = 4 * time.Second
	// claimAppends is the bound that the router divides among the members (router/internal/assembler/control.go).
	claimAppends = 200
	// batchClaims is the number of claims in a record of the memory measurement, the claimer's largest batch.
	batchClaims = 200
)

// claimRun is the result at one number of members and rate. Appends are per second; wait is the time that 95 of 100
// claims took, in seconds; cpu is in seconds for one claim in all members together.
type claimRun struct {
	appends float64
	wait    float64
	cpu     float64
}

// runClaims claims keys at a total rate through a number of members that share a log in memory.
func runClaims(ctx context.Context, members int, rate float64) (claimRun, error) {
	var run claimRun
	log := fakes.NewLog()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	claimers := make([]*claimer.Claimer, members)
	for i := range claimers {
		options := claimer.Options{BatchWindow: time.Duration(members) * time.Second / claimAppends}
		c := claimer.New(log, claimer.Identity{Router: memberName(i), Incarnation: 1}, options, zap.NewNop())
		claimers[i] = c
		group.Go(func() error { _ = c.Run(ctx); return nil })
	}
	if err := waitUntil(10*time.Millisecond, 10*time.Second, "all claimers read the log", func() bool {
		return !slices.ContainsFunc(claimers, func(c *claimer.Claimer) bool { return !c.Healthy() })
	}); err != nil {
		return run, err
	}
	var mu sync.Mutex
	var waits []float64
	var calls errgroup.Group
	before := log.Appends()
	c, err := spent(func() error {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer ticker.Stop()
		for i := range int(rate * claimTime.Seconds()) {
			<-ticker.C
			calls.Go(func() error {
				start := time.Now()
				scope := claimer.Scope{Workspace: "w", Work: "booking", Key: fmt.Sprintf("key-%d", i)}
				if _, err := claimers[i%members].Claim(ctx, scope, memberName(i)); err != nil {
					return err
				}
				mu.Lock()
				defer mu.Unlock()
				waits = append(waits, time.Since(start).Seconds())
				return nil
			})
		}
		return calls.Wait()
	})
	if err != nil {
		return run, err
	}
	slices.Sort(waits)
	run.appends = float64(log.Appends()-before) / c.wall.Seconds()
	run.wait = waits[len(waits)*95/100]
	run.cpu = c.cpu.Seconds() / float64(len(waits))
	cancel()
	return run, group.Wait()
}

// keptRun is what a number of claims cost a reader. All are for all claims together.
type keptRun struct {
	memory float64
	cpu    float64
	bytes  float64
}

// runKept lets a claimer read claims without results from the log.
func runKept(ctx context.Context, claims int) (keptRun, error) {
	var run keptRun
	log := fakes.NewLog()
	for first := 0; first < claims; first += batchClaims {
		entries := make([]map[string]any, 0, batchClaims)
		for i := first; i < min(first+batchClaims, claims); i++ {
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
			return run, Error.Wrap(err)
		}
		if _, err := log.Append(ctx, claimer.Stream, data); err != nil {
			return run, err
		}
		run.bytes += float64(len(data))
	}
	base := memory()
	c := claimer.New(log, claimer.Identity{Router: "reader", Incarnation: 1}, claimer.Options{}, zap.NewNop())
	runCtx, cancel := context.WithCancel(ctx)
	var group errgroup.Group
	read, err := spent(func() error {
		group.Go(func() error { _ = c.Run(runCtx); return nil })
		// A claim is answered once its own record was read back, after all the records before it.
		last := claimer.Scope{Workspace: "w", Work: "booking", Key: "last"}
		_, err := c.Claim(ctx, last, "last")
		for err != nil && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
			_, err = c.Claim(ctx, last, "last")
		}
		return err
	})
	run.cpu, run.memory = read.cpu.Seconds(), memory()-base
	cancel()
	_ = group.Wait() // the end of the context is no failure
	return run, err
}
