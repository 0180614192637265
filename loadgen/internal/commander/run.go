package commander

import (
	"coltsfootplank/loadgen/internal/planner"
	"coltsfootplank/loadgen/internal/reporter"
	"coltsfootplank/loadgen/internal/runner"
)

type runCommand struct {
	Settings   string  `help:"Load settings file." required:""`
	JSON       bool    `help:"Print the report as JSON instead of a table." name:"json"`
	MaxLost    int     `help:"Exit with 3 if more accepted requests than this have no whole answer; -1 turns the check off." default:"-1"`
	MaxTwice   int     `help:"Exit with 3 if the stand-ins ran more streams and bookings than this more than once; -1 turns the check off." default:"-1"`
	MinGoodput float64 `help:"Exit with 3 if the share of good answers is below this (0 to 1)." default:"0"`
}

// Run sends the load and prints the report.
func (c *runCommand) Run(env environment) error {
	settings, err := planner.Load(c.Settings)
	if err != nil {
		return err
	}
	report, err := runner.Run(env.ctx, settings, env.diagnostics)
	if report != nil {
		if printErr := c.print(env, report); printErr != nil {
			return printErr
		}
	}
	if err != nil {
		return err
	}
	if c.MaxLost >= 0 && report.Lost > c.MaxLost {
		return &BoundError{Quantity: "number of lost answers", Got: float64(report.Lost), Want: float64(c.MaxLost)}
	}
	if c.MaxTwice >= 0 && report.Duplicates > c.MaxTwice {
		return &BoundError{Quantity: "number of requests run twice", Got: float64(report.Duplicates), Want: float64(c.MaxTwice)}
	}
	if report.Total.Goodput < c.MinGoodput {
		return &BoundError{Quantity: "goodput", Got: report.Total.Goodput, Want: c.MinGoodput}
	}
	return nil
}

func (c *runCommand) print(env environment, report *reporter.Report) error {
	if c.JSON {
		return report.WriteJSON(env.out)
	}
	return report.WriteTable(env.out)
}
