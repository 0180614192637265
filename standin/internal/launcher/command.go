package launcher

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"coltsfootplank/standin/internal/configurer"
)

// Commands is the command line of the program.
type Commands struct {
	Serve   ServeCommand   `cmd:"" help:"Serve the platform until SIGINT or SIGTERM."`
	Example ExampleCommand `cmd:"" name:"example-settings" help:"Print an example settings file."`
}

// ServeCommand serves the platform. Once all components listen, it prints their addresses as one JSON object to
// standard output.
type ServeCommand struct {
	Settings string `required:"" type:"existingfile" placeholder:"FILE" help:"Settings file (YAML)."`
	Verbose  bool   `help:"Log debug messages too."`
}

// ExampleCommand prints an example settings file.
type ExampleCommand struct{}

// Run serves until a signal arrives.
func (c *ServeCommand) Run() error {
	settings, err := configurer.Load(c.Settings)
	if err != nil {
		return err
	}
	log, err := newLog(c.Verbose)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	platform, err := New(ctx, group, log, settings)
	if err == nil {
		err = json.NewEncoder(os.Stdout).Encode(platform.Addresses())
	}
	if err != nil {
		stop()
		_ = group.Wait()
		return err
	}
	log.Info("platform started", zap.String("control", platform.control.Address()))
	return group.Wait()
}

// Run prints the example.
func (c *ExampleCommand) Run() error {
	_, err := os.Stdout.Write(configurer.Example)
	return err
}

func newLog(verbose bool) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	config.Sampling = nil
	if verbose {
		config.Level = zap.NewAtomicLevelAt(zap.DebugLevel)
	}
	return config.Build()
}
