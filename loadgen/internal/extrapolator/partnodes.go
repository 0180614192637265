package extrapolator

import "fmt"

const roleNode = "whole node"

// reportNodes adds up control in the mean and the busiest node, tickets and grants beside the rest.
func reportNodes(r *Report, f *figures) {
	l := f.layout
	nodes, cells := float64(scaleNodes), float64(l.cells)
	perNode, perCell := scaleRequests/nodes, scaleRequests/cells
	links := nodes * float64(l.hosts)
	// Each message and each link counts at both of its ends.
	meanTickets := 2*perNode*f.ticketBytes + 2*links/nodes*f.linkBytes
	busyTickets := (perNode+float64(l.busiest)*perCell)*f.ticketBytes + (nodes+float64(l.hosts))*f.linkBytes
	meanRest := f.gossipBytes + f.pollBytes*scaleEngines/nodes
	busyRest := f.gossipBytes + f.pollBytes*l.enginesPerCell*float64(l.busiest)
	meanCPU := perNode*f.ticketCPU + links/nodes*f.linkCPU + f.gossipCPU + f.pollCPU*scaleEngines/nodes + perNode*f.decision
	busyCPU := (perNode+float64(l.busiest)*perCell)*f.ticketCPU/2 + (nodes+float64(l.hosts))*f.linkCPU/2 +
		f.gossipCPU + f.pollCPU*l.enginesPerCell*float64(l.busiest)
	const mend = "one stream for each data centre and scheduler instead of one for each node (a member of the data centre relays, which also fills batches), heartbeats each second with the connection's own keep-alive for breaks, tickets with one short prefix hash instead of up to 32"
	r.check(roleNode, "tickets and grants, mean node", "B/s", meanTickets, budgetTraffic, Reckoned, mend)
	r.check(roleNode, "tickets and grants, busiest node", "B/s", busyTickets, budgetTraffic, Reckoned, mend)
	r.check(roleNode, "rest of control, mean node", "B/s", meanRest, budgetTraffic, Reckoned, "see membership and polling")
	r.check(roleNode, "rest of control, busiest node", "B/s", busyRest, budgetTraffic, Reckoned, "see membership and polling")
	r.check(roleNode, "CPU for control, mean node", "core", meanCPU, budgetCPU, Reckoned, "as for tickets and grants")
	r.check(roleNode, "CPU for control, busiest node", "core", busyCPU, budgetCPU, Reckoned, "as for tickets and grants; more and smaller cells, at most one on a node")
	oneScheduler := scaleRequests*f.ticketBytes + nodes*f.linkBytes
	relayed := float64(l.busiest)*perCell*f.batchedBytes + float64(scaleDataCentres)*f.linkBytes
	r.Parts = append(r.Parts, Part{
		Role:  roleNode,
		State: fmt.Sprintf("%d links, %s in the mean node, %d in a scheduler node", int(links), number(2*links/nodes), scaleNodes+l.hosts),
		Messages: fmt.Sprintf("tickets and grants: %s kB/s in the mean node and %s kB/s in the busiest, of that %s kB/s heartbeats; one scheduler without cells would have %s kB/s; with cells and batches of 10 over one relay for each data centre the busiest node would have %s kB/s",
			number(meanTickets/1e3), number(busyTickets/1e3), number((nodes+float64(l.hosts))*f.linkBytes/1e3), number(oneScheduler/1e3), number(relayed/1e3)),
		CPU:       fmt.Sprintf("%s of a core in the mean node, %s in the busiest", percent(meanCPU), percent(busyCPU)),
		Memory:    "see the roles",
		Mechanism: "ranker.Cells and First spread the cells; messenger.Outbox batches what is pending; the relay for each data centre is not built",
		GivesWay:  "the traffic of tickets and grants in the nodes with a scheduler",
	})
}
