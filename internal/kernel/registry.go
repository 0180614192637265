package kernel

import (
	"slices"
	"sync"
)

// Registry maps plug-in names to values of one kind. Plug-ins fill it from init functions.
type Registry[T any] struct {
	kind    string
	mu      sync.RWMutex
	entries map[string]T
}

// NewRegistry returns an empty registry; kind appears in errors.
func NewRegistry[T any](kind string) *Registry[T] {
	return &Registry[T]{kind: kind, entries: make(map[string]T)}
}

// Register adds a plug-in. It panics with a *DuplicatePluginError if the name is already registered, because two
// plug-ins with one name are a programming error that must stop the process at start.
func (r *Registry[T]) Register(name string, plugin T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, taken := r.entries[name]; taken {
		panic(&DuplicatePluginError{Kind: r.kind, Name: name})
	}
	r.entries[name] = plugin
}

// Lookup returns the named plug-in. Errors: *UnknownPluginError.
func (r *Registry[T]) Lookup(name string) (T, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	plugin, ok := r.entries[name]
	if !ok {
		return plugin, &UnknownPluginError{Kind: r.kind, Name: name, Known: r.names()}
	}
	return plugin, nil
}

// Names returns the registered names in alphabetical order.
func (r *Registry[T]) Names() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.names()
}

func (r *Registry[T]) names() []string {
	names := make([]string, 0, len(r.entries))
	for name := range r.entries {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Factories of the platform protocols. The address is "ip:port".
type (
	// EngineFactory makes a client of one model engine.
	EngineFactory func(address string) (EngineProtocol, func(), error)
	// ServiceFactory makes a client of one plain service.
	ServiceFactory func(address string) (ServiceProtocol, func(), error)
	// LogFactory makes a client of the log service.
	LogFactory func(address string) (LogProtocol, func(), error)
	// VMListFactory makes a client of the VM list.
	VMListFactory func(address string) (VMListProtocol, func(), error)
	// WeightStoreFactory makes a client of the weight store.
	WeightStoreFactory func(address string) (WeightStoreProtocol, func(), error)
)

// Registries of the platform protocols.
var (
	Engines      = NewRegistry[EngineFactory]("engine protocol")
	Services     = NewRegistry[ServiceFactory]("service protocol")
	Logs         = NewRegistry[LogFactory]("log protocol")
	VMLists      = NewRegistry[VMListFactory]("VM list protocol")
	WeightStores = NewRegistry[WeightStoreFactory]("weight store protocol")
)
