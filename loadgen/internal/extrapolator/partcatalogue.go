package extrapolator

import (
	"context"
	"fmt"
)

const (
	roleCatalogue = "catalogue replica"
	// longPoll is the follower's pollWait in seconds: a read that waits for new records.
	longPoll = 2.0
)

func reportCatalogue(ctx context.Context, r *Report, _ *figures) error {
	points, err := sizes([]int{5, 140, scaleWorkspaces}, func(n int) (catalogueRun, error) { return runCatalogue(ctx, n) },
		func(c catalogueRun) float64 { return c.memory }, func(c catalogueRun) float64 { return c.apply * 1e3 },
		func(c catalogueRun) float64 { return c.edit * 1e3 }, func(c catalogueRun) float64 { return c.bytes },
		func(c catalogueRun) float64 { return c.force })
	if err != nil {
		return err
	}
	at := make([]float64, len(points))
	for i, figure := range []struct{ name, unit string }{
		{"memory of a replica, 11 models and 900 engines", "B"}, {"CPU of applying an edit", "ms"},
		{"CPU of an edit in the editor's node, with one replica", "ms"}, {"bytes of an edit of one workspace", "B"},
		{"time until a replica has an accepted edit, log in memory", "s"},
	} {
		r.add(roleCatalogue, figure.name, figure.unit, "workspaces", scaleWorkspaces, points[i])
		at[i] = points[i][len(points[i])-1].Value
	}
	r.Parts = append(r.Parts, Part{
		Role:      roleCatalogue,
		State:     fmt.Sprintf("%d workspaces, %d models, %d engines in every node", scaleWorkspaces, scaleModels, scaleEngines),
		Messages:  fmt.Sprintf("%.0f B a change to every node, %s B/s for %d changes a day; a long poll each %.0f s", at[3], number(at[3]*scaleChanges/secondsPerDay), scaleChanges, longPoll),
		CPU:       fmt.Sprintf("%s ms to apply a change, %s of a core for %d a day; %s ms in the editor's node", number(at[1]), percent(at[1]/1e3*scaleChanges/secondsPerDay), scaleChanges, number(at[2])),
		Memory:    fmt.Sprintf("%s MB", number(at[0]/1e6)),
		Mechanism: "cataloguer.fold, follower.readPage (cataloguer/fold.go, follower/follower.go); without the log: detector rows and fetchSnapshot each second",
		GivesWay:  "the editor: the whole catalogue is sent, parsed and compared for each change; a change of one engine rewrites its whole pool",
	})
	r.check(roleCatalogue, "memory", "MB", at[0]/1e6, budgetMemory/1e6, Measured, "")
	r.check(roleCatalogue, "traffic of changes", "B/s", at[3]*scaleChanges/secondsPerDay, budgetTraffic, Reckoned, "")
	r.check(roleCatalogue, "time until in force, one long poll late", "s", at[4]+longPoll, scaleInForce, Reckoned, "")
	return nil
}
