package extrapolator

import (
	"context"
	"fmt"
)

const roleScheduler = "engine scheduler"

func reportScheduler(ctx context.Context, r *Report, f *sharedFigures) error {
	points, err := measureSizes([]int{12, 100, 900}, measureScheduling,
		func(s schedulingResult) float64 { return s.decisionCPU * 1e6 }, func(s schedulingResult) float64 { return s.allocs },
		func(s schedulingResult) float64 { return s.ticketMemory })
	if err != nil {
		return err
	}
	engines, err := measureSizes([]int{100, 900, 3600}, measureScheduling, func(s schedulingResult) float64 { return s.engineMemory })
	if err != nil {
		return err
	}
	polls, err := measureSizes([]int{12, 64, 200}, func(n int) (pollResult, error) { return measurePolling(ctx, n) },
		func(p pollResult) float64 { return p.bytes }, func(p pollResult) float64 { return p.cpu * 1e6 },
		func(p pollResult) float64 { return p.reportBytes })
	if err != nil {
		return err
	}
	perCell := f.layout.enginesPerCell
	decision := r.addMeasure(roleScheduler, "CPU of a ticket, its grant and its release", "us", "engines", perCell, points[0])
	allocs := r.addMeasure(roleScheduler, "allocations of the same", "", "engines", perCell, points[1])
	ticket := r.addMeasure(roleScheduler, "memory of a queued ticket", "B", "engines", perCell, points[2])
	engine := r.addMeasure(roleScheduler, "memory of all engines", "B", "engines", perCell, engines[0])
	pollBytes := r.addMeasure(roleScheduler, "bytes of a round of load reports and cache events", "B", "engines", perCell, polls[0])
	pollCPU := r.addMeasure(roleScheduler, "CPU of the same, both ends", "us", "engines", perCell, polls[1])
	reports := r.addMeasure(roleScheduler, "bytes of a round of load reports alone", "B", "engines", perCell, polls[2])
	f.reportBytes = reports.Slope
	f.decisionCPU = decision.At(perCell) / 1e6
	f.pollBytes, f.pollCPU = pollBytes.At(perCell)/perCell, pollCPU.At(perCell)/perCell/1e6
	rate := scaleRequestsPerSecond / float64(f.layout.cells)
	r.Roles = append(r.Roles, RoleSummary{
		Role: roleScheduler,
		State: fmt.Sprintf("%d cells of %s engines on %d nodes, at most %d on one (reckoned with the product's ranking of %d names, one pool for each model)",
			f.layout.cells, formatNumber(perCell), f.layout.hosts, f.layout.maxCellsPerHost, scaleNodes),
		Messages: fmt.Sprintf("%.0f requests/s in a cell; %.0f B a poll, one poll a second for each engine", rate, f.pollBytes),
		CPU: fmt.Sprintf("%s us and %s allocations a decision; %s of a core in a cell; polls %s of a core in a cell (both ends)",
			formatNumber(f.decisionCPU*1e6), formatNumber(allocs.At(perCell)), formatPercent(rate*f.decisionCPU), formatPercent(perCell*f.pollCPU)),
		Memory:     fmt.Sprintf("%.0f B a ticket, %.0f B an engine", ticket.At(perCell), engine.Slope),
		Mechanism:  "scheduler.Submit, Step, Release; runner.cell.run and poll (scheduler/step.go, runner/cell.go, runner/engine.go); ranker.Cells",
		Bottleneck: "load report polling: its traffic grows with the engines of a cell, whatever the load",
	})
	r.addCheck(roleScheduler, "decisions of the busiest node", "core", float64(f.layout.maxCellsPerHost)*rate*f.decisionCPU, budgetCPU, Calculated, "smaller cells")
	r.addCheck(roleScheduler, "polling by the busiest node", "B/s", float64(f.layout.maxCellsPerHost)*perCell*f.pollBytes, budgetTraffic, Calculated,
		"poll an engine only while it has been silent for a second (releases carry the same facts), ask for cache events every few seconds, and have engines answer unchanged reports without a body")
	return nil
}
