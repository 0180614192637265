package extrapolator

import (
	"context"
	"fmt"
)

const (
	roleTickets = "tickets and grants"
	// ticketHolders is the number of holders when the cost is measured at several rates.
	ticketHolders = 40
)

func reportTickets(ctx context.Context, r *Report, f *sharedFigures) error {
	perCell := scaleRequestsPerSecond / float64(f.layout.cells)
	rates, err := measureSizes([]int{50, 150, 300, 450}, func(n int) (ticketResult, error) { return measureTickets(ctx, ticketHolders, float64(n), 1) },
		func(t ticketResult) float64 { return t.bytes }, func(t ticketResult) float64 { return t.messages },
		func(t ticketResult) float64 { return t.cpu })
	if err != nil {
		return err
	}
	links, err := measureSizes([]int{10, 40, 120}, func(n int) (ticketResult, error) { return measureTickets(ctx, n, 0, 1) },
		func(t ticketResult) float64 { return t.bytes }, func(t ticketResult) float64 { return t.cpu })
	if err != nil {
		return err
	}
	batched, err := measureTickets(ctx, ticketHolders, 400, 10)
	if err != nil {
		return err
	}
	bytes := r.addMeasure(roleTickets, "bytes a second of one cell, 40 holders", "B/s", "requests/s", perCell, rates[0])
	messages := r.addMeasure(roleTickets, "messages a second of one cell, 40 holders", "/s", "requests/s", perCell, rates[1])
	cpu := r.addMeasure(roleTickets, "CPU of one cell, both ends, 40 holders", "core", "requests/s", perCell, rates[2])
	idle := r.addMeasure(roleTickets, "bytes a second of idle links", "B/s", "holders", scaleNodes, links[0])
	idleCPU := r.addMeasure(roleTickets, "CPU of idle links, both ends", "core", "holders", scaleNodes, links[1])
	f.ticketBytes, f.ticketCPU, f.ticketMessages = bytes.Slope, cpu.Slope, messages.Slope
	f.linkBytes, f.linkCPU = idle.Slope, idleCPU.Slope
	heartbeatBytes := f.linkBytes * ticketHolders
	f.batchedBytes = max(0, batched.bytes-heartbeatBytes) / batched.requests
	f.batchedMessages = batched.messages / batched.requests
	r.Roles = append(r.Roles, RoleSummary{
		Role:  roleTickets,
		State: fmt.Sprintf("one stream from each of %d nodes to each of %d scheduler nodes", scaleNodes, f.layout.hosts),
		Messages: fmt.Sprintf("%s messages and %s B a request (ticket, grant, release; connect and HTTP/2 included, TCP/IP headers not); %s B/s an idle link (heartbeats both ways each 200 ms); in batches of 10 tickets %s messages and %s B a request",
			formatNumber(f.ticketMessages), formatNumber(f.ticketBytes), formatNumber(f.linkBytes), formatNumber(f.batchedMessages), formatNumber(f.batchedBytes)),
		CPU:        fmt.Sprintf("%s us a request and %s us/s an idle link, both ends together", formatNumber(f.ticketCPU*1e6), formatNumber(f.linkCPU*1e6)),
		Memory:     "not measured",
		Mechanism:  "ticketer.Submit, messenger.Pump and Outbox (merge of all that is pending), runner.session (ticketer/ticketer.go, messenger/pump.go, messenger/outbox.go)",
		Bottleneck: "heartbeats: every node keeps a stream to every scheduler node, so that the heartbeats of a scheduler node grow with the number of nodes; batching doesn't come by itself, since a holder sends less than one ticket a second to each cell",
	})
	return nil
}
