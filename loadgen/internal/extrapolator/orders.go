package extrapolator

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/fakes"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/leaser"
)

// orderedEngine counts orders and load reports.
type orderedEngine struct {
	idleEngine
	orders, reports *atomic.Int64
}

// Order implements kernel.EngineProtocol.
func (e orderedEngine) Order(context.Context, kernel.Order) error {
	e.orders.Add(1)
	return nil
}

// Load implements kernel.EngineProtocol.
func (e orderedEngine) Load(ctx context.Context) (kernel.LoadReport, error) {
	e.reports.Add(1)
	return e.idleEngine.Load(ctx)
}

type noLimit struct{}

// Wait implements leaser.LoadLimiter.
func (noLimit) Wait(context.Context) error { return nil }

// orderRun is the result at one number of engines: appends for one order each, and load reports a second after that.
type orderRun struct {
	appends float64
	reports float64
}

// runOrders orders each engine to load a model, then watches the idle orderer.
func runOrders(ctx context.Context, engines int) (orderRun, error) {
	var run orderRun
	log := fakes.NewLog()
	l := leaser.New(log, leaser.Identity{Router: "r", Incarnation: 1}, leaser.Options{}, zap.NewNop())
	pool := cataloguer.Pool{Name: "p", Protocol: idleProtocol}
	for i := range engines {
		pool.Upstreams = append(pool.Upstreams, cataloguer.Upstream{Name: fmt.Sprintf("engine-%04d", i), DesiredModel: "m"})
	}
	catalogue := (&cataloguer.Catalogue{Revision: 1, Pools: []cataloguer.Pool{pool}}).Index()
	var orders, reports atomic.Int64
	orderer := leaser.NewOrderer(l, leaser.OrdererOptions{
		Catalogue: func() *cataloguer.Catalogue { return catalogue },
		Assigned:  func(string) bool { return true },
		Engine: func(*cataloguer.Upstream) (kernel.EngineProtocol, error) {
			return orderedEngine{orders: &orders, reports: &reports}, nil
		},
		ModelLoads: noLimit{},
	}, zap.NewNop())
	ctx, cancel := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error { return l.Run(ctx) })
	group.Go(func() error { return orderer.Run(ctx) })
	defer func() {
		cancel()
		_ = group.Wait() // the end of the context is no failure
	}()
	if err := waitUntil(10*time.Millisecond, 30*time.Second, "all engines are ordered", func() bool {
		return orders.Load() >= int64(engines)
	}); err != nil {
		return run, err
	}
	time.Sleep(time.Second)
	run.appends = float64(log.Appends())
	before, start := reports.Load(), time.Now()
	time.Sleep(3 * time.Second)
	run.reports = float64(reports.Load()-before) / time.Since(start).Seconds()
	return run, nil
}
