// Command router is the daemon of an entry VM: it takes callers' requests, schedules them with its peers, and
// dispatches each at most once.
package main

import (
	"os"

	"coltsfootplank/router/internal/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
