package extrapolator

import (
	"context"
	"fmt"
)

const (
	roleCatalogue = "catalogue replica"
	// longPollSeconds is how long a read of the follower waits for new records (pollWait in internal/follower).
	longPollSeconds = 2.0
)

func reportCatalogue(ctx context.Context, r *Report, _ *sharedFigures) error {
	points, err := measureSizes([]int{5, 140, scaleWorkspaces}, func(n int) (catalogueResult, error) { return measureCatalogue(ctx, n) },
		func(c catalogueResult) float64 { return c.memory }, func(c catalogueResult) float64 { return c.applyCPU * 1e3 },
		func(c catalogueResult) float64 { return c.editCPU * 1e3 }, func(c catalogueResult) float64 { return c.editBytes },
		func(c catalogueResult) float64 { return c.propagation })
	if err != nil {
		return err
	}
	atScale := make([]float64, len(points))
	for i, figure := range []struct{ name, unit string }{
		{"memory of a replica, 11 models and 900 engines", "B"}, {"CPU of applying an edit", "ms"},
		{"CPU of an edit in the editor's node, with one replica", "ms"}, {"bytes of an edit of one workspace", "B"},
		{"time until a replica has an accepted edit, log in memory", "s"},
	} {
		r.addMeasure(roleCatalogue, figure.name, figure.unit, "workspaces", scaleWorkspaces, points[i])
		atScale[i] = points[i][len(points[i])-1].Value
	}
	r.Roles = append(r.Roles, RoleSummary{
		Role:       roleCatalogue,
		State:      fmt.Sprintf("%d workspaces, %d models, %d engines in every node", scaleWorkspaces, scaleModels, scaleEngines),
		Messages:   fmt.Sprintf("%.0f B a change to every node, %s B/s for %d changes a day; a long poll each %.0f s", atScale[3], formatNumber(atScale[3]*scaleChangesPerDay/secondsPerDay), scaleChangesPerDay, longPollSeconds),
		CPU:        fmt.Sprintf("%s ms to apply a change, %s of a core for %d a day; %s ms in the editor's node", formatNumber(atScale[1]), formatPercent(atScale[1]/1e3*scaleChangesPerDay/secondsPerDay), scaleChangesPerDay, formatNumber(atScale[2])),
		Memory:     fmt.Sprintf("%s MB", formatNumber(atScale[0]/1e6)),
		Mechanism:  "cataloguer.fold, follower.readPage (cataloguer/fold.go, follower/follower.go); without the log: detector rows and fetchSnapshot each second",
		Bottleneck: "the editor: the whole catalogue is sent, parsed and compared for each change; a change of one engine rewrites its whole pool",
	})
	r.addCheck(roleCatalogue, "memory", "MB", atScale[0]/1e6, budgetMemory/1e6, Measured, "")
	r.addCheck(roleCatalogue, "traffic of changes", "B/s", atScale[3]*scaleChangesPerDay/secondsPerDay, budgetTraffic, Calculated, "")
	r.addCheck(roleCatalogue, "time until in force, one long poll late", "s", atScale[4]+longPollSeconds, scaleChangeDelay, Calculated, "")
	return nil
}
