package assembler

import (
	"math"
	"syscall"

	"github.com/rcrowley/go-metrics"

	"coltsfootplank/internal/accountant"
	"coltsfootplank/internal/admitter"
	"coltsfootplank/internal/loader"
)

// ownMemoryParts divides limits.memory_mb: one part is for what doesn't depend on clients.
const ownMemoryParts = 8

// admitters bound the connections of the listeners.
type admitters struct {
	callers, peers, operators, readiness *admitter.Admitter
}

// newAccount returns the account of what clients and engines make the router keep, of which one part is left for the rest.
func newAccount(limits loader.Limits, registry metrics.Registry) *accountant.Accountant {
	limit := int64(limits.MemoryMB) << 20
	return accountant.New(limit-limit/ownMemoryParts, registry)
}

// newAdmitters creates the admitters of all listeners. The published limits apply to callers only.
func (r *Router) newAdmitters(published func() admitter.Published) admitters {
	bounds := admitter.Derive(resources(r.settings.Limits))
	create := func(name string, bounds admitter.Bounds, options admitter.Options) *admitter.Admitter {
		options.Name, options.Bounds, options.Account = name, bounds, r.account
		options.Metrics, options.Logger = r.metrics, r.logger.Logger
		return admitter.New(options)
	}
	tls := r.settings.TLS
	return admitters{
		callers:   create("callers", bounds.Callers, admitter.Options{Published: published, Encrypted: tls.Callers.CertFile != ""}),
		peers:     create("peers", bounds.Peers, admitter.Options{Encrypted: tls.Peers.CertFile != "", HTTP2: true}),
		operators: create("operators", bounds.Operators, admitter.Options{Encrypted: tls.Admin.CertFile != ""}),
		readiness: create("readiness", bounds.Readiness, admitter.Options{}),
	}
}

// resources returns what the settings allow for clients. Descriptors that the settings don't state are those of the process.
func resources(limits loader.Limits) admitter.Resources {
	descriptors := limits.Descriptors
	if descriptors == 0 {
		var limit syscall.Rlimit
		descriptors = math.MaxInt32
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < math.MaxInt32 {
			descriptors = int(limit.Cur)
		}
	}
	return admitter.Resources{
		Memory: int64(limits.MemoryMB) << 20, Descriptors: descriptors, HeadBytes: limits.MaxHeaderBytes,
		LineBytes: limits.MaxHeaderLineBytes, Fields: limits.MaxHeaderFields, Connections: limits.MaxConnections,
		PerAddress: limits.MaxUnfinishedPerAddress,
	}
}
