package assembler

import (
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/loader"
)

// platform holds the clients of the platform's services. VMList is nil if the settings have no address for it.
type platform struct {
	Log    kernel.LogProtocol
	VMList kernel.VMListProtocol
}

// cleanups collects clean-up functions and runs them in reverse order.
type cleanups []func()

func (c *cleanups) add(f func()) { *c = append(*c, f) }

func (c *cleanups) run() {
	for i := len(*c) - 1; i >= 0; i-- {
		(*c)[i]()
	}
	*c = nil
}

// newPlatform creates the clients that the settings specify.
func newPlatform(settings loader.Platform, closers *cleanups) (platform, error) {
	var result platform
	logFactory, err := kernel.Logs.Lookup(settings.Log.Protocol)
	if err != nil {
		return result, err
	}
	log, closeLog, err := logFactory(settings.Log.Address)
	if err != nil {
		return result, err
	}
	closers.add(closeLog)
	result.Log = log
	if settings.VMList.Address != "" {
		factory, err := kernel.VMLists.Lookup(settings.VMList.Protocol)
		if err != nil {
			return result, err
		}
		list, closeList, err := factory(settings.VMList.Address)
		if err != nil {
			return result, err
		}
		closers.add(closeList)
		result.VMList = list
	}
	return result, nil
}
