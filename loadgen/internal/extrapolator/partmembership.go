package extrapolator

import (
	"context"
	"fmt"
)

const (
	roleMembership = "membership"
	// probesPerSecond are the one that a node makes and the one that it answers.
	probesPerSecond = 2
	// openConnections of a node: one stays open for a minute after its last probe (messenger's idleTimeout), and a
	// node sends and answers one probe a second, hardly ever to the same member within that time.
	openConnections = 120
)

func reportMembership(ctx context.Context, r *Report, f *figures) error {
	members := []int{20, 100, scaleNodes}
	// A first run leaves the process in the state that the memory of the others is compared with.
	if _, err := runMembership(ctx, members[0]); err != nil {
		return err
	}
	var last membershipRun
	perNode := func(pick func(*membershipRun) episode, figure func(episode) float64) func(membershipRun) float64 {
		return func(m membershipRun) float64 {
			e := pick(&m)
			return figure(e) / e.seconds / float64(m.members)
		}
	}
	steady := func(m *membershipRun) episode { return m.steady }
	centre := func(m *membershipRun) episode { return m.centre }
	parted := func(m *membershipRun) episode { return m.parted }
	reunion := func(m *membershipRun) episode { return m.reunion }
	bytes, cpu := func(e episode) float64 { return e.bytes }, func(e episode) float64 { return e.cpu }
	points, err := sizes(members, func(n int) (membershipRun, error) {
		var err error
		last, err = runMembership(ctx, n)
		return last, err
	},
		perNode(steady, bytes), perNode(steady, cpu), func(m membershipRun) float64 { return m.memory },
		func(m membershipRun) float64 { return m.crash.seconds },
		perNode(centre, bytes), perNode(parted, bytes), perNode(reunion, bytes),
		func(m membershipRun) float64 { return m.centre.seconds }, func(m membershipRun) float64 { return m.parted.seconds },
		func(m membershipRun) float64 { return m.reunion.seconds }, perNode(centre, cpu))
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
		r.add(roleMembership, figure.name, figure.unit, "members", scaleNodes, points[i])
	}
	wire, err := sizes([]int{10, 40, 120}, func(n int) (gossipRun, error) { return runGossip(ctx, n) },
		func(g gossipRun) float64 { return g.message }, func(g gossipRun) float64 { return g.cpu * 1e6 },
		func(g gossipRun) float64 { return g.idle }, func(g gossipRun) float64 { return g.idleCPU })
	if err != nil {
		return err
	}
	return r.membership(f, last, points, wire)
}

// membership adds what connect and HTTP/2 cost to what the detector sends.
func (r *Report) membership(f *figures, run membershipRun, points, wire [][]Point) error {
	overhead := r.add(roleMembership, "bytes of a probe and its answer without deltas by connect and HTTP/2", "B", "connections", openConnections, wire[0])
	call := r.add(roleMembership, "CPU of the same, both ends", "us", "connections", openConnections, wire[1])
	idle := r.add(roleMembership, "bytes a second of idle connections (pings)", "B/s", "connections", openConnections, wire[2])
	idleCPU := r.add(roleMembership, "CPU of idle connections, both ends", "core", "connections", openConnections, wire[3])
	at := func(i int) float64 { return points[i][len(points[i])-1].Value }
	pings, pingCPU := idle.At(openConnections), idleCPU.At(openConnections)/2
	// Each message counts at both of its ends.
	payload := 2 * at(0)
	f.gossipBytes = payload + probesPerSecond*overhead.At(openConnections) + pings
	f.gossipCPU = at(1) + probesPerSecond*call.At(openConnections)/2e6 + pingCPU
	extra := run.replaced.messages - run.steady.messages/run.steady.seconds*run.replaced.seconds
	extraBytes := run.replaced.bytes - run.steady.bytes/run.steady.seconds*run.replaced.seconds
	lost := run.members / scaleDataCentres
	names := memberNames(scaleNodes)
	half := names[:scaleNodes/2]
	r.Parts = append(r.Parts, Part{
		Role:  roleMembership,
		State: fmt.Sprintf("%d rows; %d pairs falsely held for something else than alive in a minute", run.members, run.falsely),
		Messages: fmt.Sprintf("%s B/s of deltas, %s B/s of probes by HTTP/2, %s B/s of pings in a node; a replacement: %.0f messages and %s kB above the steady rate in all nodes together until all know it, %s B/s in a node for %d a day; a data centre gone (%d nodes): %.0f messages in %s s, %d of %d cells move; two halves apart: %.0f messages in %s s, %d cells move; reunion: %.0f messages in %s s until steady",
			number(payload), number(probesPerSecond*overhead.At(openConnections)), number(pings), extra, number(extraBytes/1e3),
			number(2*extraBytes*scaleReplaced/secondsPerDay/scaleNodes), scaleReplaced, lost, run.centre.messages, number(run.centre.seconds),
			moved(names, names[lost:]), f.layout.cells, run.parted.messages, number(run.parted.seconds), moved(names, half),
			run.reunion.messages, number(run.reunion.seconds)),
		CPU: fmt.Sprintf("%s of a core steady (detector %s, connect and HTTP/2 %s, pings %s); detector %s while a data centre is lost",
			percent(f.gossipCPU), percent(at(1)), percent(probesPerSecond*call.At(openConnections)/2e6), percent(pingCPU), percent(at(10))),
		Memory:    fmt.Sprintf("%s kB in a node", number(at(2)/1e3)),
		Mechanism: "detector.probeLoop, table.attach, table.tick (detector/probe.go, delta.go, table.go)",
		GivesWay:  "the pings of idle HTTP/2 connections, then the size of a probe (1,200 B) while hundreds of rows change at once: the time until steady grows",
	})
	r.check(roleMembership, "traffic of a node, steady", "B/s", f.gossipBytes, budgetTraffic, Reckoned,
		"send probes by UDP datagrams, as SWIM does: no connection, no pings, no HTTP/2 headers")
	r.check(roleMembership, "traffic of a node for the deltas, data centre lost", "B/s", 2*at(4), budgetTraffic, Measured,
		"send rows of one data centre as one delta (its name and a state), or halve MaxProbeBytes for a longer time until steady")
	r.check(roleMembership, "traffic of a node for the deltas, partition begins", "B/s", 2*at(5), budgetTraffic, Measured,
		"as for a lost data centre")
	r.check(roleMembership, "traffic of a node for the deltas, reunion", "B/s", 2*at(6), budgetTraffic, Measured, "as for a lost data centre")
	r.check(roleMembership, "CPU of a node, steady", "core", f.gossipCPU, budgetCPU, Reckoned, "probes by UDP datagrams")
	r.check(roleMembership, "CPU of a node, data centre lost", "core", at(10), budgetCPU, Measured, "keep the order of the deltas instead of sorting them for each probe")
	r.check(roleMembership, "memory of a node", "MB", at(2)/1e6, budgetMemory/1e6, Measured, "")
	return nil
}
