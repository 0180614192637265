package extrapolator

import (
	"context"
	"fmt"
)

const (
	roleTickets = "tickets and grants"
	// ticketHolders is the number of holders in the measurement of the rates.
	ticketHolders = 40
)

func reportTickets(ctx context.Context, r *Report, f *figures) error {
	perCell := scaleRequests / float64(f.layout.cells)
	rates, err := sizes([]int{50, 150, 300, 450}, func(n int) (ticketRun, error) { return runTickets(ctx, ticketHolders, float64(n), 1) },
		func(t ticketRun) float64 { return t.bytes }, func(t ticketRun) float64 { return t.messages },
		func(t ticketRun) float64 { return t.cpu })
	if err != nil {
		return err
	}
	links, err := sizes([]int{10, 40, 120}, func(n int) (ticketRun, error) { return runTickets(ctx, n, 0, 1) },
		func(t ticketRun) float64 { return t.bytes }, func(t ticketRun) float64 { return t.cpu })
	if err != nil {
		return err
	}
	batched, err := runTickets(ctx, ticketHolders, 400, 10)
	if err != nil {
		return err
	}
	bytes := r.add(roleTickets, "bytes a second of one cell, 40 holders", "B/s", "requests/s", perCell, rates[0])
	messages := r.add(roleTickets, "messages a second of one cell, 40 holders", "/s", "requests/s", perCell, rates[1])
	cpu := r.add(roleTickets, "CPU of one cell, both ends, 40 holders", "core", "requests/s", perCell, rates[2])
	idle := r.add(roleTickets, "bytes a second of idle links", "B/s", "holders", scaleNodes, links[0])
	idleCPU := r.add(roleTickets, "CPU of idle links, both ends", "core", "holders", scaleNodes, links[1])
	f.ticketBytes, f.ticketCPU, f.messages = bytes.Slope, cpu.Slope, messages.Slope
	f.linkBytes, f.linkCPU = idle.Slope, idleCPU.Slope
	heartbeats := f.linkBytes * ticketHolders
	f.batchedBytes = max(0, batched.bytes-heartbeats) / batched.requests
	f.batchedMessages = batched.messages / batched.requests
	r.Parts = append(r.Parts, Part{
		Role:  roleTickets,
		State: fmt.Sprintf("one stream from each of %d nodes to each of %d scheduler nodes", scaleNodes, f.layout.hosts),
		Messages: fmt.Sprintf("%s messages and %s B a request (ticket, grant, release; connect and HTTP/2 included, TCP/IP headers not); %s B/s an idle link (heartbeats both ways each 200 ms); in batches of 10 tickets %s messages and %s B a request",
			number(f.messages), number(f.ticketBytes), number(f.linkBytes), number(f.batchedMessages), number(f.batchedBytes)),
		CPU:       fmt.Sprintf("%s us a request and %s us/s an idle link, both ends together", number(f.ticketCPU*1e6), number(f.linkCPU*1e6)),
		Memory:    "not measured",
		Mechanism: "ticketer.Submit, messenger.Pump and Outbox (merge of all that is pending), runner.session (ticketer/ticketer.go, messenger/pump.go, messenger/outbox.go)",
		GivesWay:  "heartbeats: every node keeps a stream to every scheduler node, so that the heartbeats of a scheduler node grow with the number of nodes; batching doesn't come by itself, since a holder sends less than one ticket a second to each cell",
	})
	return nil
}
