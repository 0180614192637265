package extrapolator

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/runner"
	"coltsfootplank/internal/scheduler"
)

// idleProtocol is an in-memory engine protocol whose engines always report that they are idle.
const idleProtocol = "capacity_idle"

func init() {
	kernel.Engines.Register(idleProtocol, func(string) (kernel.EngineProtocol, func(), error) {
		return idleEngine{}, func() {}, nil
	})
}

type idleEngine struct{ kernel.EngineProtocol }

// Load implements kernel.EngineProtocol.
func (idleEngine) Load(context.Context) (kernel.LoadReport, error) {
	return kernel.LoadReport{Instance: "i", BatchSlots: 64}, nil
}

// CacheEvents implements kernel.EngineProtocol.
func (idleEngine) CacheEvents(context.Context, uint64) (kernel.CacheEvents, error) {
	return kernel.CacheEvents{}, nil
}

// fixedCatalogue is a catalogue source with a single revision.
type fixedCatalogue struct{ catalogue *cataloguer.Catalogue }

// Current returns the only catalogue.
func (f fixedCatalogue) Current() *cataloguer.Catalogue { return f.catalogue }

// Subscribe never calls the function, since the catalogue doesn't change.
func (f fixedCatalogue) Subscribe(func(*cataloguer.Catalogue)) (unsubscribe func()) { return func() {} }

// schedulerAdapter adapts a scheduler to the runner.Scheduler interface.
type schedulerAdapter struct{ *scheduler.Scheduler }

// SetEngines converts the engines of the cell and passes them to the scheduler.
func (a schedulerAdapter) SetEngines(now time.Time, engines []runner.EngineInfo) {
	infos := make([]scheduler.EngineInfo, 0, len(engines))
	for _, engine := range engines {
		infos = append(infos, scheduler.EngineInfo(engine))
	}
	a.Scheduler.SetEngines(now, infos)
}

// Step converts the decisions of the scheduler.
func (a schedulerAdapter) Step(now time.Time) []runner.Decision {
	decisions := a.Scheduler.Step(now)
	result := make([]runner.Decision, 0, len(decisions))
	for _, decision := range decisions {
		result = append(result, runner.Decision(decision))
	}
	return result
}

// Dump returns the state of the scheduler.
func (a schedulerAdapter) Dump() any { return a.Scheduler.Dump() }

// cellHost is a router that schedules one cell of cellEngines engines and accepts connections of other routers on the
// loopback interface.
type cellHost struct {
	listener *countingListener
	messages atomic.Int64
	cancel   context.CancelFunc
	group    errgroup.Group
}

func startCellHost(ctx context.Context) (*cellHost, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	h := &cellHost{listener: listener}
	ctx, h.cancel = context.WithCancel(ctx)
	members := detector.New(detector.Settings{Name: "scheduler", Address: listener.Addr().String()}, nil)
	members.Ready()
	pool := cataloguer.Pool{Name: "p", Protocol: idleProtocol}
	for i := range cellEngines {
		pool.Upstreams = append(pool.Upstreams, cataloguer.Upstream{
			Name: fmt.Sprintf("engine-%04d", i), Address: "127.0.0.1:1", Slots: 64,
		})
	}
	catalogue := (&cataloguer.Catalogue{Revision: 1, Pools: []cataloguer.Pool{pool}}).Index()
	host := runner.New(runner.Options{
		Self: "scheduler", Members: members, Catalogue: fixedCatalogue{catalogue},
		Factory: func(pool cataloguer.Pool, now time.Time) runner.Scheduler {
			return schedulerAdapter{scheduler.New(pool.Name, scheduler.DefaultSettings(), zap.NewNop(), now)}
		},
	})
	_, handler := messenger.NewHandler(messenger.Handlers{
		Accept: func(hello *protocol.Hello, outbox *messenger.Outbox[protocol.SchedulerMessage]) messenger.Session {
			return &countingSession{Session: host.Accept(hello, outbox), messages: &h.messages}
		},
		Gossip: members.Handle,
	})
	h.group.Go(func() error { return host.Run(ctx) })
	h.group.Go(func() error { return messenger.Serve(ctx, net.Listener(listener), handler, nil, nil) })
	return h, nil
}

func (h *cellHost) close() {
	h.cancel()
	// Both goroutines end because their context was cancelled, which is no failure.
	_ = h.group.Wait()
}
