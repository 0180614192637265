package commander

import (
	"io"

	"coltsfootplank/loadgen/internal/extrapolator"
	"coltsfootplank/loadgen/internal/reporter"
)

type capacityCommand struct {
	JSON  bool   `help:"Print the report as JSON instead of tables." name:"json"`
	Write string `help:"Also write the tables between the markers of this page." placeholder:"FILE"`
}

// Run measures the capacity, prints the report and writes its tables into the page if one is given.
func (c *capacityCommand) Run(env environment) error {
	report, err := extrapolator.Run(env.ctx, env.diagnostics)
	if err != nil {
		return err
	}
	if c.Write != "" {
		if err := report.WritePage(c.Write); err != nil {
			return err
		}
	}
	if c.JSON {
		return report.WriteJSON(env.out)
	}
	_, err = io.WriteString(env.out, report.Markdown())
	return reporter.Error.Wrap(err)
}
