package dispatcher

import (
	"sync"

	"coltsfootplank/internal/kernel"
)

// clientKey identifies the client of one upstream.
type clientKey struct {
	protocol string
	address  string
}

// cache contains one client for each protocol and address.
type cache[T any] struct {
	mu       sync.Mutex
	clients  map[clientKey]T
	cleanups []func()
}

func newCache[T any]() *cache[T] {
	return &cache[T]{clients: make(map[clientKey]T)}
}

// get returns the cached client of an upstream, or creates one with make and caches it.
func (c *cache[T]) get(key clientKey, make func() (T, func(), error)) (T, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client, ok := c.clients[key]; ok {
		return client, nil
	}
	client, cleanup, err := make()
	if err != nil {
		return client, err
	}
	c.clients[key] = client
	c.cleanups = append(c.cleanups, cleanup)
	return client, nil
}

// close cleans up all clients and empties the cache.
func (c *cache[T]) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cleanup := range c.cleanups {
		cleanup()
	}
	c.cleanups = nil
	clear(c.clients)
}

// Clients provides upstream clients by protocol and address. Its methods may be called concurrently.
type Clients struct {
	engines  *cache[kernel.EngineProtocol]
	services *cache[kernel.ServiceProtocol]
}

// NewClients returns an empty client cache and a function that closes all clients.
func NewClients() (*Clients, func()) {
	c := &Clients{engines: newCache[kernel.EngineProtocol](), services: newCache[kernel.ServiceProtocol]()}
	return c, func() {
		c.engines.close()
		c.services.close()
	}
}

// Engine returns the client of a model engine. It returns a *kernel.UnknownPluginError for an unknown protocol.
func (c *Clients) Engine(protocol, address string) (kernel.EngineProtocol, error) {
	return c.engines.get(clientKey{protocol, address}, func() (kernel.EngineProtocol, func(), error) {
		factory, err := kernel.Engines.Lookup(protocol)
		if err != nil {
			return nil, nil, err
		}
		return factory(address)
	})
}

// Service returns the client of a plain service. It returns a *kernel.UnknownPluginError for an unknown protocol.
func (c *Clients) Service(protocol, address string) (kernel.ServiceProtocol, error) {
	return c.services.get(clientKey{protocol, address}, func() (kernel.ServiceProtocol, func(), error) {
		factory, err := kernel.Services.Lookup(protocol)
		if err != nil {
			return nil, nil, err
		}
		return factory(address)
	})
}
