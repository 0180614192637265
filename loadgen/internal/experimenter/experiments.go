package experimenter

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"golang.org/x/sync/errgroup"
)

// experiment measures one policy.
type experiment struct {
	name string
	run  func(seed uint64) []Row
}

var experiments = []experiment{
	{"tiers", measureTiers},
	{"shares", measureShares},
	{"lengths", measureLengths},
	{"deadlines", measureDeadlines},
	{"engines", measureEngines},
	{"prefixes", measurePrefixes},
	{"poison", measurePoison},
	{"poison_part", measurePoisonPart},
	{"limits", measureLimits},
	{"retries", measureRetries},
	{costName, measureCost},
}

// Run runs the experiment with the given name, or all of them if only is empty, up to four at a time. It returns the
// rows in the order of the experiments. The cost experiment runs last and alone, because it measures real time.
func Run(ctx context.Context, seed uint64, only string) ([]Row, error) {
	chosen := experiments
	if only != "" {
		i := slices.IndexFunc(experiments, func(e experiment) bool { return e.name == only })
		if i < 0 {
			return nil, &UnknownExperimentError{Name: only}
		}
		chosen = experiments[i : i+1]
	}
	const maxConcurrent = 4
	results := make([][]Row, len(chosen))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrent)
	for i, e := range chosen {
		if e.name == costName {
			continue
		}
		group.Go(func() error {
			if ctx.Err() == nil {
				results[i] = e.run(seed)
			}
			return ctx.Err()
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for i, e := range chosen {
		if e.name == costName {
			results[i] = e.run(seed)
		}
	}
	rows := slices.Concat(results...)
	for i := range rows {
		rows[i].Seed = seed
	}
	return rows, nil
}

// costName is the name of the only experiment that measures real time.
const costName = "cost"

// UnknownExperimentError is returned if no experiment has the requested name.
type UnknownExperimentError struct{ Name string }

func (e *UnknownExperimentError) Error() string {
	names := make([]string, len(experiments))
	for i, known := range experiments {
		names[i] = known.name
	}
	return fmt.Sprintf("unknown experiment %q; known experiments are %s", e.Name, strings.Join(names, ", "))
}
