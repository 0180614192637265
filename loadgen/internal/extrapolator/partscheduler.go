package extrapolator

import (
	"context"
	"fmt"
)

const roleScheduler = "engine scheduler"

func reportScheduler(ctx context.Context, r *Report, f *figures) error {
	points, err := sizes([]int{12, 100, 900}, runScheduling,
		func(s schedulingRun) float64 { return s.decision * 1e6 }, func(s schedulingRun) float64 { return s.allocs },
		func(s schedulingRun) float64 { return s.perTicket })
	if err != nil {
		return err
	}
	engines, err := sizes([]int{100, 900, 3600}, runScheduling, func(s schedulingRun) float64 { return s.engines })
	if err != nil {
		return err
	}
	polls, err := sizes([]int{12, 64, 200}, func(n int) (pollRun, error) { return runPolling(ctx, n) },
		func(p pollRun) float64 { return p.bytes }, func(p pollRun) float64 { return p.cpu * 1e6 },
		func(p pollRun) float64 { return p.reports })
	if err != nil {
		return err
	}
	perCell := f.layout.enginesPerCell
	decision := r.add(roleScheduler, "CPU of a ticket, its grant and its release", "us", "engines", perCell, points[0])
	allocs := r.add(roleScheduler, "allocations of the same", "", "engines", perCell, points[1])
	ticket := r.add(roleScheduler, "memory of a queued ticket", "B", "engines", perCell, points[2])
	engine := r.add(roleScheduler, "memory of all engines", "B", "engines", perCell, engines[0])
	pollBytes := r.add(roleScheduler, "bytes of a round of load reports and cache events", "B", "engines", perCell, polls[0])
	pollCPU := r.add(roleScheduler, "CPU of the same, both ends", "us", "engines", perCell, polls[1])
	reports := r.add(roleScheduler, "bytes of a round of load reports alone", "B", "engines", perCell, polls[2])
	f.reportBytes = reports.Slope
	f.decision = decision.At(perCell) / 1e6
	f.pollBytes, f.pollCPU = pollBytes.At(perCell)/perCell, pollCPU.At(perCell)/perCell/1e6
	rate := scaleRequests / float64(f.layout.cells)
	r.Parts = append(r.Parts, Part{
		Role: roleScheduler,
		State: fmt.Sprintf("%d cells of %s engines on %d nodes, at most %d on one (reckoned with the product's ranking of %d names, one pool for each model)",
			f.layout.cells, number(perCell), f.layout.hosts, f.layout.busiest, scaleNodes),
		Messages: fmt.Sprintf("%.0f requests/s in a cell; %.0f B a poll, one poll a second for each engine", rate, f.pollBytes),
		CPU: fmt.Sprintf("%s us and %s allocations a decision; %s of a core in a cell; polls %s of a core in a cell (both ends)",
			number(f.decision*1e6), number(allocs.At(perCell)), percent(rate*f.decision), percent(perCell*f.pollCPU)),
		Memory:    fmt.Sprintf("%.0f B a ticket, %.0f B an engine", ticket.At(perCell), engine.Slope),
		Mechanism: "scheduler.Submit, Step, Release; runner.cell.run and poll (scheduler/step.go, runner/cell.go, runner/engine.go); ranker.Cells",
		GivesWay:  "load report polling: its traffic grows with the engines of a cell, whatever the load",
	})
	r.check(roleScheduler, "decisions of the busiest node", "core", float64(f.layout.busiest)*rate*f.decision, budgetCPU, Reckoned, "smaller cells")
	r.check(roleScheduler, "polling by the busiest node", "B/s", float64(f.layout.busiest)*perCell*f.pollBytes, budgetTraffic, Reckoned,
		"poll an engine only while it has been silent for a second (releases carry the same facts), ask for cache events every few seconds, and have engines answer unchanged reports without a body")
	return nil
}
