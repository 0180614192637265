package commander

import (
	"fmt"
	"io"
	"strings"

	"coltsfootplank/internal/loader"
	"coltsfootplank/routerctl/internal/printer"
)

type settingsCommands struct {
	Check     settingsCheck     `cmd:"" help:"Check a settings file and the certificate files that it names."`
	Reference settingsReference `cmd:"" help:"Describe every setting with unit, default and range."`
}

type settingsCheck struct {
	File string `arg:"" help:"Settings file of a router."`
}

// Run prints the settings with all defaults filled in, or returns all problems.
func (c *settingsCheck) Run(s session) error {
	settings, err := loader.Load(c.File)
	if err != nil {
		return err
	}
	if err := settings.TLS.Check().Err(); err != nil {
		return err
	}
	return s.print(settings)
}

type settingsReference struct {
	Markdown bool `help:"Print a Markdown table, as in docs/operators.md."`
}

// Run prints the reference that is generated from the settings structs.
func (c *settingsReference) Run(s session) error {
	if !c.Markdown {
		return s.print(loader.Reference())
	}
	_, err := io.WriteString(s.streams.Out, markdown(loader.Reference()))
	return printer.Error.Wrap(err)
}

func markdown(entries []loader.SettingEntry) string {
	text := strings.Builder{}
	text.WriteString("| setting | unit | default | range | meaning |\n|---|---|---|---|---|\n")
	for _, entry := range entries {
		unit, initial, allowed := entry.Unit, "`"+entry.Default+"`", entry.Range
		if unit == "" {
			unit = entry.Type
		}
		switch {
		case entry.Required && entry.Default == "":
			initial = "required"
		case entry.Default == "":
			initial = "none"
		}
		if allowed == "" {
			allowed = "any"
		}
		// Writing to memory can't fail.
		_, _ = fmt.Fprintf(&text, "| `%s` | %s | %s | %s | %s |\n", entry.Field, unit, initial, allowed, entry.Help)
	}
	return text.String()
}
