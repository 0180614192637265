package commander

import "coltsfootplank/internal/loader"

type settingsCommands struct {
	Check     settingsCheck     `cmd:"" help:"Check a settings file and the certificate files that it names."`
	Reference settingsReference `cmd:"" help:"Describe every setting with unit, default and range."`
}

type settingsCheck struct {
	File string `arg:"" help:"Settings file of a router."`
}

// Run prints the settings with all defaults filled in, or fails with all problems.
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

type settingsReference struct{}

// Run prints the reference that is generated from the settings structs.
func (c *settingsReference) Run(s session) error { return s.print(loader.Reference()) }
