// Package commander parses the command line of loadgen and runs its commands.
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"

	"coltsfootplank/internal/loader"
)

// Exit codes. They are documented in the help text.
const (
	exitSuccess  = 0
	exitFailure  = 1
	exitUsage    = 2
	exitBound    = 3
	exitSettings = 4
)

type commandLine struct {
	Run    runCommand    `cmd:"" help:"Send a load and report goodput by tier, wasted prefill and latencies."`
	Sample sampleCommand `cmd:"" help:"Send one request of each kind of work and print the answers."`

	Measure  measureCommand  `cmd:"" help:"Measure the scheduler's policies against their baselines on virtual time."`
	Capacity capacityCommand `cmd:"" help:"Measure the parts of the router on this machine and extrapolate to the design scale."`
}

// environment holds the context and outputs that every command gets.
type environment struct {
	ctx              context.Context
	out, diagnostics io.Writer
}

const description = `Open-loop load generator for coltsfootplank. Progress and errors go to stderr.

Exit codes: 0 success; 1 failure, or a bound of measure is missed; 2 wrong usage; 3 the result is below a demanded bound, or a sample is not whole;
4 the settings are invalid.`

// Run parses and runs a command line and returns the exit code.
func Run(ctx context.Context, arguments []string, out, diagnostics io.Writer) int {
	var line commandLine
	helpShown := false
	parser, err := kong.New(&line, kong.Name("loadgen"), kong.Description(description),
		kong.Writers(out, diagnostics), kong.Exit(func(int) { helpShown = true }))
	if err != nil {
		return report(diagnostics, err)
	}
	parsed, err := parser.Parse(arguments)
	if helpShown {
		return exitSuccess
	}
	if err != nil {
		return report(diagnostics, &UsageError{Cause: err})
	}
	if err := parsed.Run(environment{ctx: ctx, out: out, diagnostics: diagnostics}); err != nil {
		return report(diagnostics, err)
	}
	return exitSuccess
}

// report prints an error on one line and returns its exit code.
func report(diagnostics io.Writer, err error) int {
	// If stderr is closed, the exit code still reports the failure.
	_, _ = fmt.Fprintf(diagnostics, "loadgen: %s\n", strings.ReplaceAll(err.Error(), "\n", "; "))
	var (
		usage    *UsageError
		bound    *BoundError
		read     *loader.ReadError
		settings loader.SettingsErrors
	)
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &bound):
		return exitBound
	case errors.As(err, &read):
		return exitFailure
	case errors.As(err, &settings):
		return exitSettings
	}
	return exitFailure
}

// UsageError reports an invalid command line.
type UsageError struct {
	Cause error
}

func (e *UsageError) Error() string { return e.Cause.Error() + " (see loadgen --help)" }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Cause }

// BoundError reports a result outside a required bound.
type BoundError struct {
	Quantity string
	Got      float64
	Want     float64
}

func (e *BoundError) Error() string {
	return fmt.Sprintf("%s is %g, the required bound is %g", e.Quantity, e.Got, e.Want)
}
