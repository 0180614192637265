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

// Run measures, prints the report and writes it into the page.
func (c *capacityCommand) Run(s session) error {
	report, err := extrapolator.Run(s.ctx, s.diagnostics)
	if err != nil {
		return err
	}
	if c.Write != "" {
		if err := report.WritePage(c.Write); err != nil {
			return err
		}
	}
	if c.JSON {
		return report.WriteJSON(s.out)
	}
	_, err = io.WriteString(s.out, report.Markdown())
	return reporter.Error.Wrap(err)
}
