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

// countingEngine counts the orders and load requests that it receives.
type countingEngine struct {
	idleEngine
	orders, reports *atomic.Int64
}

// Order implements kernel.EngineProtocol.
func (e countingEngine) Order(context.Context, kernel.Order) error {
	e.orders.Add(1)
	return nil
}

// Load implements kernel.EngineProtocol.
func (e countingEngine) Load(ctx context.Context) (kernel.LoadReport, error) {
	e.reports.Add(1)
	return e.idleEngine.Load(ctx)
}

// noLimit lets every model load proceed without delay.
type noLimit struct{}

// Wait implements leaser.LoadLimiter.
func (noLimit) Wait(context.Context) error { return nil }

// orderResult is the result at one number of engines: log appends for one order to each engine, and load reports per
// second after that.
type orderResult struct {
	appends    float64
	reportRate float64
}

// measureOrders lets the orderer order each engine to load a model, then counts the load reports that the idle orderer
// requests.
func measureOrders(ctx context.Context, engines int) (orderResult, error) {
	var result orderResult
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
			return countingEngine{orders: &orders, reports: &reports}, nil
		},
		ModelLoads: noLimit{},
	}, zap.NewNop())
	ctx, cancel := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error { return l.Run(ctx) })
	group.Go(func() error { return orderer.Run(ctx) })
	defer func() {
		cancel()
		_ = group.Wait() // Both goroutines end because their context was cancelled, which is no failure.
	}()
	if err := waitUntil(10*time.Millisecond, 30*time.Second, "all engines have received their order", func() bool {
		return orders.Load() >= int64(engines)
	}); err != nil {
		return result, err
	}
	time.Sleep(time.Second)
	result.appends = float64(log.Appends())
	before, start := reports.Load(), time.Now()
	time.Sleep(3 * time.Second)
	result.reportRate = float64(reports.Load()-before) / time.Since(start).Seconds()
	return result, nil
}
