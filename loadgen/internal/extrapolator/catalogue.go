package extrapolator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/fakes"
)

// measuredEdits is the number of edits that are replayed at each size.
const measuredEdits = 10

// catalogueResult is the result at one number of workspaces: the memory of a replica in bytes and, for one edit, the CPU
// of a replica that applies it, the CPU of the editor with one replica, the size of its record in bytes and the longest
// time until the replica has it. CPU and time are in seconds.
type catalogueResult struct {
	memory      float64
	applyCPU    float64
	editCPU     float64
	editBytes   float64
	propagation float64
}

// catalogueYAML returns a catalogue with the models and engines of the design scale and the given number of
// workspaces. weight is the weight of one of the workspaces, so that each new value makes an edit.
func catalogueYAML(workspaces, weight int) []byte {
	var text strings.Builder
	text.WriteString("workspaces:\n")
	for i := range workspaces {
		w := 1
		if i == workspaces/2 {
			w = weight
		}
		fmt.Fprintf(&text, "- {name: workspace-%04d, weight: %d, key_hashes: [\"%064x\"]}\n", i, w, i+1)
	}
	text.WriteString("pools:\n")
	engine := 0
	for model := range scaleModels {
		fmt.Fprintf(&text, "- name: pool-%02d\n  protocol: httpengine\n  upstreams:\n", model)
		for ; engine < (model+1)*scaleEngines/scaleModels; engine++ {
			fmt.Fprintf(&text, "  - {name: engine-%04d, address: \"10.0.%d.%d:8000\", data_centre: dc-%d, slots: 16}\n",
				engine, engine/250, engine%250+1, engine%scaleDataCentres)
		}
	}
	text.WriteString("works:\n")
	for model := range scaleModels {
		fmt.Fprintf(&text, "- {name: work-%02d, owner: o, class: stream, tier: %d, pool: pool-%02d, model: model-%02d, idempotent: true}\n",
			model, model%4, model, model)
	}
	return []byte(text.String())
}

// replica follows the catalogue stream of a log until it is closed.
type replica struct {
	*cataloguer.Cataloguer
	cancel context.CancelFunc
	group  errgroup.Group
}

func startReplica(ctx context.Context, log *fakes.Log) *replica {
	r := &replica{Cataloguer: cataloguer.New(log, cataloguer.Options{}, zap.NewNop())}
	ctx, r.cancel = context.WithCancel(ctx)
	r.group.Go(func() error { return r.Run(ctx) })
	return r
}

func (r *replica) close() {
	r.cancel()
	_ = r.group.Wait() // Run ends because its context was cancelled, which is no failure.
}

func (r *replica) awaitRevision(revision uint64) error {
	return waitUntil(time.Millisecond, 30*time.Second, "the replica has the revision", func() bool {
		return r.Complete() && r.Current().Revision >= revision
	})
}

func measureCatalogue(ctx context.Context, workspaces int) (catalogueResult, error) {
	var result catalogueResult
	log := fakes.NewLog()
	editor := startReplica(ctx, log)
	defer editor.close()
	if err := editor.awaitRevision(0); err != nil {
		return result, err
	}
	if _, _, err := editor.Apply(ctx, 0, "e", catalogueYAML(workspaces, 1)); err != nil {
		return result, err
	}
	base := memoryInUse()
	earlyReplica := startReplica(ctx, log)
	defer earlyReplica.close()
	initial, err := measureCost(func() error { return earlyReplica.awaitRevision(1) })
	if err != nil {
		return result, err
	}
	result.memory = memoryInUse() - base
	edits, err := measureCost(func() error {
		for i := range uint64(measuredEdits) {
			text := catalogueYAML(workspaces, int(i)+2)
			if _, _, err := editor.Apply(ctx, i+1, "e", text); err != nil {
				return err
			}
			start := time.Now()
			if err := earlyReplica.awaitRevision(i + 2); err != nil {
				return err
			}
			result.propagation = max(result.propagation, time.Since(start).Seconds())
		}
		return nil
	})
	if err != nil {
		return result, err
	}
	result.editCPU = edits.cpu.Seconds() / measuredEdits
	records := log.Records(cataloguer.Stream)
	result.editBytes = float64(len(records[len(records)-1].Data))
	replay, err := measureCost(func() error {
		lateReplica := startReplica(ctx, log)
		defer lateReplica.close()
		return lateReplica.awaitRevision(1 + measuredEdits)
	})
	result.applyCPU = max(0, replay.cpu.Seconds()-initial.cpu.Seconds()) / measuredEdits
	return result, err
}
