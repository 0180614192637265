package extrapolator

import (
	"context"
	"fmt"
)

const roleFront = "caller front"

func reportFront(ctx context.Context, r *Report, _ *sharedFigures) error {
	tokens := []int{1, 64, 256, 1024}
	perRequest := scaleTokensPerSecond / scaleRequestsPerSecond
	inMemory, err := measureSizes(tokens, func(n int) (frontResult, error) { return measureFront(ctx, n) },
		func(f frontResult) float64 { return f.cpu * 1e6 }, func(f frontResult) float64 { return f.allocs })
	if err != nil {
		return err
	}
	network, err := measureSizes(tokens, func(n int) (frontResult, error) { return measureFrontNetwork(ctx, n) },
		func(f frontResult) float64 { return f.cpu * 1e6 })
	if err != nil {
		return err
	}
	held, err := measureSizes([]int{250, 1000, 2000}, func(n int) (float64, error) { return measureHeldRequests(ctx, n) },
		func(bytes float64) float64 { return bytes })
	if err != nil {
		return err
	}
	cpu := r.addMeasure(roleFront, "CPU of a request, without the network", "us", "tokens", perRequest, inMemory[0])
	allocs := r.addMeasure(roleFront, "allocations of a request", "", "tokens", perRequest, inMemory[1])
	loopback := r.addMeasure(roleFront, "CPU of a request with loopback connections, client included", "us", "tokens", perRequest, network[0])
	perNode := scaleRequestsPerSecond / scaleNodes
	// A request waits for a slot no longer than the bound on the time to the first token, unless the pool is too small.
	heldRequests := perNode * (budgetFirstToken + perRequest*maxTokenGap)
	memory := r.addMeasure(roleFront, "memory of held requests", "B", "requests", heldRequests, held[0])
	tokensPerCore, loopbackTokensPerCore := 1e6/(cpu.At(perRequest)/perRequest), 1e6/(loopback.At(perRequest)/perRequest)
	r.Roles = append(r.Roles, RoleSummary{
		Role:     roleFront,
		State:    fmt.Sprintf("%.0f requests held in a node (reckoned: %s requests/s, each for %s s)", heldRequests, formatNumber(perNode), formatNumber(heldRequests/perNode)),
		Messages: fmt.Sprintf("%.0f tokens/s to callers in a node (reckoned)", scaleTokensPerSecond/scaleNodes),
		CPU: fmt.Sprintf("%s us a request and %s us a token without the network, %s us a token with loopback connections and the client; %.0f and %.0f tokens/s per core; %s allocations a request and %s a token; %s of a core in a node (data path, not control)",
			formatNumber(cpu.Intercept), formatNumber(cpu.Slope), formatNumber(loopback.Slope), tokensPerCore, loopbackTokensPerCore,
			formatNumber(allocs.Intercept), formatNumber(allocs.Slope), formatPercent(perNode*loopback.At(perRequest)/1e6)),
		Memory:     fmt.Sprintf("%.0f B for each held request; %s MB in a node", memory.Slope, formatNumber(memory.At(heldRequests)/1e6)),
		Mechanism:  "receiver.chat, holder.Serve, dispatcher.Stream (receiver/chat.go, holder/serve.go, dispatcher/stream.go)",
		Bottleneck: "CPU for each token: one JSON event, one write and one flush for every token (receiver/answer.go)",
	})
	r.addCheck(roleFront, "memory of held requests", "MB", memory.At(heldRequests)/1e6, budgetMemory/1e6, Calculated, "stream the body to the engine instead of keeping it")
	return nil
}

// maxTokenGap is the upper bound of the time between two tokens, in seconds.
const maxTokenGap = 0.075

func formatPercent(share float64) string { return formatNumber(100*share) + "%" }
