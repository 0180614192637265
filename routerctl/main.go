// Command routerctl is the operators' command line for coltsfootplank.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	// The plug-in that reads operators' configurations.
	_ "coltsfootplank/platform"
	"coltsfootplank/routerctl/internal/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := commander.Run(ctx, os.Args[1:], commander.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
