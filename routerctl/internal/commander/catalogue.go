package commander

import (
	"io"
	"os"
	"time"

	"coltsfootplank/internal/protocol"
	"coltsfootplank/routerctl/internal/differ"
	"coltsfootplank/routerctl/internal/printer"
)

type catalogueCommands struct {
	Get     catalogueGet     `cmd:"" help:"Print the current catalogue; yaml output can be edited and applied."`
	Apply   catalogueApply   `cmd:"" help:"Replace the catalogue, if its revision still is the base revision."`
	Diff    catalogueDiff    `cmd:"" help:"Print how a file differs from the current catalogue."`
	History catalogueHistory `cmd:"" help:"Print the last edits, newest first, refused ones included."`
}

type catalogueGet struct{}

// Run prints the catalogue; YAML is printed as the router sent it, so that the order of its entries is kept.
func (c *catalogueGet) Run(s session) error {
	current, err := s.current()
	if err != nil {
		return err
	}
	if s.options.Output == printer.YAML {
		_, err := io.WriteString(s.streams.Out, current.Yaml)
		return printer.Error.Wrap(err)
	}
	value, err := differ.Parse([]byte(current.Yaml))
	if err != nil {
		return &CatalogueError{Source: "of the router", Cause: err}
	}
	return s.print(value)
}

type catalogueApply struct {
	File      string `arg:"" help:"Catalogue file in YAML; - reads stdin."`
	Base      uint64 `help:"Revision that the file was made from." required:""`
	Editor    string `help:"Who makes the edit; kept in the history." env:"USER" default:"operator"`
	CheckOnly bool   `help:"Only check the catalogue; change nothing."`
}

type applied struct {
	Revision uint64 `yaml:"revision" json:"revision"`
	Offset   int64  `yaml:"offset" json:"offset"`
}

// Run applies the file and prints the new revision.
func (c *catalogueApply) Run(s session) error {
	text, err := s.readFile(c.File)
	if err != nil {
		return err
	}
	client, err := s.client()
	if err != nil {
		return err
	}
	answer, err := client.ApplyCatalogue(s.ctx, &protocol.ApplyCatalogueRequest{
		BaseRevision: c.Base, Editor: c.Editor, Yaml: string(text), ValidateOnly: c.CheckOnly})
	if err != nil && c.CheckOnly {
		return &CallError{Operation: "check catalogue", Address: s.options.Admin, Cause: err}
	}
	if err != nil {
		return &ChangeError{Operation: "apply catalogue", Address: s.options.Admin, Cause: err}
	}
	if c.CheckOnly {
		return s.print(map[string]bool{"valid": true})
	}
	return s.print(applied{Revision: answer.Revision, Offset: answer.Offset})
}

type catalogueDiff struct {
	File string `arg:"" help:"Catalogue file in YAML; - reads stdin."`
}

// Run prints the differences by entry and field; the exit code doesn't depend on whether there are any.
func (c *catalogueDiff) Run(s session) error {
	text, err := s.readFile(c.File)
	if err != nil {
		return err
	}
	wanted, err := differ.ParseStrict(text)
	if err != nil {
		return &CatalogueError{Source: c.File, Cause: err}
	}
	current, err := s.current()
	if err != nil {
		return err
	}
	present, err := differ.Parse([]byte(current.Yaml))
	if err != nil {
		return &CatalogueError{Source: "of the router", Cause: err}
	}
	return s.print(differ.Compare(present, wanted))
}

type catalogueHistory struct {
	Limit uint32 `help:"Number of edits." default:"20"`
}

type edit struct {
	Revision uint64 `yaml:"revision" json:"revision"`
	Offset   int64  `yaml:"offset" json:"offset"`
	Editor   string `yaml:"editor" json:"editor"`
	Accepted bool   `yaml:"accepted" json:"accepted"`
	Reason   string `yaml:"reason,omitempty" json:"reason,omitempty"`
	Applied  string `yaml:"applied" json:"applied"`
}

// Run prints the last edits.
func (c *catalogueHistory) Run(s session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	answer, err := client.History(s.ctx, &protocol.HistoryRequest{Limit: c.Limit})
	if err != nil {
		return &CallError{Operation: "read catalogue history", Address: s.options.Admin, Cause: err}
	}
	edits := make([]edit, 0, len(answer.Entries))
	for _, entry := range answer.Entries {
		edits = append(edits, edit{Revision: entry.Revision, Offset: entry.Offset, Editor: entry.Editor,
			Accepted: entry.Accepted, Reason: entry.Reason,
			Applied: time.UnixMilli(entry.AppliedUnixMs).UTC().Format(time.RFC3339Nano)})
	}
	return s.print(edits)
}

func (s session) current() (*protocol.GetCatalogueResponse, error) {
	client, err := s.client()
	if err != nil {
		return nil, err
	}
	current, err := client.GetCatalogue(s.ctx, &protocol.GetCatalogueRequest{})
	if err != nil {
		return nil, &CallError{Operation: "get catalogue", Address: s.options.Admin, Cause: err}
	}
	return current, nil
}

func (s session) readFile(file string) ([]byte, error) {
	if file == "-" {
		text, err := io.ReadAll(s.streams.In)
		if err != nil {
			return nil, &FileError{File: "stdin", Cause: err}
		}
		return text, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	return text, nil
}
