package connector

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/kernel"
)

const (
	// dialTimeout bounds the opening of a connection: upstreams of a region answer within a few milliseconds.
	dialTimeout = 500 * time.Millisecond
	// defaultIdleLimit holds for upstreams that state no idle timeout.
	defaultIdleLimit = 10 * time.Second
	// idleMargin is the part of a stated idle timeout in which a connection isn't used any more: the upstream counts
	// from another moment, and the request is on its way for some time.
	idleMargin = time.Second
	// sweepInterval is the time between looks at idle connections.
	sweepInterval = time.Second
	// strayBytes bounds the body of an answer to another request that is skipped.
	strayBytes = 1 << 20
	// strayAnswers bounds the answers to other requests that are skipped before the connection is given up.
	strayAnswers = 2
)

// Settings of a connector.
type Settings struct {
	// MaxIdle bounds the idle connections kept to one upstream.
	MaxIdle int
	// EchoedRequestID returns the request that the head of an answer names, or "".
	EchoedRequestID func(head *Head) string
}

// Connector keeps idle connections by the address of their upstream. Its methods may be called concurrently.
type Connector struct {
	settings Settings
	opened   func()

	mu   sync.Mutex
	idle map[string][]*connection
}

// New returns a connector without connections and a function that closes the idle ones. opened is called for each
// connection that is opened.
func New(settings Settings, opened func()) (*Connector, func()) {
	c := &Connector{settings: settings, opened: opened, idle: make(map[string][]*connection)}
	return c, func() { c.sweep(time.Time{}) }
}

// Run closes connections that were idle for too long, until ctx ends.
func (c *Connector) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			c.sweep(now)
		}
	}
}

// sweep closes expired connections; a zero time closes all.
func (c *Connector) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, connection := range list {
			if now.IsZero() || connection.expired(now) {
				connection.close()
				continue
			}
			kept = append(kept, connection)
		}
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		clear(list[len(kept):])
		c.idle[address] = kept
	}
}

// take returns the connection used last that is still good, or nil.
func (c *Connector) take(address string) *connection {
	now := time.Now()
	for {
		c.mu.Lock()
		list := c.idle[address]
		if len(list) == 0 {
			c.mu.Unlock()
			return nil
		}
		connection := list[len(list)-1]
		list[len(list)-1] = nil
		c.idle[address] = list[:len(list)-1]
		c.mu.Unlock()
		if !connection.expired(now) && connection.quiet() {
			return connection
		}
		connection.close()
	}
}

// keep stores a connection for the next request, or closes it.
func (c *Connector) keep(address string, connection *connection) {
	connection.reused, connection.idleSince = true, time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[address]) >= c.settings.MaxIdle {
		connection.close()
		return
	}
	c.idle[address] = append(c.idle[address], connection)
}

// open returns a kept connection or a new one. Errors: *kernel.NotSentError.
func (c *Connector) open(ctx context.Context, address string) (*connection, error) {
	if connection := c.take(address); connection != nil {
		return connection, nil
	}
	conn, err := NewDialer(dialTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &kernel.NotSentError{Address: address, Cause: err}
	}
	c.opened()
	return newConnection(conn, defaultIdleLimit), nil
}

// Send passes a request to the upstream at an address and returns when the head of its answer has arrived. The
// connection is closed when ctx ends, which makes the upstream stop its work. Errors: *kernel.NotSentError if no byte
// was written, *kernel.LostError if the request may have run.
func (c *Connector) Send(ctx context.Context, address string, request Request) (*Answer, error) {
	connection, err := c.open(ctx, address)
	if err != nil {
		return nil, err
	}
	a := &Answer{connector: c, connection: connection, address: address, writing: &errgroup.Group{}}
	a.release = context.AfterFunc(ctx, connection.reset)
	before := connection.counter.written
	if err := a.write(request); err != nil {
		a.Abort()
		if connection.counter.written == before {
			return nil, &kernel.NotSentError{Address: address, Cause: err}
		}
		return nil, &kernel.ConnectionLostError{Address: address, Cause: err}
	}
	if err := a.readHead(request, c.settings.EchoedRequestID); err != nil {
		a.Abort()
		return nil, &kernel.ConnectionLostError{Address: address, Cause: err}
	}
	return a, nil
}
