package extrapolator

import (
	"context"
	"fmt"
)

const (
	roleMembership = "membership"
	// probesPerSecond is the number of probes per node: one that it sends and one that it answers.
	probesPerSecond = 2
	// openConnections is the number of open connections per node. A connection stays open for a minute after its last
	// probe (idleConnTimeout in messenger), and a node sends and answers one probe per second, rarely with the same member
	// twice in that minute.
	openConnections = 120
)

func reportMembership(ctx context.Context, r *Report, f *sharedFigures) error {
	members := []int{20, 100, scaleNodes}
	// A first run warms up the process, so that one-time allocations don't count as memory of the measured runs.
	if _, err := measureMembership(ctx, members[0]); err != nil {
		return err
	}
	var last membershipRun
	perNode := func(pick func(*membershipRun) phaseCost, figure func(phaseCost) float64) func(membershipRun) float64 {
		return func(m membershipRun) float64 {
			phase := pick(&m)
			return figure(phase) / phase.seconds / float64(m.members)
		}
	}
	steady := func(m *membershipRun) phaseCost { return m.steady }
	dataCentreLoss := func(m *membershipRun) phaseCost { return m.dataCentreLoss }
	partition := func(m *membershipRun) phaseCost { return m.partition }
	heal := func(m *membershipRun) phaseCost { return m.heal }
	bytes, cpu := func(e phaseCost) float64 { return e.bytes }, func(e phaseCost) float64 { return e.cpu }
	points, err := measureSizes(members, func(n int) (membershipRun, error) {
		var err error
		last, err = measureMembership(ctx, n)
		return last, err
	},
		perNode(steady, bytes), perNode(steady, cpu), func(m membershipRun) float64 { return m.memory },
		func(m membershipRun) float64 { return m.crash.seconds },
		perNode(dataCentreLoss, bytes), perNode(partition, bytes), perNode(heal, bytes),
		func(m membershipRun) float64 { return m.dataCentreLoss.seconds }, func(m membershipRun) float64 { return m.partition.seconds },
		func(m membershipRun) float64 { return m.heal.seconds }, perNode(dataCentreLoss, cpu))
	if err != nil {
		return err
	}
	for i, figure := range []struct{ name, unit string }{
		{"bytes a second of a node, steady", "B/s"}, {"CPU of a node, steady", "core"}, {"memory of a node", "B"},
		{"time until all hold a crashed member for dead", "s"}, {"bytes a second of a node, data centre lost", "B/s"},
		{"bytes a second of a node, partition begins", "B/s"}, {"bytes a second of a node, reunion", "B/s"},
		{"time until all hold a lost data centre for dead", "s"}, {"time until both sides of a partition hold each other for dead", "s"},
		{"time until all know each other after a partition", "s"}, {"CPU of a node, data centre lost", "core"},
	} {
		r.addMeasure(roleMembership, figure.name, figure.unit, "members", scaleNodes, points[i])
	}
	loopback, err := measureSizes([]int{10, 40, 120}, func(n int) (gossipResult, error) { return measureGossip(ctx, n) },
		func(g gossipResult) float64 { return g.probeBytes }, func(g gossipResult) float64 { return g.probeCPU * 1e6 },
		func(g gossipResult) float64 { return g.idleBytes }, func(g gossipResult) float64 { return g.idleCPU })
	if err != nil {
		return err
	}
	return r.addMembership(f, last, points, loopback)
}

// addMembership adds the rows for membership. It adds the cost of Connect and HTTP/2 to that of the detector.
func (r *Report) addMembership(f *sharedFigures, run membershipRun, points, loopback [][]Point) error {
	probeBytes := r.addMeasure(roleMembership, "bytes of a probe and its answer without deltas by connect and HTTP/2", "B", "connections", openConnections, loopback[0])
	probeCPU := r.addMeasure(roleMembership, "CPU of the same, both ends", "us", "connections", openConnections, loopback[1])
	idle := r.addMeasure(roleMembership, "bytes a second of idle connections (pings)", "B/s", "connections", openConnections, loopback[2])
	idleCPU := r.addMeasure(roleMembership, "CPU of idle connections, both ends", "core", "connections", openConnections, loopback[3])
	atScale := func(i int) float64 { return points[i][len(points[i])-1].Value }
	pings, pingCPU := idle.At(openConnections), idleCPU.At(openConnections)/2
	// Each message counts as traffic of both its sender and its receiver.
	payload := 2 * atScale(0)
	f.gossipBytes = payload + probesPerSecond*probeBytes.At(openConnections) + pings
	f.gossipCPU = atScale(1) + probesPerSecond*probeCPU.At(openConnections)/2e6 + pingCPU
	extraMessages := run.replacement.messages - run.steady.messages/run.steady.seconds*run.replacement.seconds
	extraBytes := run.replacement.bytes - run.steady.bytes/run.steady.seconds*run.replacement.seconds
	lostNodes := run.members / scaleDataCentres
	names := memberNames(scaleNodes)
	half := names[:scaleNodes/2]
	r.Roles = append(r.Roles, RoleSummary{
		Role:  roleMembership,
		State: fmt.Sprintf("%d rows; %d pairs falsely held for something else than alive in a minute", run.members, run.notAlivePairs),
		Messages: fmt.Sprintf("%s B/s of deltas, %s B/s of probes by HTTP/2, %s B/s of pings in a node; a replacement: %.0f messages and %s kB above the steady rate in all nodes together until all know it, %s B/s in a node for %d a day; a data centre gone (%d nodes): %.0f messages in %s s, %d of %d cells move; two halves apart: %.0f messages in %s s, %d cells move; reunion: %.0f messages in %s s until steady",
			formatNumber(payload), formatNumber(probesPerSecond*probeBytes.At(openConnections)), formatNumber(pings), extraMessages, formatNumber(extraBytes/1e3),
			formatNumber(2*extraBytes*scaleReplacementsPerDay/secondsPerDay/scaleNodes), scaleReplacementsPerDay, lostNodes, run.dataCentreLoss.messages, formatNumber(run.dataCentreLoss.seconds),
			countMovedCells(names, names[lostNodes:]), f.layout.cells, run.partition.messages, formatNumber(run.partition.seconds), countMovedCells(names, half),
			run.heal.messages, formatNumber(run.heal.seconds)),
		CPU: fmt.Sprintf("%s of a core steady (detector %s, connect and HTTP/2 %s, pings %s); detector %s while a data centre is lost",
			formatPercent(f.gossipCPU), formatPercent(atScale(1)), formatPercent(probesPerSecond*probeCPU.At(openConnections)/2e6), formatPercent(pingCPU), formatPercent(atScale(10))),
		Memory:     fmt.Sprintf("%s kB in a node", formatNumber(atScale(2)/1e3)),
		Mechanism:  "detector.probeLoop, table.attach, table.tick (detector/probe.go, delta.go, table.go)",
		Bottleneck: "the pings of idle HTTP/2 connections, then the size of a probe (1,200 B) while hundreds of rows change at once: the time until steady grows",
	})
	r.addCheck(roleMembership, "traffic of a node, steady", "B/s", f.gossipBytes, budgetTraffic, Calculated,
		"send probes by UDP datagrams, as SWIM does: no connection, no pings, no HTTP/2 headers")
	r.addCheck(roleMembership, "traffic of a node for the deltas, data centre lost", "B/s", 2*atScale(4), budgetTraffic, Measured,
		"send rows of one data centre as one delta (its name and a state), or halve MaxProbeBytes for a longer time until steady")
	r.addCheck(roleMembership, "traffic of a node for the deltas, partition begins", "B/s", 2*atScale(5), budgetTraffic, Measured,
		"as for a lost data centre")
	r.addCheck(roleMembership, "traffic of a node for the deltas, reunion", "B/s", 2*atScale(6), budgetTraffic, Measured, "as for a lost data centre")
	r.addCheck(roleMembership, "CPU of a node, steady", "core", f.gossipCPU, budgetCPU, Calculated, "probes by UDP datagrams")
	r.addCheck(roleMembership, "CPU of a node, data centre lost", "core", atScale(10), budgetCPU, Measured, "keep the order of the deltas instead of sorting them for each probe")
	r.addCheck(roleMembership, "memory of a node", "MB", atScale(2)/1e6, budgetMemory/1e6, Measured, "")
	return nil
}
