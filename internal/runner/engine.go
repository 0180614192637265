package runner

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/ranker"
)

const (
	// pollInterval is the time between load reports of one engine.
	pollInterval = time.Second
	// minPollInterval is the time between two polls of an engine whose connections break one after the other.
	minPollInterval = 200 * time.Millisecond
	// pollTimeout bounds one poll. It is shorter than pollInterval, so that each poll of a hung engine is reported as
	// failed before the next one.
	pollTimeout = 800 * time.Millisecond
)

// engine is one upstream of the cell.
type engine struct {
	address string
	// registered is cataloguer.Upstream.Registered.
	registered int64
	protocol   string
	// cancel ends the polling; nil while the engine isn't polled.
	cancel  context.CancelFunc
	leaving bool
	// suspicious is signalled when a connection to the engine broke, so that its next poll comes at once.
	suspicious chan struct{}
	// reported is set after the first poll, whether it succeeded or not. It is set from the start for an engine that
	// isn't polled.
	reported bool
}

// setEngines applies the upstreams of a catalogue and starts to poll the new ones if shouldPoll allows it.
func (c *cell) setEngines(pool cataloguer.Pool) {
	c.opaque = pool.Opaque
	if pool.Opaque {
		pool.Protocol = ""
		if pool.ModelEngines {
			pool.Protocol = c.runner.options.Reporter
		}
	}
	wanted := make(map[string]cataloguer.Upstream, len(pool.Upstreams))
	for _, u := range pool.Upstreams {
		wanted[u.Name] = u
	}
	for name, e := range c.engines {
		if u, ok := wanted[name]; !ok || u.Address != e.address || pool.Protocol != e.protocol {
			c.closeEngine(name)
		}
	}
	for name, u := range wanted {
		if c.engines[name] == nil {
			c.engines[name] = &engine{address: u.Address, protocol: pool.Protocol, reported: true, suspicious: make(chan struct{}, 1)}
		}
		c.engines[name].registered = u.Registered
	}
	c.startPolling()
}

// shouldPoll reports whether the cell reads load reports. For opaque pools, a router reads them only if it is among the
// first ranks and hasn't just started. Any other router schedules only its own requests, and right after many routers
// have started together, each of them would poll all engines.
func (c *cell) shouldPoll() bool {
	r := c.runner
	return !c.opaque || !r.joining() && slices.Contains(
		ranker.Top(c.role, r.options.Members.View().SchedulerHosts()), r.options.Self)
}

// startPolling starts to poll the engines that report their load and aren't polled yet.
func (c *cell) startPolling() {
	if !c.shouldPoll() {
		return
	}
	for name, e := range c.engines {
		if e.cancel != nil || c.opaque && e.protocol == "" {
			continue
		}
		ctx, cancel := context.WithCancel(c.runner.ctx)
		e.cancel, e.reported = cancel, false
		c.unreported++
		c.runner.spawn(func() { c.poll(ctx, name, e) })
	}
}

func (c *cell) closeEngine(name string) {
	e := c.engines[name]
	if e.cancel != nil {
		e.cancel()
	}
	if !e.reported {
		c.unreported--
	}
	delete(c.engines, name)
}

func (c *cell) closeEngines() {
	for name := range c.engines {
		c.closeEngine(name)
	}
}

// pollClient reads the load reports and cache events of one upstream. cacheEvents is nil for services and for the
// upstreams of opaque pools.
type pollClient struct {
	load        func(context.Context) (kernel.LoadReport, error)
	cacheEvents func(context.Context, uint64) (kernel.CacheEvents, error)
}

// newPollClient returns the client of an upstream, from the plug-in for the protocol.
func newPollClient(protocol, address string) (pollClient, func(), error) {
	if factory, err := kernel.Reporters.Lookup(protocol); err == nil {
		client, cleanup, err := factory(address)
		if err != nil {
			return pollClient{}, nil, err
		}
		return pollClient{load: client.Load}, cleanup, nil
	}
	if factory, err := kernel.Engines.Lookup(protocol); err == nil {
		client, cleanup, err := factory(address)
		if err != nil {
			return pollClient{}, nil, err
		}
		return pollClient{load: client.Load, cacheEvents: client.CacheEvents}, cleanup, nil
	}
	factory, err := kernel.Services.Lookup(protocol)
	if err != nil {
		return pollClient{}, nil, err
	}
	client, cleanup, err := factory(address)
	if err != nil {
		return pollClient{}, nil, err
	}
	return pollClient{load: client.Load}, cleanup, nil
}

// poll reads load reports and cache events of one engine until ctx ends.
func (c *cell) poll(ctx context.Context, name string, e *engine) {
	client, cleanup, err := newPollClient(e.protocol, e.address)
	if err != nil {
		c.runner.options.Logger.Error("failed to create the poll client of an upstream",
			zap.String("upstream", name), zap.Error(err))
		c.post(func(now time.Time) { c.observe(now, name, e, kernel.LoadReport{}, err) })
		return
	}
	defer cleanup()
	var after uint64
	var instance string
	for {
		polledAt := time.Now()
		report, err := c.pollLoad(ctx, client, name, e)
		if err == nil && report.Instance != instance {
			// A restarted engine numbers its cache events from the start again.
			instance, after = report.Instance, 0
		}
		if err == nil && client.cacheEvents != nil {
			after = c.pollCache(ctx, client, name, e, after)
		}
		if !e.awaitPoll(ctx, polledAt) {
			return
		}
	}
}

// awaitPoll waits until the next poll is due. It returns false if ctx ends before.
func (e *engine) awaitPoll(ctx context.Context, polledAt time.Time) bool {
	timer := time.NewTimer(time.Until(polledAt.Add(pollInterval)))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-e.suspicious:
			timer.Reset(time.Until(polledAt.Add(minPollInterval)))
		case <-timer.C:
			return true
		}
	}
}

// pollSoon makes the next poll of an engine come at once. It does nothing for an engine that has left the cell.
func (e *engine) pollSoon() {
	if e == nil {
		return
	}
	select {
	case e.suspicious <- struct{}{}:
	default:
	}
}

func (c *cell) pollLoad(ctx context.Context, client pollClient, name string, e *engine) (kernel.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := client.load(ctx)
	c.post(func(now time.Time) { c.observe(now, name, e, report, err) })
	return report, err
}

func (c *cell) pollCache(ctx context.Context, client pollClient, name string, e *engine, after uint64) uint64 {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	events, err := client.cacheEvents(ctx, after)
	if err != nil {
		return after
	}
	c.post(func(now time.Time) {
		if c.engines[name] == e && len(events.Events) > 0 {
			c.scheduler.ObserveCache(now, name, events)
		}
	})
	return events.Next
}

// observe passes the result of a poll to the scheduler if the engine still belongs to the cell.
func (c *cell) observe(now time.Time, name string, e *engine, report kernel.LoadReport, err error) {
	if c.engines[name] != e {
		return
	}
	if !e.reported {
		e.reported = true
		c.unreported--
	}
	if kernel.Answered(err) {
		c.runner.options.Logger.Warn("load report not usable", zap.String("upstream", name), zap.Error(err))
	}
	c.scheduler.ObserveLoad(now, name, report, err)
}
