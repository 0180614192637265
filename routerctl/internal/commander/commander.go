// Package commander parses the command line of routerctl and runs its commands.
package commander

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"coltsfootplank/internal/protocol/protocolconnect"
	"coltsfootplank/routerctl/internal/printer"
)

// Streams are the standard streams of the process.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// commandLine holds the commands and the options that they share.
type commandLine struct {
	Admin    string         `help:"Administration address of any router, as IP:port." default:"127.0.0.1:9002" env:"ROUTERCTL_ADMIN"`
	Timeout  time.Duration  `help:"Longest time that one command may take." default:"15s"`
	Output   printer.Format `help:"Output format: yaml or json." short:"o" enum:"yaml,json" default:"yaml"`
	CAFile   string         `help:"PEM file of the authorities for the router's certificate; turns on TLS." name:"ca-file"`
	CertFile string         `help:"PEM file of the client certificate." name:"cert-file"`
	KeyFile  string         `help:"PEM file of the client key." name:"key-file"`

	Catalogue catalogueCommands `cmd:"" help:"Read and edit the catalogue."`
	Settings  settingsCommands  `cmd:"" help:"Check a settings file of the router, or describe all settings."`
	Check     checkCommand      `cmd:"" help:"Check an operators' configuration and a router's settings; sends nothing."`
	State     stateCommand      `cmd:"" help:"Print the state of one router."`
	Drain     drainCommand      `cmd:"" help:"Start the planned stop of one router."`
}

// session holds what a command needs besides its own options.
type session struct {
	ctx     context.Context
	streams Streams
	options *commandLine
}

func (s session) print(value any) error { return printer.Print(s.streams.Out, s.options.Output, value) }

// client returns a client of the router's administration API.
func (s session) client() (protocolconnect.AdminServiceClient, error) {
	httpClient, scheme, err := s.options.transport()
	if err != nil {
		return nil, err
	}
	return protocolconnect.NewAdminServiceClient(httpClient, scheme+"://"+s.options.Admin), nil
}

const description = `Operators' command line for coltsfootplank. Errors go to stderr in one line.

Exit codes:
0 success;
1 failure, nothing was changed;
2 wrong usage;
3 conflict: the catalogue has moved on from the base revision, nothing was changed;
4 validation: the catalogue or the settings are invalid, nothing was changed;
5 unavailable: the router or the log could not be used, nothing was changed;
6 outcome unknown: the change may or may not have taken effect; read before a repeat.

The codes of check are 0 nothing found (or only differences), 1 findings, 2 a file can't be read or decoded.`

// Run runs one command line and returns the exit code.
func Run(ctx context.Context, arguments []string, streams Streams) int {
	var options commandLine
	helpShown := false
	parser, err := kong.New(&options, kong.Name("routerctl"), kong.Description(description),
		kong.Writers(streams.Out, streams.Err), kong.Exit(func(int) { helpShown = true }))
	if err != nil {
		return report(streams.Err, err)
	}
	parsed, err := parser.Parse(arguments)
	if helpShown {
		return exitSuccess
	}
	if err != nil {
		return report(streams.Err, &UsageError{Cause: err})
	}
	ctx, cancel := context.WithTimeout(ctx, options.Timeout)
	defer cancel()
	if err := parsed.Run(session{ctx: ctx, streams: streams, options: &options}); err != nil {
		return report(streams.Err, err)
	}
	return exitSuccess
}

// report prints an error as one line and returns its exit code.
func report(stderr io.Writer, err error) int {
	text := strings.Join(strings.FieldsFunc(err.Error(), func(r rune) bool { return r == '\n' }), "; ")
	// A failed write to stderr can't be reported; the exit code still shows the failure.
	_, _ = fmt.Fprintf(stderr, "routerctl: %s\n", text)
	return exitCode(err)
}
