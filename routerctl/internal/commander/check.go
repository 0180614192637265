package commander

import (
	"fmt"
	"io"
	"strings"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/loader"
	"coltsfootplank/routerctl/internal/inspector"
	"coltsfootplank/routerctl/internal/printer"
)

type checkCommand struct {
	Configuration string `arg:"" help:"Operators' configuration in JSON, as it is published."`
	Settings      string `arg:"" help:"Settings file of a router that would serve it."`
	Against       string `help:"Other version of the configuration; what differs in meaning is printed too."`
}

// Run prints the findings, one in each line or as JSON, and returns a *FindingsError if any is more than a difference. It
// sends nothing.
func (c *checkCommand) Run(s session) error {
	text, err := s.readFile(c.Settings)
	if err != nil {
		return &UnreadableError{Cause: err}
	}
	settings, err := loader.Parse(c.Settings, text)
	if err != nil {
		return &UnreadableError{Cause: err}
	}
	protocol := settings.Gateway.Directory.Protocol
	configuration, err := s.readConfiguration(c.Configuration, protocol)
	if err != nil {
		return err
	}
	findings := inspector.Inspect(configuration, inspector.Settings{File: c.Settings, Text: text, Settings: settings})
	problems := len(findings)
	if c.Against != "" {
		before, err := s.readConfiguration(c.Against, protocol)
		if err != nil {
			return err
		}
		findings = append(findings, inspector.Differences(before, configuration)...)
	}
	if err := s.printFindings(findings); err != nil {
		return err
	}
	if problems > 0 {
		return &FindingsError{Count: problems}
	}
	return nil
}

func (s session) readConfiguration(file, protocol string) (inspector.Configuration, error) {
	text, err := s.readFile(file)
	if err != nil {
		return inspector.Configuration{}, &UnreadableError{Cause: err}
	}
	read, err := kernel.PublicationReaders.Lookup(protocol)
	if err != nil {
		return inspector.Configuration{}, &UnreadableError{Cause: err}
	}
	source, err := read(text)
	if err != nil {
		return inspector.Configuration{}, &UnreadableError{Cause: &FileError{File: file, Cause: err}}
	}
	return inspector.Configuration{File: file, PublicationSource: source}, nil
}

func (s session) printFindings(findings []inspector.Finding) error {
	if s.options.Output == printer.JSON {
		if findings == nil {
			findings = []inspector.Finding{}
		}
		return s.print(findings)
	}
	var lines strings.Builder
	for _, finding := range findings {
		// Writing to memory can't fail.
		_, _ = fmt.Fprintln(&lines, finding)
	}
	_, err := io.WriteString(s.streams.Out, lines.String())
	return printer.Error.Wrap(err)
}
