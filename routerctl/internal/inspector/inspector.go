// Package inspector looks for mistakes in an operators' configuration and a router's settings, without contact to any
// router.
package inspector

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/loader"
	"coltsfootplank/routerctl/internal/differ"
)

// Kind is the kind of a finding.
type Kind string

// Kinds of findings.
const (
	// Mistake is a value that is invalid or that isn't used as it is written.
	Mistake Kind = "error"
	// Unreachable is an entry that can never match.
	Unreachable Kind = "unreachable"
	// Contradiction is a pair of limits of which one makes the other useless.
	Contradiction Kind = "contradiction"
	// Difference is a difference from another version of the configuration. It isn't a problem.
	Difference Kind = "difference"
)

// Finding is one line of a report. Line is 0 if the file doesn't state the value.
type Finding struct {
	File   string `yaml:"file"`
	Line   int    `yaml:"line"`
	Kind   Kind   `yaml:"kind"`
	Reason string `yaml:"reason"`
}

func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Kind, f.Reason)
}

// Configuration is an operators' configuration and the name of its file.
type Configuration struct {
	File string
	*kernel.PublicationSource
}

// Settings are a router's settings with the name and the text of their file.
type Settings struct {
	File string
	Text []byte
	*loader.Settings
}

// inspection collects findings.
type inspection struct {
	configuration Configuration
	settings      Settings
	findings      []Finding
}

// Inspect returns the findings in a configuration and in the settings of the routers that would serve it, by file and line.
func Inspect(configuration Configuration, settings Settings) []Finding {
	i := &inspection{configuration: configuration, settings: settings}
	for _, note := range configuration.Notes {
		i.add(true, Mistake, note.Path, "%s", note.Message)
	}
	i.routes()
	i.services()
	i.workspaces()
	i.limits()
	slices.SortStableFunc(i.findings, func(a, b Finding) int {
		return cmp.Or(strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return i.findings
}

// add adds a finding about the value at a path of the configuration if it applies. The entry's line stands for that of a
// field that isn't stated.
func (i *inspection) add(applies bool, kind Kind, path, format string, arguments ...any) {
	if !applies {
		return
	}
	line := i.configuration.Lines[path]
	if dot := strings.LastIndexByte(path, '.'); line == 0 && dot > 0 {
		line = i.configuration.Lines[path[:dot]]
	}
	i.findings = append(i.findings, Finding{
		File: i.configuration.File, Line: line, Kind: kind, Reason: fmt.Sprintf(format, arguments...),
	})
}

// addSetting adds a finding about a setting if it applies.
func (i *inspection) addSetting(applies bool, kind Kind, setting, format string, arguments ...any) {
	if !applies {
		return
	}
	finding := Finding{File: i.settings.File, Kind: kind, Reason: setting + ": " + fmt.Sprintf(format, arguments...)}
	if path, err := yaml.PathString("$." + setting); err == nil {
		if node, err := path.ReadNode(strings.NewReader(string(i.settings.Text))); err == nil && node != nil {
			finding.Line = node.GetToken().Position.Line
		}
	}
	i.findings = append(i.findings, finding)
}

// Differences returns what differs in meaning between an earlier and the inspected configuration, whatever the order of
// their entries. Keys are only compared.
func Differences(before, after Configuration) []Finding {
	var findings []Finding
	for _, change := range differ.Compare(plain(before.Publication), plain(after.Publication)) {
		line := 1
		for prefix, found := range lineIndex(after) {
			if strings.HasPrefix(change.Path, prefix) {
				line = found
			}
		}
		reason := fmt.Sprintf("%s: %v, before %v", change.Path, text(change.To), text(change.From))
		findings = append(findings, Finding{File: after.File, Line: line, Kind: Difference, Reason: reason})
	}
	return findings
}

func text(value any) string {
	if value == nil {
		return "none"
	}
	return fmt.Sprint(value)
}

// lineIndex returns the lines of the named entries by their paths in the differences.
func lineIndex(c Configuration) map[string]int {
	index := make(map[string]int)
	for i, route := range c.Routes {
		index["routes["+route.Name+"]"] = c.Lines[fmt.Sprintf("Routes[%d]", i)]
	}
	for i, service := range c.Services {
		index["services["+service.Name+"]"] = c.Lines[fmt.Sprintf("Services[%d]", i)]
	}
	for i, workspace := range c.Workspaces {
		index["workspaces["+workspace.Name+"]"] = c.Lines[fmt.Sprintf("Workspaces[%d]", i)]
	}
	return index
}
