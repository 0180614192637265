package assembler

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/administrator"
	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/claimer"
	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/dispatcher"
	"coltsfootplank/internal/dumper"
	"coltsfootplank/internal/holder"
	"coltsfootplank/internal/leaser"
	"coltsfootplank/internal/loader"
	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/receiver"
	"coltsfootplank/internal/recorder"
	"coltsfootplank/internal/runner"
	"coltsfootplank/internal/ticketer"
)

// historyEvents is the number of events kept for the state dump: some minutes at today's rates, a few MB.
const historyEvents = 20_000

// Router is one entry daemon.
type Router struct {
	settings  *loader.Settings
	logger    *zap.Logger
	platform  platform
	listeners listeners

	peers      *messenger.Pool
	detector   *detector.Detector
	cataloguer *cataloguer.Cataloguer
	claimer    *claimer.Claimer
	leaser     *leaser.Leaser
	orderer    *leaser.Orderer
	runner     *runner.Runner
	ticketer   *ticketer.Ticketer
	holder     *holder.Holder
	receiver   *receiver.Receiver
	recorder   *recorder.Recorder
	dumper     *dumper.Dumper
	metrics    metrics.Registry

	leaving   atomic.Bool
	drainOnce sync.Once
	drain     chan struct{}
}

// New builds a router and binds its addresses. The returned function releases what Run leaves open.
func New(settings *loader.Settings) (*Router, func(), error) {
	var closers cleanups
	router, err := build(settings, &closers)
	if err != nil {
		closers.run()
		return nil, nil, err
	}
	return router, closers.run, nil
}

func build(settings *loader.Settings, closers *cleanups) (*Router, error) {
	logger, err := newLogger(settings)
	if err != nil {
		return nil, err
	}
	r := &Router{settings: settings, logger: logger, metrics: metrics.NewRegistry(), drain: make(chan struct{})}
	if r.platform, err = newPlatform(settings.Platform, closers); err != nil {
		return nil, err
	}
	if r.listeners, err = listen(settings, closers); err != nil {
		return nil, err
	}
	peerTLS, err := settings.TLS.Peers.ClientConfig()
	if err != nil {
		return nil, err
	}
	peers, closePeers := messenger.NewPool(peerTLS)
	closers.add(closePeers)
	clients, closeClients := dispatcher.NewClients()
	closers.add(closeClients)
	r.peers = peers
	r.assemble(clients)
	return r, r.registerSections()
}

// assemble makes the parts in the order of their dependencies.
func (r *Router) assemble(clients *dispatcher.Clients) {
	s := r.settings
	r.detector = detector.New(detector.Settings{
		Name: s.Name, Address: s.Peers.Advertise, DataCentre: s.DataCentre, Seeds: s.Peers.Seeds,
		ProbeInterval: s.Membership.ProbeInterval, ProbeTimeout: s.Membership.ProbeTimeout,
		SuspectTime: s.Membership.SuspectTimeout, VMList: r.platform.VMList, Logger: r.logger,
	}, r.peers)
	r.cataloguer = cataloguer.New(r.platform.Log, cataloguer.Options{
		FetchSnapshot: r.fetchSnapshot, Retention: s.Catalogue.Retention,
	}, r.logger)
	incarnation := r.incarnation()
	r.claimer = claimer.New(r.platform.Log, claimer.Identity{Router: s.Name, Incarnation: incarnation},
		claimer.Options{
			Retention: s.Claims.Retention, Window: s.Claims.Window, Ask: r.askClaims, Ranks: r.claimRanks,
		}, r.logger)
	r.leaser = leaser.New(r.platform.Log, leaser.Identity{Router: s.Name, Incarnation: incarnation}, leaser.Options{}, r.logger)
	r.orderer = r.newOrderer(clients)
	r.runner = runner.New(runner.Options{
		Self: s.Name, Members: r.detector, Catalogue: r.cataloguer, Factory: schedulerFactory(s.Scheduling),
		CellEngines: s.Scheduling.CellEngines, Logger: r.logger,
	})
	r.ticketer = ticketer.New(ticketer.Options{
		Self: s.Name, Incarnation: incarnation, Members: r.detector, Catalogue: r.cataloguer,
		Remote: r.peers, Local: r.runner, CellEngines: s.Scheduling.CellEngines, Logger: r.logger,
	})
	r.recorder = recorder.New(s.Name, historyEvents)
	held := holder.DefaultSettings()
	held.MaxWaiting = s.Limits.MaxWaiting
	r.holder = holder.New(held, r.cataloguer, r.ticketer, r.claimer, clients, r.recorder, r.metrics, r.logger)
	r.receiver = receiver.New(receiver.Settings{
		MaxBodyBytes: s.Limits.MaxBodyBytes,
		Ready:        r.ready,
	}, r.cataloguer, r.holder, r.logger)
}

// incarnation is the number by which the detector tells this run of the router from earlier ones.
func (r *Router) incarnation() uint64 {
	member, _ := r.detector.View().Member(r.settings.Name)
	return member.Incarnation
}

// ready says whether the load balancer may send requests here.
func (r *Router) ready() bool {
	return !r.leaving.Load() && r.cataloguer.Current().Revision > 0
}

// Drain starts the planned stop; calling it again does nothing.
func (r *Router) Drain() error {
	r.drainOnce.Do(func() { close(r.drain) })
	return nil
}

// Run serves until ctx ends or Drain is called, then stops as planned. It returns nil if every accepted request ended.
func (r *Router) Run(ctx context.Context) error {
	// The parts outlive ctx, so that a planned stop can finish what was accepted.
	work, finish := context.WithCancel(context.WithoutCancel(ctx))
	defer finish()
	group, groupCtx := errgroup.WithContext(work)
	if err := r.start(groupCtx, group); err != nil {
		finish()
		_ = group.Wait()
		return err
	}
	r.logger.Info("router started", zap.String("callers", r.settings.Callers.Listen),
		zap.String("peers", r.settings.Peers.Listen), zap.String("admin", r.settings.Admin.Listen))
	r.detector.Ready()
	var stopErr error
	group.Go(func() error {
		defer finish()
		select {
		case <-ctx.Done():
		case <-r.drain:
		case <-groupCtx.Done():
			return nil
		}
		stopErr = r.stop(groupCtx)
		return nil
	})
	err := group.Wait()
	if work.Err() != nil && stopErr == nil && isCancelled(err) {
		r.logger.Info("router stopped")
		return nil
	}
	if stopErr != nil {
		return stopErr
	}
	return err
}

// start runs every part in the group.
func (r *Router) start(ctx context.Context, group *errgroup.Group) error {
	callerTLS, err := r.settings.TLS.Callers.ServerConfig()
	if err != nil {
		return err
	}
	peerTLS, err := r.settings.TLS.Peers.ServerConfig()
	if err != nil {
		return err
	}
	adminTLS, err := r.settings.TLS.Admin.ServerConfig()
	if err != nil {
		return err
	}
	admin := administrator.Routes(
		administrator.New(r.cataloguer, r.dumper, r), r.dumper, r.metrics)
	_, peerHandler := messenger.Mount(r.peerHandlers())
	for _, run := range []func(context.Context) error{
		r.cataloguer.Run, r.claimer.Run, r.leaser.Run, r.orderer.Run, r.detector.Run, r.runner.Run,
		r.ticketer.Run, r.control,
		func(ctx context.Context) error {
			return messenger.Serve(ctx, r.listeners.Peers, peerHandler, peerTLS)
		},
		func(ctx context.Context) error {
			return serveHTTP(ctx, r.listeners.Callers, r.receiver.Handler(), callerTLS, r.settings.Limits.MaxHeaderBytes)
		},
		func(ctx context.Context) error {
			return serveHTTP(ctx, r.listeners.Admin, admin, adminTLS, r.settings.Limits.MaxHeaderBytes)
		},
	} {
		group.Go(func() error { return run(ctx) })
	}
	return nil
}

// stop is the planned stop: it announces the departure, waits for the load balancer, and finishes every accepted
// request.
func (r *Router) stop(ctx context.Context) error {
	r.logger.Info("planned stop started", zap.Duration("delay", r.settings.Drain.Delay))
	r.leaving.Store(true)
	r.detector.Leave(ctx)
	timer := time.NewTimer(r.settings.Drain.Delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	limited, cancel := context.WithTimeout(ctx, r.settings.Drain.Timeout)
	defer cancel()
	err := r.holder.Drain(limited)
	r.detector.Depart(ctx)
	return err
}
