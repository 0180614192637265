package leaser

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/kernel"
)

const (
	// orderInterval is the time between two comparisons of the engines with the catalogue.
	orderInterval = time.Second
	// ordersInFlight bounds the engines that are ordered at the same time.
	ordersInFlight = 16
)

// LoadLimiter bounds the rate of model loads, for the weight store. A *rate.Limiter is one.
type LoadLimiter interface {
	Wait(ctx context.Context) error
}

// OrdererOptions connect an Orderer to the rest of a router. All are required.
type OrdererOptions struct {
	// Catalogue returns the current catalogue.
	Catalogue func() *cataloguer.Catalogue
	// Assigned tells whether this router is the one that orders an engine now.
	Assigned func(engine string) bool
	// Engine returns the client of an engine.
	Engine func(upstream *cataloguer.Upstream) (kernel.EngineProtocol, error)
	// ModelLoads limits model loads.
	ModelLoads LoadLimiter
}

// desired is the wanted end state of an engine.
type desired struct {
	model   string
	adapter string
	role    string
}

// delivered is the state that an engine was ordered to, the process that got the orders, and the last lease
// record then: if any of them differs now, somebody or something else may have changed the engine.
type delivered struct {
	state    desired
	instance string
	offset   int64
}

// Orderer drives engines to the state that the catalogue wants. It holds a lease only while it sends, so that
// idle engines cost no appends.
type Orderer struct {
	leaser  *Leaser
	options OrdererOptions
	logger  *zap.Logger

	mu        sync.Mutex
	delivered map[string]delivered
}

// NewOrderer returns an orderer that takes its leases from leaser.
func NewOrderer(leaser *Leaser, options OrdererOptions, logger *zap.Logger) *Orderer {
	return &Orderer{leaser: leaser, options: options, logger: logger, delivered: make(map[string]delivered)}
}

// Run compares and orders until ctx ends, and returns its error.
func (o *Orderer) Run(ctx context.Context) error {
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	for {
		o.orderAll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (o *Orderer) orderAll(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(ordersInFlight)
	catalogue := o.options.Catalogue()
	for i := range catalogue.Pools {
		for j := range catalogue.Pools[i].Upstreams {
			upstream := &catalogue.Pools[i].Upstreams[j]
			wanted := desired{model: upstream.DesiredModel, adapter: upstream.DesiredAdapter, role: upstream.DesiredRole}
			if wanted == (desired{}) || !o.options.Assigned(upstream.Name) {
				continue
			}
			group.Go(func() error {
				if err := o.order(ctx, upstream, wanted); err != nil {
					o.logger.Warn("ordering an engine failed", zap.String("engine", upstream.Name), zap.Error(err))
				}
				return nil
			})
		}
	}
	_ = group.Wait() // failures are logged and tried again
}

// order brings one engine to the wanted state unless it was delivered before.
func (o *Orderer) order(ctx context.Context, upstream *cataloguer.Upstream, wanted desired) error {
	ctx, cancel := context.WithTimeout(ctx, o.leaser.options.TTL)
	defer cancel()
	engine, err := o.options.Engine(upstream)
	if err != nil {
		return err
	}
	report, err := engine.Load(ctx)
	if err != nil {
		return err
	}
	name := upstream.Name
	now := delivered{state: wanted, instance: report.Instance, offset: o.leaser.Offset(name)}
	o.mu.Lock()
	last, known := o.delivered[name]
	o.mu.Unlock()
	if known && last == now {
		return nil
	}
	if _, err := o.leaser.Acquire(ctx, name); err != nil {
		return err
	}
	err = o.sendAll(ctx, name, engine, wanted)
	if releaseErr := o.leaser.Release(ctx, name); err == nil {
		err = releaseErr
	}
	if err != nil {
		return err
	}
	now.offset = o.leaser.Offset(name)
	o.mu.Lock()
	o.delivered[name] = now
	o.mu.Unlock()
	o.logger.Info("ordered an engine", zap.String("engine", name), zap.String("model", wanted.model), zap.String("role", wanted.role))
	return nil
}

func (o *Orderer) sendAll(ctx context.Context, name string, engine kernel.EngineProtocol, wanted desired) error {
	if wanted.model != "" {
		if err := o.options.ModelLoads.Wait(ctx); err != nil {
			return Error.Wrap(err)
		}
		if err := o.send(ctx, name, engine, kernel.Order{Kind: kernel.OrderLoadModel, Model: wanted.model}); err != nil {
			return err
		}
	}
	if wanted.adapter != "" {
		if err := o.send(ctx, name, engine, kernel.Order{Kind: kernel.OrderLoadAdapter, Model: wanted.adapter}); err != nil {
			return err
		}
	}
	if wanted.role != "" {
		return o.send(ctx, name, engine, kernel.Order{Kind: kernel.OrderSetRole, Role: wanted.role})
	}
	return nil
}

// send sends one order if the lease lasts right now. Its deadline is the end of the lease, so that a slow
// connect doesn't send after it.
func (o *Orderer) send(ctx context.Context, name string, engine kernel.EngineProtocol, order kernel.Order) error {
	lease, ok := o.leaser.Held(name)
	if !ok {
		return &NotHeldError{Engine: name}
	}
	ctx, cancel := context.WithDeadline(ctx, lease.Until())
	defer cancel()
	order.Fencing = lease.Fencing()
	order.Orderer = o.leaser.identity.Router
	return engine.Order(ctx, order)
}
