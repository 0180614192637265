// Package notifier registers for SIGHUP when the process initialises its packages. Until a process has registered for it,
// the signal ends the process. The package imports next to nothing, so that it is among the first to be initialised.
package notifier

import (
	"os"
	"os/signal"
	"syscall"
)

// hangups has room for one signal: several reloads that are due are one.
var hangups = register()

func register() chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// Hangups returns the channel on which SIGHUP arrives, also if it came before this call.
func Hangups() <-chan os.Signal { return hangups }
