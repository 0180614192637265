package extrapolator

import (
	"context"
	"fmt"
)

const roleOrders = "orders and leases"

func reportOrders(ctx context.Context, r *Report, f *figures) error {
	points, err := sizes([]int{10, 40, 160}, func(n int) (orderRun, error) { return runOrders(ctx, n) },
		func(o orderRun) float64 { return o.appends }, func(o orderRun) float64 { return o.reports })
	if err != nil {
		return err
	}
	appends := r.add(roleOrders, "appends for one order of each engine", "", "engines", scaleEngines, points[0])
	reports := r.add(roleOrders, "load reports a second while nothing is ordered", "/s", "engines", scaleEngines, points[1])
	traffic := reports.At(scaleEngines) * f.reportBytes
	r.Parts = append(r.Parts, Part{
		Role:      roleOrders,
		State:     "one lease record for each engine that was ordered, in every node; not measured",
		Messages:  fmt.Sprintf("%s appends an order (acquire and release), read by every node; %.0f load reports/s of %.0f B by the one node that orders", number(appends.Slope), reports.At(scaleEngines), f.reportBytes),
		CPU:       "not measured (see polling in the engine scheduler)",
		Memory:    "not measured",
		Mechanism: "leaser.Acquire, Release, Orderer.order (leaser/leaser.go, orderer.go)",
		GivesWay:  "the node ranked first for the weights role: its orderer asks every engine for its load each second",
	})
	r.check(roleOrders, "appends to order all engines once, over an hour", "/s", appends.At(scaleEngines)/3600, budgetAppends, Reckoned, "")
	r.check(roleOrders, "load reports of the node that orders", "B/s", traffic, budgetTraffic, Reckoned,
		"take the engine's instance from the scheduler's own load reports by gossip, or compare each minute instead of each second")
	return nil
}
