package extrapolator

import (
	"context"
	"fmt"
)

const (
	roleClaims = "claim batcher"
	// claimRetention is the claimer's default retention, in seconds.
	claimRetention = secondsPerDay
	// exampleKeyedShare is the share of requests with an idempotency key in the example of the capacity page, since the
	// design doesn't specify one.
	exampleKeyedShare = 0.1
)

func reportClaims(ctx context.Context, r *Report, _ *sharedFigures) error {
	members, err := measureSizes([]int{10, 40, 80}, func(n int) (claimResult, error) { return measureClaims(ctx, n, 300) },
		func(c claimResult) float64 { return c.appends }, func(c claimResult) float64 { return c.latencyP95 },
		func(c claimResult) float64 { return c.cpu * 1e6 })
	if err != nil {
		return err
	}
	rates, err := measureSizes([]int{100, 300, 900}, func(n int) (claimResult, error) { return measureClaims(ctx, 20, float64(n)) },
		func(c claimResult) float64 { return c.appends })
	if err != nil {
		return err
	}
	replay, err := measureSizes([]int{10_000, 20_000, 50_000}, func(n int) (claimReplayResult, error) { return measureClaimReplay(ctx, n) },
		func(k claimReplayResult) float64 { return k.memory }, func(k claimReplayResult) float64 { return k.cpu * 1e6 },
		func(k claimReplayResult) float64 { return k.bytes })
	if err != nil {
		return err
	}
	keyedRate := exampleKeyedShare * scaleRequestsPerSecond
	claims := keyedRate * claimRetention
	r.addMeasure(roleClaims, "appends a second, 300 keyed requests/s", "/s", "members", scaleNodes, members[0])
	wait := r.addMeasure(roleClaims, "time of a claim, 95 in 100, 300 keyed requests/s", "s", "members", scaleNodes, members[1])
	r.addMeasure(roleClaims, "CPU of a claim in all members together", "us", "members", scaleNodes, members[2])
	r.addMeasure(roleClaims, "appends a second, 20 members", "/s", "keyed requests/s", keyedRate, rates[0])
	memory := r.addMeasure(roleClaims, "memory of claims kept, without results", "B", "claims", claims, replay[0])
	cpu := r.addMeasure(roleClaims, "CPU of reading claims", "us", "claims", keyedRate, replay[1])
	bytes := r.addMeasure(roleClaims, "bytes of claims in full batches", "B", "claims", keyedRate, replay[2])
	window := float64(scaleNodes) / maxClaimAppends
	r.Roles = append(r.Roles, RoleSummary{
		Role: roleClaims,
		State: fmt.Sprintf("every node keeps every claim for a day: %s claims/s fit in the memory of a node, %s claims/s in its traffic (reckoned, without results)",
			formatNumber(budgetMemory/memory.Slope/claimRetention), formatNumber(budgetTraffic/bytes.Slope)),
		Messages: fmt.Sprintf("%.0f B a claim to every node, a result comes on top (up to 16 KiB); window of %s s in each node",
			bytes.Slope, formatNumber(window)),
		CPU:        fmt.Sprintf("%s us for reading a claim in each node; with %.0f keyed requests/s %s of a core", formatNumber(cpu.Slope), keyedRate, formatPercent(keyedRate*cpu.Slope/1e6)),
		Memory:     fmt.Sprintf("%.0f B for each claim kept", memory.Slope),
		Mechanism:  "claimer.flush, fold (claimer/flush.go, fold.go); window = members / 200 s (router/internal/assembler/control.go). The 8 batchers that take claims by RPC above 20 routers: not built",
		Bottleneck: "the wait for the window of a node, then memory and traffic: each of them grows with the keyed requests of the whole system, not of the node",
	})
	r.addCheck(roleClaims, "appends of the claim stream at most", "/s", maxClaimAppends, budgetAppends, Calculated, "")
	r.addCheck(roleClaims, "longest wait of a claim for its window", "s", window, budgetFirstToken, Calculated,
		"the 8 batchers of section 5 of the design (window of 40 ms), which are not built")
	r.addCheck(roleClaims, "time of a claim, 95 in 100, 300 keyed requests/s", "s", wait.At(scaleNodes), budgetFirstToken, Extrapolated, "the same")
	const shardRemedy = "keep a scope's claims only at the routers ranked for it (by hash), which answer the others by RPC, and read only that part of the log: one stream for each batcher; a shorter retention for keys of model work"
	r.addCheck(roleClaims, fmt.Sprintf("memory with %.0f%% of the requests keyed (example)", 100*exampleKeyedShare), "MB", memory.At(claims)/1e6, budgetMemory/1e6, Calculated, shardRemedy)
	r.addCheck(roleClaims, fmt.Sprintf("traffic of reading with %.0f%% of the requests keyed (example)", 100*exampleKeyedShare), "B/s", keyedRate*bytes.Slope, budgetTraffic, Calculated, shardRemedy)
	r.addCheck(roleClaims, fmt.Sprintf("CPU of reading with %.0f%% of the requests keyed (example)", 100*exampleKeyedShare), "core", keyedRate*cpu.Slope/1e6, budgetCPU, Calculated, shardRemedy)
	return nil
}
