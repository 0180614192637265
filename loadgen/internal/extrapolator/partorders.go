package extrapolator

import (
	"context"
	"fmt"
)

const roleOrders = "orders and leases"

func reportOrders(ctx context.Context, r *Report, f *sharedFigures) error {
	points, err := measureSizes([]int{10, 40, 160}, func(n int) (orderResult, error) { return measureOrders(ctx, n) },
		func(o orderResult) float64 { return o.appends }, func(o orderResult) float64 { return o.reportRate })
	if err != nil {
		return err
	}
	appends := r.addMeasure(roleOrders, "appends for one order of each engine", "", "engines", scaleEngines, points[0])
	reports := r.addMeasure(roleOrders, "load reports a second while nothing is ordered", "/s", "engines", scaleEngines, points[1])
	traffic := reports.At(scaleEngines) * f.reportBytes
	r.Roles = append(r.Roles, RoleSummary{
		Role:       roleOrders,
		State:      "one lease record for each engine that was ordered, in every node; not measured",
		Messages:   fmt.Sprintf("%s appends an order (acquire and release), read by every node; %.0f load reports/s of %.0f B by the one node that orders", formatNumber(appends.Slope), reports.At(scaleEngines), f.reportBytes),
		CPU:        "not measured (see polling in the engine scheduler)",
		Memory:     "not measured",
		Mechanism:  "leaser.Acquire, Release, Orderer.order (leaser/leaser.go, orderer.go)",
		Bottleneck: "the node ranked first for the weights role: its orderer asks every engine for its load each second",
	})
	r.addCheck(roleOrders, "appends to order all engines once, over an hour", "/s", appends.At(scaleEngines)/3600, budgetAppends, Calculated, "")
	r.addCheck(roleOrders, "load reports of the node that orders", "B/s", traffic, budgetTraffic, Calculated,
		"take the engine's instance from the scheduler's own load reports by gossip, or compare each minute instead of each second")
	return nil
}
