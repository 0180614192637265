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

// catalogueRun is the result at one number of workspaces: memory and bytes of a replica, and of one edit the CPU of
// a replica and the editor in seconds, bytes, and time until another replica has it in seconds.
type catalogueRun struct {
	memory float64
	apply  float64
	edit   float64
	bytes  float64
	force  float64
}

// catalogueText is a catalogue of the design scale but for the number of workspaces. weight changes one of them.
func catalogueText(workspaces, weight int) []byte {
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

// replica follows a log until it is closed.
type replica struct {
	*cataloguer.Cataloguer
	cancel context.CancelFunc
	group  errgroup.Group
}

func follow(ctx context.Context, log *fakes.Log) *replica {
	r := &replica{Cataloguer: cataloguer.New(log, cataloguer.Options{}, zap.NewNop())}
	ctx, r.cancel = context.WithCancel(ctx)
	r.group.Go(func() error { return r.Run(ctx) })
	return r
}

func (r *replica) close() {
	r.cancel()
	_ = r.group.Wait() // the end of the context is no failure
}

func (r *replica) await(revision uint64) error {
	return waitUntil(time.Millisecond, 30*time.Second, "a replica has a revision", func() bool {
		return r.Complete() && r.Current().Revision >= revision
	})
}

func runCatalogue(ctx context.Context, workspaces int) (catalogueRun, error) {
	var run catalogueRun
	log := fakes.NewLog()
	editor := follow(ctx, log)
	defer editor.close()
	if err := editor.await(0); err != nil {
		return run, err
	}
	if _, _, err := editor.Apply(ctx, 0, "e", catalogueText(workspaces, 1)); err != nil {
		return run, err
	}
	base := memory()
	first := follow(ctx, log)
	defer first.close()
	whole, err := spent(func() error { return first.await(1) })
	if err != nil {
		return run, err
	}
	run.memory = memory() - base
	edits, err := spent(func() error {
		for i := range uint64(measuredEdits) {
			text := catalogueText(workspaces, int(i)+2)
			if _, _, err := editor.Apply(ctx, i+1, "e", text); err != nil {
				return err
			}
			start := time.Now()
			if err := first.await(i + 2); err != nil {
				return err
			}
			run.force = max(run.force, time.Since(start).Seconds())
		}
		return nil
	})
	if err != nil {
		return run, err
	}
	run.edit = edits.cpu.Seconds() / measuredEdits
	records := log.Records(cataloguer.Stream)
	run.bytes = float64(len(records[len(records)-1].Data))
	replay, err := spent(func() error {
		late := follow(ctx, log)
		defer late.close()
		return late.await(1 + measuredEdits)
	})
	run.apply = max(0, replay.cpu.Seconds()-whole.cpu.Seconds()) / measuredEdits
	return run, err
}
