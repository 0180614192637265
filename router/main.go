// Command router is the daemon of an entry VM: it accepts callers' requests, schedules them together with the other
// routers, and dispatches each at most once.
package main

import (
	"os"

	"coltsfootplank/router/internal/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
