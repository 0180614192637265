package connector

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/accountant"
	"coltsfootplank/internal/kernel"
)

const (
	// dialTimeout limits the time to open a connection; upstreams in the same region answer within a few milliseconds.
	dialTimeout = 500 * time.Millisecond
	// defaultIdleLimit is the idle timeout assumed for upstreams that state none.
	defaultIdleLimit = 10 * time.Second
	// idleMargin is subtracted from the idle timeout that an upstream states: the upstream measures it from another
	// moment, and a request takes some time to arrive.
	idleMargin = time.Second
	// sweepInterval is the interval at which expired idle connections are closed.
	sweepInterval = time.Second
	// maxSkippedBodyBytes is the number of bytes read from the body of an answer to another request to skip it. A new
	// connection is cheaper than to skip a longer one, above all one in chunks of a few bytes.
	maxSkippedBodyBytes = 128 << 10
	// maxDiscarded is the number of discarded answers after which a connection is closed.
	maxDiscarded = 16
	// maxSkippedAnswers is the number of answers to other requests that are skipped before the connection is closed.
	maxSkippedAnswers = 2
)

// Settings configures a connector.
type Settings struct {
	// MaxIdle is the maximum number of idle connections kept to one upstream.
	MaxIdle int
	// EchoedRequestID returns the request ID in the head of an answer, or "" if there is none.
	EchoedRequestID func(head *Head) string
	// Account counts the buffers of long answers; it may be nil.
	Account *accountant.Accountant
}

// Connector sends requests to upstreams and keeps idle connections for reuse, by the address of the upstream. It is safe
// for concurrent use.
type Connector struct {
	settings Settings
	opened   func()
	budget   bodyBudget

	mu   sync.Mutex
	idle map[string][]*connection
}

// New returns a connector without connections and a function that closes its idle connections. opened is called for
// each connection that is opened.
func New(settings Settings, opened func()) (*Connector, func()) {
	c := &Connector{settings: settings, opened: opened, idle: make(map[string][]*connection), budget: bodyBudget{account: settings.Account}}
	return c, func() { c.sweep(time.Time{}) }
}

// Run closes expired idle connections until ctx ends.
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

// sweep closes the idle connections that have expired, or all of them if now is the zero time.
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

// takeIdle returns the most recently used idle connection that can be reused for a request, or nil.
func (c *Connector) takeIdle(address, requestID string) *connection {
	now := time.Now()
	for {
		c.mu.Lock()
		list := c.idle[address]
		index := len(list) - 1
		for index >= 0 && slices.Contains(list[index].discarded, requestID) {
			index--
		}
		if index < 0 {
			c.mu.Unlock()
			return nil
		}
		connection := list[index]
		c.idle[address] = slices.Delete(list, index, index+1)
		c.mu.Unlock()
		if !connection.expired(now) && connection.reusable() {
			return connection
		}
		connection.close()
	}
}

// putIdle keeps a connection for another request, or closes it if MaxIdle connections are kept already.
func (c *Connector) putIdle(address string, connection *connection) {
	connection.setKernelChecks(false)
	connection.reused, connection.idleSince = true, time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[address]) >= c.settings.MaxIdle {
		connection.close()
		return
	}
	c.idle[address] = append(c.idle[address], connection)
}

// dropIdle closes the idle connections to an upstream that seems to have vanished. The next request opens a new connection,
// which fails sooner than a request on a dead one, and without having sent anything.
func (c *Connector) dropIdle(address string) {
	c.mu.Lock()
	list := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, connection := range list {
		connection.reset()
	}
}

// acquire returns an idle connection or opens a new one. Errors: *kernel.NotSentError.
func (c *Connector) acquire(ctx context.Context, address, requestID string) (*connection, error) {
	if connection := c.takeIdle(address, requestID); connection != nil {
		return connection, nil
	}
	conn, err := NewDialer(dialTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &kernel.NotSentError{Address: address, Cause: err}
	}
	c.opened()
	return newConnection(conn, defaultIdleLimit), nil
}

// Send sends a request to the upstream at an address and returns when the head of the answer has arrived. When ctx ends,
// the connection is reset, which cancels the request at the upstream. Errors: *kernel.NotSentError if no byte was
// written, *kernel.ConnectionLostError if the request may have run.
func (c *Connector) Send(ctx context.Context, address string, request Request) (*Answer, error) {
	connection, err := c.acquire(ctx, address, request.ID)
	if err != nil {
		return nil, err
	}
	a := &Answer{connector: c, connection: connection, address: address, requestID: request.ID, writing: &errgroup.Group{}}
	a.stopReset = context.AfterFunc(ctx, connection.reset)
	writtenBefore := connection.counter.written.Load()
	watch := newDelivery(connection, &a.writePending, func() { c.dropIdle(address) })
	err = a.write(request)
	if err == nil {
		err = a.readHead(request, c.settings.EchoedRequestID)
	}
	if err = cmp.Or(watch.stop(), err); err != nil {
		a.Abort()
		if connection.counter.written.Load() == writtenBefore {
			return nil, &kernel.NotSentError{Address: address, Cause: err}
		}
		return nil, &kernel.ConnectionLostError{Address: address, Cause: err}
	}
	return a, nil
}
