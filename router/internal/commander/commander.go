// Package commander implements the command line of the router.
package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/loader"
	"coltsfootplank/router/internal/assembler"
	"coltsfootplank/router/internal/notifier"
)

// Exit codes of the command.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// arguments holds the commands with their options.
type arguments struct {
	Serve serveCommand `cmd:"" help:"Run the daemon until SIGTERM, then stop gracefully."`
	Check checkCommand `cmd:"" help:"Check a settings file and exit."`
}

type serveCommand struct {
	Settings string `required:"" placeholder:"FILE" help:"YAML settings file."`
}

type checkCommand struct {
	Settings string `required:"" placeholder:"FILE" help:"YAML settings file."`
}

const description = `Entry daemon of coltsfootplank.

Exit codes: 0 planned stop with every accepted request finished; 1 failure; 2 wrong usage or settings.
SIGTERM and SIGINT start a planned stop. SIGHUP reads the settings file again.`

// Run runs the command and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	var options arguments
	code := exitOK
	exited := false
	parser, err := kong.New(&options, kong.Name("router"), kong.Description(description),
		kong.Writers(stdout, stderr), kong.Exit(func(int) { exited = true }))
	if err != nil {
		report(stderr, err)
		return exitFailure
	}
	command, err := parser.Parse(args)
	if exited {
		return code
	}
	if err != nil {
		report(stderr, err)
		return exitUsage
	}
	switch command.Command() {
	case "check":
		return check(options.Check.Settings, stdout, stderr)
	default:
		return serve(options.Serve.Settings, stderr)
	}
}

func check(file string, stdout, stderr io.Writer) int {
	settings, code := load(file, stderr)
	if settings == nil {
		return code
	}
	// There is no other place to report a failed write.
	_, _ = fmt.Fprintf(stdout, "%s: settings of router %q are valid\n", file, settings.Name)
	return exitOK
}

func load(file string, stderr io.Writer) (*loader.Settings, int) {
	settings, err := loader.Load(file)
	if err != nil {
		report(stderr, err)
		return nil, exitUsage
	}
	return settings, exitOK
}

func serve(file string, stderr io.Writer) int {
	settings, code := load(file, stderr)
	if settings == nil {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	router, cleanup, err := assembler.New(settings)
	if err != nil {
		report(stderr, err)
		return exitFailure
	}
	defer cleanup()
	var reloads errgroup.Group
	stopped := make(chan struct{})
	reloads.Go(func() error { reload(router, file, notifier.Hangups(), stopped, stderr); return nil })
	err = router.Run(ctx)
	close(stopped)
	_ = reloads.Wait()
	if err != nil {
		report(stderr, err)
		return exitFailure
	}
	return exitOK
}

// reload applies the settings file after each SIGHUP. A file with errors is reported and changes nothing.
func reload(router *assembler.Router, file string, hangups <-chan os.Signal, stopped <-chan struct{}, stderr io.Writer) {
	for {
		select {
		case <-stopped:
			return
		case <-hangups:
		}
		if settings, _ := load(file, stderr); settings != nil {
			router.Reload(settings)
		}
	}
}

func report(stderr io.Writer, err error) {
	// There is no other place to report a failed write.
	_, _ = fmt.Fprintf(stderr, "router: %v\n", err)
}
