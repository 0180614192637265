package commander

import (
	"fmt"
	"strings"

	"coltsfootplank/loadgen/internal/experimenter"
)

type measureCommand struct {
	Seed uint64 `help:"Seed of arrivals, lengths and faults." default:"1"`
	Only string `help:"Measure only this policy." placeholder:"NAME"`
	JSON bool   `help:"Print the rows as JSON instead of a table." name:"json"`
}

// Run measures the scheduler's policies, prints the rows and fails if a row misses its bound.
func (c *measureCommand) Run(env environment) error {
	rows, err := experimenter.Run(env.ctx, c.Seed, c.Only)
	if err != nil {
		return err
	}
	write := experimenter.WriteTable
	if c.JSON {
		write = experimenter.WriteJSON
	}
	if err := write(env.out, rows); err != nil {
		return err
	}
	var missed []string
	for _, r := range rows {
		if !r.Met {
			missed = append(missed, r.Name)
		}
	}
	if len(missed) > 0 {
		return &MissedError{Names: missed}
	}
	return nil
}

// MissedError lists the measurements that missed their bounds.
type MissedError struct{ Names []string }

func (e *MissedError) Error() string {
	return fmt.Sprintf("%d bounds missed: %s", len(e.Names), strings.Join(e.Names, "; "))
}
