// Command loadgen is the open-loop load generator of coltsfootplank.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"coltsfootplank/loadgen/internal/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := commander.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
