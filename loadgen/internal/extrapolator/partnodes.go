package extrapolator

import "fmt"

const roleNode = "whole node"

// reportNodes adds the total control traffic and CPU of the mean and the busiest node. Traffic of tickets and grants is
// reported separately from the rest.
func reportNodes(r *Report, f *sharedFigures) {
	l := f.layout
	nodes, cells := float64(scaleNodes), float64(l.cells)
	perNode, perCell := scaleRequestsPerSecond/nodes, scaleRequestsPerSecond/cells
	links := nodes * float64(l.hosts)
	// Each message and each link counts at both of its nodes.
	meanTickets := 2*perNode*f.ticketBytes + 2*links/nodes*f.linkBytes
	busyTickets := (perNode+float64(l.maxCellsPerHost)*perCell)*f.ticketBytes + (nodes+float64(l.hosts))*f.linkBytes
	meanRest := f.gossipBytes + f.pollBytes*scaleEngines/nodes
	busyRest := f.gossipBytes + f.pollBytes*l.enginesPerCell*float64(l.maxCellsPerHost)
	meanCPU := perNode*f.ticketCPU + links/nodes*f.linkCPU + f.gossipCPU + f.pollCPU*scaleEngines/nodes + perNode*f.decisionCPU
	busyCPU := (perNode+float64(l.maxCellsPerHost)*perCell)*f.ticketCPU/2 + (nodes+float64(l.hosts))*f.linkCPU/2 +
		f.gossipCPU + f.pollCPU*l.enginesPerCell*float64(l.maxCellsPerHost)
	const remedy = "one stream for each data centre and scheduler instead of one for each node (a member of the data centre relays, which also fills batches), heartbeats each second with the connection's own keep-alive for breaks, tickets with one short prefix hash instead of up to 32"
	r.addCheck(roleNode, "tickets and grants, mean node", "B/s", meanTickets, budgetTraffic, Calculated, remedy)
	r.addCheck(roleNode, "tickets and grants, busiest node", "B/s", busyTickets, budgetTraffic, Calculated, remedy)
	r.addCheck(roleNode, "rest of control, mean node", "B/s", meanRest, budgetTraffic, Calculated, "see membership and polling")
	r.addCheck(roleNode, "rest of control, busiest node", "B/s", busyRest, budgetTraffic, Calculated, "see membership and polling")
	r.addCheck(roleNode, "CPU for control, mean node", "core", meanCPU, budgetCPU, Calculated, "as for tickets and grants")
	r.addCheck(roleNode, "CPU for control, busiest node", "core", busyCPU, budgetCPU, Calculated, "as for tickets and grants; more and smaller cells, at most one on a node")
	singleSchedulerBytes := scaleRequestsPerSecond*f.ticketBytes + nodes*f.linkBytes
	relayedBytes := float64(l.maxCellsPerHost)*perCell*f.batchedBytes + float64(scaleDataCentres)*f.linkBytes
	r.Roles = append(r.Roles, RoleSummary{
		Role:  roleNode,
		State: fmt.Sprintf("%d links, %s in the mean node, %d in a scheduler node", int(links), formatNumber(2*links/nodes), scaleNodes+l.hosts),
		Messages: fmt.Sprintf("tickets and grants: %s kB/s in the mean node and %s kB/s in the busiest, of that %s kB/s heartbeats; one scheduler without cells would have %s kB/s; with cells and batches of 10 over one relay for each data centre the busiest node would have %s kB/s",
			formatNumber(meanTickets/1e3), formatNumber(busyTickets/1e3), formatNumber((nodes+float64(l.hosts))*f.linkBytes/1e3), formatNumber(singleSchedulerBytes/1e3), formatNumber(relayedBytes/1e3)),
		CPU:        fmt.Sprintf("%s of a core in the mean node, %s in the busiest", formatPercent(meanCPU), formatPercent(busyCPU)),
		Memory:     "see the roles",
		Mechanism:  "ranker.Cells and First spread the cells; messenger.Outbox batches what is pending; the relay for each data centre is not built",
		Bottleneck: "the traffic of tickets and grants in the nodes with a scheduler",
	})
}
