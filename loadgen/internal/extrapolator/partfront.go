package extrapolator

import (
	"context"
	"fmt"
)

const roleFront = "caller front"

func reportFront(ctx context.Context, r *Report, _ *figures) error {
	tokens := []int{1, 64, 256, 1024}
	perRequest := scaleTokens / scaleRequests
	inMemory, err := sizes(tokens, func(n int) (frontRun, error) { return runFront(ctx, n) },
		func(f frontRun) float64 { return f.cpu * 1e6 }, func(f frontRun) float64 { return f.allocs })
	if err != nil {
		return err
	}
	network, err := sizes(tokens, func(n int) (frontRun, error) { return runFrontNetwork(ctx, n) },
		func(f frontRun) float64 { return f.cpu * 1e6 })
	if err != nil {
		return err
	}
	held, err := sizes([]int{250, 1000, 2000}, func(n int) (float64, error) { return runHeld(ctx, n) },
		func(bytes float64) float64 { return bytes })
	if err != nil {
		return err
	}
	cpu := r.add(roleFront, "CPU of a request, without the network", "us", "tokens", perRequest, inMemory[0])
	allocs := r.add(roleFront, "allocations of a request", "", "tokens", perRequest, inMemory[1])
	wire := r.add(roleFront, "CPU of a request with loopback connections, client included", "us", "tokens", perRequest, network[0])
	perNode := scaleRequests / scaleNodes
	// Requests wait for a slot for at most the bound on the first token, else the pool is too small.
	heldRequests := perNode * (budgetFirstToken + perRequest*tokenTime)
	memory := r.add(roleFront, "memory of held requests", "B", "requests", heldRequests, held[0])
	tokensPerCore, wireTokens := 1e6/(cpu.At(perRequest)/perRequest), 1e6/(wire.At(perRequest)/perRequest)
	r.Parts = append(r.Parts, Part{
		Role:     roleFront,
		State:    fmt.Sprintf("%.0f requests held in a node (reckoned: %s requests/s, each for %s s)", heldRequests, number(perNode), number(heldRequests/perNode)),
		Messages: fmt.Sprintf("%.0f tokens/s to callers in a node (reckoned)", scaleTokens/scaleNodes),
		CPU: fmt.Sprintf("%s us a request and %s us a token without the network, %s us a token with loopback connections and the client; %.0f and %.0f tokens/s per core; %s allocations a request and %s a token; %s of a core in a node (data path, not control)",
			number(cpu.Intercept), number(cpu.Slope), number(wire.Slope), tokensPerCore, wireTokens,
			number(allocs.Intercept), number(allocs.Slope), percent(perNode*wire.At(perRequest)/1e6)),
		Memory:    fmt.Sprintf("%.0f B for each held request; %s MB in a node", memory.Slope, number(memory.At(heldRequests)/1e6)),
		Mechanism: "receiver.chat, holder.Serve, dispatcher.Stream (receiver/chat.go, holder/serve.go, dispatcher/stream.go)",
		GivesWay:  "CPU for each token: one JSON event, one write and one flush for every token (receiver/answer.go)",
	})
	r.check(roleFront, "memory of held requests", "MB", memory.At(heldRequests)/1e6, budgetMemory/1e6, Reckoned, "stream the body to the engine instead of keeping it")
	return nil
}

// tokenTime is the bound on the time between two tokens, in seconds.
const tokenTime = 0.075

func percent(share float64) string { return number(100*share) + "%" }
