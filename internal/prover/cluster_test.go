package prover_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/checker"
	"coltsfootplank/internal/claimer"
	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/dispatcher"
	"coltsfootplank/internal/fakes"
	"coltsfootplank/internal/holder"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/leaser"
	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/ranker"
	"coltsfootplank/internal/recorder"
	"coltsfootplank/internal/runner"
	"coltsfootplank/internal/scheduler"
	"coltsfootplank/internal/ticketer"
)

const (
	// retention is how long the log keeps catalogue records. Routers append a snapshot after half of that time.
	retention = 40 * time.Second
	// sampleInterval is the time between samples of the catalogue in force at each router.
	sampleInterval = 500 * time.Millisecond
)

var clusterCount atomic.Int64

// cluster is a test cluster of three routers, two engines, two order desks and a log.
type cluster struct {
	network *fakes.Network
	log     *fakes.Log
	routers map[string]*router
	engines []*upstream
	desks   []*upstream
	yaml    string
	group   errgroup.Group

	mu                sync.Mutex
	requestCount      int
	vms               []kernel.VM
	vmListUnavailable bool
	history           checker.History
	onStep            func(step string, at location)
	sampledFrom       map[string]time.Time // by router; see freeze
	revision          uint64
}

// router is one router, built from the same components as the daemon.
type router struct {
	name        string
	ctx         context.Context
	cancel      context.CancelFunc
	detector    *detector.Detector
	cataloguer  *cataloguer.Cataloguer
	claimer     *claimer.Claimer
	leaser      *leaser.Leaser
	holder      *holder.Holder
	recorder    *recorder.Recorder
	killed      time.Time
	clockOffset atomic.Int64 // of the wall clock, in ns
}

// schedulerAdapter adapts a scheduler to the types of the runner, as the daemon does.
type schedulerAdapter struct{ *scheduler.Scheduler }

func (a schedulerAdapter) SetEngines(now time.Time, engines []runner.EngineInfo) {
	infos := make([]scheduler.EngineInfo, 0, len(engines))
	for _, engine := range engines {
		infos = append(infos, scheduler.EngineInfo(engine))
	}
	a.Scheduler.SetEngines(now, infos)
}

func (a schedulerAdapter) Step(now time.Time) []runner.Decision {
	var result []runner.Decision
	for _, decision := range a.Scheduler.Step(now) {
		result = append(result, runner.Decision(decision))
	}
	return result
}

func (a schedulerAdapter) Dump() any { return a.Scheduler.Dump() }

const catalogueYAML = `
workspaces: [{name: caruaru, weight: 2}, {name: lids, weight: 1}]
pools:
- {name: drafts, protocol: matrix, max_queue: 8, upstreams: [
  {name: engine-0, address: "ENGINE_0", data_centre: a, slots: 4, desired_model: m1},
  {name: engine-1, address: "ENGINE_1", data_centre: b, slots: 4}]}
- {name: order-desk, protocol: matrix_desk, upstreams: [
  {name: desk-0, address: "DESK_0", data_centre: a, slots: 8},
  {name: desk-1, address: "DESK_1", data_centre: b, slots: 8}]}
works:
- {name: booking, owner: orders, class: unary, tier: 0, pool: order-desk, method: POST, path: /v1/bookings, idempotent: false}
- {name: quick, owner: phones, class: stream, tier: 0, pool: drafts, model: quick, idempotent: true}
- {name: status, owner: orders, class: unary, tier: 2, pool: order-desk, method: GET, path: /v1/status, idempotent: true}
- {name: tag, owner: archive, class: stream, tier: 3, pool: drafts, model: tag, idempotent: true}
`

// newCluster starts a cluster inside a synctest bubble and waits until the catalogue is in force.
func newCluster(t *testing.T) *cluster {
	c := &cluster{
		network: fakes.NewNetwork(), log: fakes.NewLog(), routers: make(map[string]*router),
		yaml: catalogueYAML, onStep: func(string, location) {}, sampledFrom: make(map[string]time.Time),
	}
	subnet := clusterCount.Add(1)
	for i, name := range []string{"engine-0", "engine-1", "desk-0", "desk-1"} {
		address := fmt.Sprintf("10.%d.%d.%d:80", subnet/200, subnet%200, i)
		u := newUpstream(name, address, c.network)
		u.onStep = func(step, router string) { c.reportStep(step, location{router: router, upstream: name}) }
		t.Cleanup(func() { upstreams.Delete(address) })
		c.yaml = strings.Replace(c.yaml, strings.ToUpper(strings.Replace(name, "-", "_", 1)), address, 1)
		if i < 2 {
			c.engines = append(c.engines, u)
		} else {
			c.desks = append(c.desks, u)
		}
	}
	for _, name := range []string{"r1", "r2", "r3"} {
		c.start(name)
	}
	c.group.Go(func() error { c.trimCatalogue(); return nil })
	time.Sleep(12 * time.Second)
	c.edit("r1")
	time.Sleep(3 * time.Second)
	for name, r := range c.routers {
		if r.cataloguer.Current().Revision != 1 {
			t.Errorf("router %s started without the catalogue", name)
		}
	}
	return c
}

func (c *cluster) router(name string) *router {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.routers[name]
}

// liveRouters returns the names of the routers that haven't been stopped or killed, in order.
func (c *cluster) liveRouters() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for _, name := range []string{"r1", "r2", "r3", "r4"} {
		if r := c.routers[name]; r != nil && r.ctx.Err() == nil {
			names = append(names, name)
		}
	}
	return names
}

// start creates and runs a router.
func (c *cluster) start(name string) {
	r := &router{name: name, recorder: recorder.New(name, 20_000)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	logger, endpoint, log := zap.NewNop(), c.network.Endpoint(name), c.network.Log(name, observedLog{c.log, c, name})
	r.detector = detector.New(detector.Settings{
		Name: name, Address: name, Seeds: []string{"r1", "r2", "r3"}, VMList: c,
	}, endpoint)
	r.cataloguer = cataloguer.New(log,
		cataloguer.Options{FetchSnapshot: r.fetchSnapshot(endpoint), Retention: retention, Now: r.now}, logger)
	member, _ := r.detector.View().Member(name)
	r.claimer = claimer.New(log, claimer.Identity{Router: name, Incarnation: member.Incarnation},
		claimer.Options{RegisterRemote: r.registerClaims(endpoint), RankRouters: r.rankRouters, Now: r.now}, logger)
	r.leaser = leaser.New(log, leaser.Identity{Router: name, Incarnation: member.Incarnation}, leaser.Options{}, logger)
	clients, _ := dispatcher.NewClients()
	orderer := leaser.NewOrderer(r.leaser, leaser.OrdererOptions{
		Catalogue: r.cataloguer.Current,
		Assigned:  func(string) bool { return ranker.First("weights", r.detector.View().Eligible()) == name },
		Engine: func(u *cataloguer.Upstream) (kernel.EngineProtocol, error) {
			return clients.Engine(protocolName, u.Address)
		},
		ModelLoads: rate.NewLimiter(rate.Inf, 1),
	}, logger)
	host := runner.New(runner.Options{Self: name, Members: r.detector, Catalogue: r.cataloguer,
		Factory: func(pool cataloguer.Pool, now time.Time) runner.Scheduler {
			settings := scheduler.DefaultSettings()
			if pool.MaxQueue > 0 {
				settings.MaxQueue = pool.MaxQueue
			}
			return schedulerAdapter{scheduler.New(pool.Name, settings, zap.NewNop(), now)}
		}})
	tickets := ticketer.New(ticketer.Options{Self: name, Incarnation: member.Incarnation, Members: r.detector,
		Catalogue: r.cataloguer, Remote: endpoint, Local: host})
	r.recorder.Watch(func(event recorder.Event) {
		c.reportStep(string(event.Kind), location{router: name, upstream: event.Upstream})
	})
	r.cataloguer.Subscribe(func(*cataloguer.Catalogue) { c.reportStep("apply", location{router: name}) })
	r.holder = holder.New(holder.DefaultSettings(), r.cataloguer, tickets, r.claimer, clients, r.recorder,
		metrics.NewRegistry(), logger)
	c.network.Join(r.ctx, name, messenger.Handlers{
		Accept: host.Accept, Gossip: r.detector.Handle, Snapshot: r.snapshot, Claim: r.claim,
	})
	c.mu.Lock()
	c.routers[name] = r
	c.mu.Unlock()
	for _, run := range []func(context.Context) error{
		r.cataloguer.Run, r.claimer.Run, r.leaser.Run, orderer.Run, r.detector.Run, host.Run, tickets.Run, r.control,
		func(ctx context.Context) error { return c.sampleCatalogue(ctx, r) },
	} {
		c.group.Go(func() error { _ = run(r.ctx); return nil })
	}
	r.detector.Ready()
}

func (r *router) now() time.Time { return time.Now().Add(time.Duration(r.clockOffset.Load())) }

func (r *router) snapshot(_ context.Context, request *protocol.SnapshotRequest) (*protocol.SnapshotResponse, error) {
	data, revision, offset := r.cataloguer.Snapshot()
	if revision <= request.GetAboveRevision() {
		data = nil
	}
	return &protocol.SnapshotResponse{Revision: revision, Offset: offset, Catalogue: data}, nil
}

func (r *router) claim(_ context.Context, request *protocol.ClaimRequest) (*protocol.ClaimResponse, error) {
	return &protocol.ClaimResponse{Verdicts: r.claimer.Register(request.GetClaims())}, nil
}

func (r *router) fetchSnapshot(endpoint fakes.Endpoint) func(context.Context) ([]byte, uint64, int64, error) {
	return func(ctx context.Context) ([]byte, uint64, int64, error) {
		current, address := r.cataloguer.Current().Revision, ""
		best := current
		for _, member := range r.detector.View().Members {
			if member.Name != r.name && member.CatalogueRevision > best && member.State != protocol.MemberState_MEMBER_STATE_DEAD {
				best, address = member.CatalogueRevision, member.Address
			}
		}
		if address == "" {
			return nil, 0, 0, nil
		}
		response, err := endpoint.Snapshot(ctx, address, &protocol.SnapshotRequest{AboveRevision: current})
		return response.GetCatalogue(), response.GetRevision(), response.GetOffset(), err
	}
}

func (r *router) registerClaims(endpoint fakes.Endpoint) claimer.RegisterFunc {
	return func(ctx context.Context, router string, entries []*protocol.ClaimEntry) ([]*protocol.ClaimVerdict, error) {
		if router == r.name {
			return r.claimer.Register(entries), nil
		}
		response, err := endpoint.Claim(ctx, router, &protocol.ClaimRequest{Router: r.name, Claims: entries})
		return response.GetVerdicts(), err
	}
}

func (r *router) rankRouters(scopeHash uint64) []string {
	since := time.Now().Add(-claimer.MemoryWindow)
	var names []string
	for _, member := range r.detector.View().Members {
		if member.Known.Before(since) {
			names = append(names, member.Name)
		}
	}
	return ranker.Rank(fmt.Sprintf("claims/%x", scopeHash), names)
}

// control announces this router's catalogue revision to the members, adapts the batch window of its claims to the number
// of routers and republishes the catalogue, as the daemon does.
func (r *router) control(ctx context.Context) error {
	for ctx.Err() == nil {
		current, view := r.cataloguer.Current(), r.detector.View()
		r.detector.SetCatalogue(current.Revision, current.Offset)
		r.claimer.SetBatchWindow(time.Duration(max(len(view.Eligible()), 1)) * time.Second / 200)
		if ranker.First("catalogue", view.Eligible()) == r.name {
			_ = r.cataloguer.RefreshSnapshot(ctx) // fails during an outage; retried in the next round
		}
		time.Sleep(time.Second)
	}
	return ctx.Err()
}
