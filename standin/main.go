// Command standin simulates the platform around the router: engines, order desk, log, VM list and weight store.
package main

import (
	"github.com/alecthomas/kong"

	"coltsfootplank/standin/internal/launcher"
)

func main() {
	var commands launcher.Commands
	command := kong.Parse(&commands, kong.Name("standin"),
		kong.Description("Platform for tests and demonstrations, all components in one process."))
	command.FatalIfErrorf(command.Run())
}
