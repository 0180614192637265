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
	// orderInterval is the time between two comparisons of the engines' states with the catalogue.
	orderInterval = time.Second
	// ordersInFlight is the maximum number of engines that are sent orders at the same time.
	ordersInFlight = 16
)

// LoadLimiter limits the rate of model loads to protect the weight store. *rate.Limiter implements it.
type LoadLimiter interface {
	Wait(ctx context.Context) error
}

// OrdererOptions connects an Orderer to the rest of a router. All fields are required.
type OrdererOptions struct {
	// Catalogue returns the current catalogue.
	Catalogue func() *cataloguer.Catalogue
	// Assigned reports whether this router is currently responsible for sending orders to an engine.
	Assigned func(engine string) bool
	// Engine returns the client of an engine.
	Engine func(upstream *cataloguer.Upstream) (kernel.EngineProtocol, error)
	// ModelLoads limits the rate of model loads.
	ModelLoads LoadLimiter
}

// desired is the desired state of an engine.
type desired struct {
	model   string
	adapter string
	role    string
}

// deliveredOrders records the last orders to an engine: the desired state, the engine instance that received the orders,
// and the offset of the last lease record at that time. If any of them differs from the current value, the engine may
// have changed and is sent its orders again.
type deliveredOrders struct {
	state    desired
	instance string
	offset   int64
}

// Orderer sends engines the orders that bring them to their desired state in the catalogue. It holds the lease of an
// engine only while it sends orders, so that no appends are needed while nothing changes.
type Orderer struct {
	leaser  *Leaser
	options OrdererOptions
	logger  *zap.Logger

	mu        sync.Mutex
	delivered map[string]deliveredOrders
}

// NewOrderer returns an orderer that acquires its leases from leaser.
func NewOrderer(leaser *Leaser, options OrdererOptions, logger *zap.Logger) *Orderer {
	return &Orderer{leaser: leaser, options: options, logger: logger, delivered: make(map[string]deliveredOrders)}
}

// Run periodically sends the orders that are due until ctx is done, and returns the error of ctx.
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
					o.logger.Warn("could not send orders to an engine", zap.String("engine", upstream.Name), zap.Error(err))
				}
				return nil
			})
		}
	}
	_ = group.Wait() // errors are logged above, and the orders are retried
}

// order sends the orders for the wanted state to one engine, unless they were delivered before and nothing has changed.
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
	current := deliveredOrders{state: wanted, instance: report.Instance, offset: o.leaser.Offset(name)}
	o.mu.Lock()
	last, known := o.delivered[name]
	o.mu.Unlock()
	if known && last == current {
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
	current.offset = o.leaser.Offset(name)
	o.mu.Lock()
	o.delivered[name] = current
	o.mu.Unlock()
	o.logger.Info("sent orders to an engine", zap.String("engine", name), zap.String("model", wanted.model), zap.String("role", wanted.role))
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

// send sends one order if the lease is held now. The deadline is the expiry of the lease, so that a slow connection
// attempt can't deliver the order after it.
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
