package leaser

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap/zaptest"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/fakes"
	"coltsfootplank/internal/kernel"
)

type receivedOrder struct {
	kernel.Order
	at time.Time
}

// recordingEngine records the orders that it receives and ignores fencing tokens.
type recordingEngine struct {
	kernel.EngineProtocol
	mu       sync.Mutex
	instance string
	orders   []receivedOrder
}

func (e *recordingEngine) Load(context.Context) (kernel.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return kernel.LoadReport{Instance: e.instance}, nil
}

func (e *recordingEngine) Order(_ context.Context, order kernel.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, receivedOrder{Order: order, at: time.Now()})
	return nil
}

func (e *recordingEngine) restart(instance string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.instance = instance
}

func (e *recordingEngine) received() []receivedOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders
}

func catalogueOf(model string, engines int) *cataloguer.Catalogue {
	pool := cataloguer.Pool{Name: "p"}
	for i := range engines {
		pool.Upstreams = append(pool.Upstreams, cataloguer.Upstream{Name: fmt.Sprintf("e%d", i), DesiredModel: model, DesiredRole: "draft"})
	}
	return &cataloguer.Catalogue{Pools: []cataloguer.Pool{pool}}
}

// newTestOrderer returns an orderer that is responsible for all engines of a catalogue and uses one client for all of
// them.
func newTestOrderer(t *testing.T, l *Leaser, engine *recordingEngine, catalogue func() *cataloguer.Catalogue, loads LoadLimiter) *Orderer {
	return NewOrderer(l, OrdererOptions{
		Catalogue:  catalogue,
		Assigned:   func(string) bool { return true },
		Engine:     func(*cataloguer.Upstream) (kernel.EngineProtocol, error) { return engine, nil },
		ModelLoads: loads,
	}, zaptest.NewLogger(t))
}

// TestOrderWhenNeeded guards against an engine that is not brought back to its desired state, and against orders and
// appends while nothing has changed.
func TestOrderWhenNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := fakes.NewLog()
		a, b := startTestLeaser(t, log, "a"), startTestLeaser(t, log, "b")
		engine := &recordingEngine{instance: "1"}
		model := "m1"
		o := newTestOrderer(t, a, engine, func() *cataloguer.Catalogue { return catalogueOf(model, 1) }, rate.NewLimiter(rate.Inf, 1))
		steps := []struct {
			name   string
			change func()
			orders int
		}{
			{name: "start", change: func() {}, orders: 2},
			{name: "nothing", change: func() {}},
			{name: "engine restarted", change: func() { engine.restart("2") }, orders: 2},
			{name: "catalogue changed", change: func() { model = "m2" }, orders: 2},
			{name: "lease moved", change: func() {
				synctest.Wait()
				_, err := b.Acquire(t.Context(), "e0")
				assert.NilError(t, err)
				assert.NilError(t, b.Release(t.Context(), "e0"))
			}, orders: 2},
			{name: "log down", change: func() { log.SetOutage(true); time.Sleep(time.Second); engine.restart("3") }},
			{name: "log back", change: func() { log.SetOutage(false); time.Sleep(3 * time.Second) }, orders: 2},
		}
		for _, s := range steps {
			s.change()
			before, appends := len(engine.received()), log.Appends()
			for range 3 {
				synctest.Wait()
				o.orderAll(t.Context())
			}
			sent := engine.received()[before:]
			assert.Equal(t, len(sent), s.orders, s.name)
			if s.orders == 0 {
				assert.Equal(t, log.Appends(), appends, s.name)
				continue
			}
			assert.Equal(t, sent[0].Kind, kernel.OrderLoadModel)
			assert.Equal(t, sent[0].Model, model)
			assert.Equal(t, sent[1].Kind, kernel.OrderSetRole)
			assert.Equal(t, sent[0].Fencing, sent[1].Fencing)
		}
	})
}

// pausingLimiter is a limiter that blocks its caller for a time and ignores the context, like a paused process.
type pausingLimiter time.Duration

func (p pausingLimiter) Wait(context.Context) error {
	time.Sleep(time.Duration(p))
	return nil
}

// TestOrderAfterPause guards against a holder that is paused, loses its lease and sends its orders after those of a
// newer holder when it resumes.
func TestOrderAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := fakes.NewLog()
		engine := &recordingEngine{}
		old := newTestOrderer(t, startTestLeaser(t, log, "a"), engine, func() *cataloguer.Catalogue { return catalogueOf("old", 1) }, pausingLimiter(time.Minute))
		later := newTestOrderer(t, startTestLeaser(t, log, "b"), engine, func() *cataloguer.Catalogue { return catalogueOf("new", 1) }, pausingLimiter(0))
		catalogue := catalogueOf("old", 1)
		var group errgroup.Group
		group.Go(func() error {
			return old.order(t.Context(), &catalogue.Pools[0].Upstreams[0], desired{model: "old"})
		})
		time.Sleep(20 * time.Second)
		later.orderAll(t.Context())
		err := group.Wait()
		var notHeld *NotHeldError
		assert.Assert(t, errors.As(err, &notHeld), "%v", err)
		assert.Equal(t, len(engine.received()), 2)
		assert.Equal(t, engine.received()[0].Model, "new")
	})
}

// TestOrderLoadRate guards against model loads that exceed the rate limit for the weight store.
func TestOrderLoadRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &recordingEngine{}
		o := newTestOrderer(t, startTestLeaser(t, fakes.NewLog(), "a"), engine, func() *cataloguer.Catalogue { return catalogueOf("m", 20) },
			rate.NewLimiter(rate.Every(2*time.Second), 1))
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		assert.Assert(t, errors.Is(o.Run(ctx), context.DeadlineExceeded))
		var loads []receivedOrder
		for _, order := range engine.received() {
			if order.Kind == kernel.OrderLoadModel {
				loads = append(loads, order)
			}
		}
		assert.Equal(t, len(loads), 20)
		for i := 1; i < len(loads); i++ {
			assert.Assert(t, loads[i].at.Sub(loads[i-1].at) >= 2*time.Second-time.Millisecond, "load %d", i)
		}
	})
}
