package extrapolator

import (
	"context"
	"fmt"
)

const (
	roleClaims = "claim batcher"
	// claimRetention is the claimer's default, in seconds.
	claimRetention = secondsPerDay
	// keyedExample is the share of requests with a key in the example of the page; the design page gives none.
	keyedExample = 0.1
)

func reportClaims(ctx context.Context, r *Report, _ *figures) error {
	members, err := sizes([]int{10, 40, 80}, func(n int) (claimRun, error) { return runClaims(ctx, n, 300) },
		func(c claimRun) float64 { return c.appends }, func(c claimRun) float64 { return c.wait },
		func(c claimRun) float64 { return c.cpu * 1e6 })
	if err != nil {
		return err
	}
	rates, err := sizes([]int{100, 300, 900}, func(n int) (claimRun, error) { return runClaims(ctx, 20, float64(n)) },
		func(c claimRun) float64 { return c.appends })
	if err != nil {
		return err
	}
	kept, err := sizes([]int{10_000, 20_000, 50_000}, func(n int) (keptRun, error) { return runKept(ctx, n) },
		func(k keptRun) float64 { return k.memory }, func(k keptRun) float64 { return k.cpu * 1e6 },
		func(k keptRun) float64 { return k.bytes })
	if err != nil {
		return err
	}
	keyed := keyedExample * scaleRequests
	claims := keyed * claimRetention
	r.add(roleClaims, "appends a second, 300 keyed requests/s", "/s", "members", scaleNodes, members[0])
	wait := r.add(roleClaims, "time of a claim, 95 in 100, 300 keyed requests/s", "s", "members", scaleNodes, members[1])
	r.add(roleClaims, "CPU of a claim in all members together", "us", "members", scaleNodes, members[2])
	r.add(roleClaims, "appends a second, 20 members", "/s", "keyed requests/s", keyed, rates[0])
	memory := r.add(roleClaims, "memory of claims kept, without results", "B", "claims", claims, kept[0])
	cpu := r.add(roleClaims, "CPU of reading claims", "us", "claims", keyed, kept[1])
	bytes := r.add(roleClaims, "bytes of claims in full batches", "B", "claims", keyed, kept[2])
	window := float64(scaleNodes) / claimAppends
	r.Parts = append(r.Parts, Part{
		Role: roleClaims,
		State: fmt.Sprintf("every node keeps every claim for a day: %s claims/s fit in the memory of a node, %s claims/s in its traffic (reckoned, without results)",
			number(budgetMemory/memory.Slope/claimRetention), number(budgetTraffic/bytes.Slope)),
		Messages: fmt.Sprintf("%.0f B a claim to every node, a result comes on top (up to 16 KiB); window of %s s in each node",
			bytes.Slope, number(window)),
		CPU:       fmt.Sprintf("%s us for reading a claim in each node; with %.0f keyed requests/s %s of a core", number(cpu.Slope), keyed, percent(keyed*cpu.Slope/1e6)),
		Memory:    fmt.Sprintf("%.0f B for each claim kept", memory.Slope),
		Mechanism: "claimer.flush, fold (claimer/flush.go, fold.go); window = members / 200 s (router/internal/assembler/control.go). The 8 batchers that take claims by RPC above 20 routers: not built",
		GivesWay:  "the wait for the window of a node, then memory and traffic: each of them grows with the keyed requests of the whole system, not of the node",
	})
	r.check(roleClaims, "appends of the claim stream at most", "/s", claimAppends, budgetAppends, Reckoned, "")
	r.check(roleClaims, "longest wait of a claim for its window", "s", window, budgetFirstToken, Reckoned,
		"the 8 batchers of section 5 of the design (window of 40 ms), which are not built")
	r.check(roleClaims, "time of a claim, 95 in 100, 300 keyed requests/s", "s", wait.At(scaleNodes), budgetFirstToken, Extrapolated, "the same")
	const shard = "keep a scope's claims only at the routers ranked for it (by hash), which answer the others by RPC, and read only that part of the log: one stream for each batcher; a shorter retention for keys of model work"
	r.check(roleClaims, fmt.Sprintf("memory with %.0f%% of the requests keyed (example)", 100*keyedExample), "MB", memory.At(claims)/1e6, budgetMemory/1e6, Reckoned, shard)
	r.check(roleClaims, fmt.Sprintf("traffic of reading with %.0f%% of the requests keyed (example)", 100*keyedExample), "B/s", keyed*bytes.Slope, budgetTraffic, Reckoned, shard)
	r.check(roleClaims, fmt.Sprintf("CPU of reading with %.0f%% of the requests keyed (example)", 100*keyedExample), "core", keyed*cpu.Slope/1e6, budgetCPU, Reckoned, shard)
	return nil
}
