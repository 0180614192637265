package assembler

import (
	"context"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/accountant"
	"coltsfootplank/internal/administrator"
	"coltsfootplank/internal/admitter"
	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/dispatcher"
	"coltsfootplank/internal/dumper"
	"coltsfootplank/internal/holder"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/loader"
	"coltsfootplank/internal/logger"
	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/recorder"
	"coltsfootplank/internal/runner"
	"coltsfootplank/internal/ticketer"
)

// historyEvents is the number of events kept for the state dump: some minutes at present request rates, a few MB.
const historyEvents = 20_000

// Router is one router daemon.
type Router struct {
	settings  *loader.Settings
	logger    *logger.Logger
	listeners listeners
	// mode determines what the router serves: the catalogue's entries or the routes published in the directory.
	mode mode

	peers    *messenger.Pool
	detector *detector.Detector
	runner   *runner.Runner
	ticketer *ticketer.Ticketer
	holder   *holder.Holder
	recorder *recorder.Recorder
	dumper   *dumper.Dumper
	metrics  metrics.Registry
	account  *accountant.Accountant

	leaving   atomic.Bool
	drainOnce sync.Once
	drain     chan struct{}
}

// New builds a router and binds its addresses. The returned function releases its resources and must be called after Run.
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
	log, closeLog, err := logger.New(logger.Settings{
		Level: settings.Log.Level, Format: settings.Log.Format, Name: settings.Name,
	}, os.Stdout)
	if err != nil {
		return nil, err
	}
	closers.add(closeLog)
	r := &Router{settings: settings, logger: log, metrics: metrics.NewRegistry(), drain: make(chan struct{})}
	r.account = newAccount(settings.Limits, r.metrics)
	r.registerLogMetrics()
	setMemoryLimit(settings.Limits)
	if r.listeners, err = listen(settings, closers); err != nil {
		return nil, err
	}
	peerTLS, err := settings.TLS.Peers.ClientConfig()
	if err != nil {
		return nil, err
	}
	peers, closePeers := messenger.NewPool(peerTLS)
	closers.add(closePeers)
	r.peers = peers
	r.recorder = recorder.New(settings.Name, historyEvents)
	r.recorder.Watch(eventLogger(log.Logger))
	if settings.Gateway.Enabled() {
		r.mode, err = newGatewayMode(r, closers)
	} else {
		r.mode, err = newCatalogueMode(r, closers)
	}
	if err != nil {
		return nil, err
	}
	return r, r.registerSections()
}

// registerLogMetrics registers metrics for the log lines that were dropped.
func (r *Router) registerLogMetrics() {
	metrics.NewRegisteredFunctionalGauge("log.lines_dropped", r.metrics, func() int64 {
		full, _ := r.logger.Dropped()
		return full
	})
	metrics.NewRegisteredFunctionalGauge("log.lines_sampled", r.metrics, func() int64 {
		_, sampled := r.logger.Dropped()
		return sampled
	})
}

// setMemoryLimit sets the soft memory limit of the Go runtime, if the settings have one.
func setMemoryLimit(limits loader.Limits) {
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(limits.MemoryMB) << 20)
	}
}

// mode holds what differs between the two modes of a router, catalogueMode and gatewayMode.
type mode interface {
	// Handler returns the handler of callers' requests.
	Handler() http.Handler
	// Tasks returns the background tasks, which run as long as the router does.
	Tasks() []func(ctx context.Context) error
	// PeerHandlers returns the handlers of other routers' calls.
	PeerHandlers() messenger.Handlers
	// AdminCatalogue returns the catalogue for the administration API.
	AdminCatalogue() administrator.Catalogue
	// Sections returns the mode's sections of the state dump.
	Sections() []section
	// Ready reports whether the router has a configuration to serve.
	Ready() bool
	// Published returns the limits that operators have published for callers.
	Published() admitter.Published
	// Deregister deletes the router's registration at the end of a planned stop.
	Deregister(ctx context.Context)
}

// catalogueSource publishes the current catalogue, which is never nil.
type catalogueSource interface {
	Current() *cataloguer.Catalogue
	Subscribe(notify func(*cataloguer.Catalogue)) (unsubscribe func())
}

// createComponents creates the components that both modes use, in the order of their dependencies.
func (r *Router) createComponents(options componentOptions) {
	s := r.settings
	r.detector = detector.New(detector.Settings{
		Name: s.Name, Address: s.Peers.Advertise, DataCentre: s.DataCentre, Seeds: s.Peers.Seeds,
		Processor:     uint32(s.Limits.ProcessorShare * 1000),
		ProbeInterval: s.Membership.ProbeInterval, ProbeTimeout: s.Membership.ProbeTimeout,
		SuspectTimeout: s.Membership.SuspectTimeout, VMList: options.vmList, VMListInterval: options.vmListInterval,
		Logger: r.logger.Logger,
	}, r.peers)
	members := runner.Membership(r.detector)
	if options.members != nil {
		members = options.members(r.detector)
	}
	r.runner = runner.New(runner.Options{
		Self: s.Name, Members: members, Catalogue: options.catalogue,
		Factory: schedulerFactory(s.Scheduling, r.logger.Logger), CellEngines: s.Scheduling.CellEngines, Reporter: s.Gateway.Reporter, Logger: r.logger.Logger,
	})
	r.ticketer = ticketer.New(ticketer.Options{
		Self: s.Name, Incarnation: r.incarnation(), Members: r.detector, Catalogue: options.catalogue,
		Remote: r.peers, Local: r.runner, CellEngines: s.Scheduling.CellEngines, Logger: r.logger.Logger,
	})
}

// componentOptions holds what a mode supplies to the components that both modes use.
type componentOptions struct {
	catalogue catalogueSource
	// members returns the members as the runner sees them; nil for those of the detector.
	members        func(*detector.Detector) runner.Membership
	vmList         kernel.VMListProtocol
	vmListInterval time.Duration
}

// newHolder creates the holder; claims may be nil if requests have no idempotency keys.
func (r *Router) newHolder(catalogue holder.Catalogue, claims holder.Claims, clients *dispatcher.Clients) *holder.Holder {
	holderSettings := holder.DefaultSettings()
	holderSettings.MaxWaiting = r.settings.Limits.MaxWaiting
	return holder.New(holderSettings, catalogue, r.ticketer, claims, clients, r.recorder, r.metrics, r.logger.Logger)
}

// incarnation returns the number by which the detector distinguishes this run of the router from earlier ones.
func (r *Router) incarnation() uint64 {
	member, _ := r.detector.View().Member(r.settings.Name)
	return member.Incarnation
}

// ready reports whether the load balancer may send requests to this router.
func (r *Router) ready() bool {
	return !r.leaving.Load() && r.mode.Ready()
}

// Reload applies the settings that may change while the router runs: the log level and the memory limit.
func (r *Router) Reload(settings *loader.Settings) {
	if err := r.logger.SetLevel(settings.Log.Level); err != nil {
		r.logger.Warn("log level not changed", zap.Error(err))
	}
	setMemoryLimit(settings.Limits)
	r.logger.Info("settings reloaded", zap.String("log_level", settings.Log.Level), zap.Int("memory_mb", settings.Limits.MemoryMB))
}

// Drain starts the planned stop; further calls have no effect.
func (r *Router) Drain() error {
	r.drainOnce.Do(func() { close(r.drain) })
	return nil
}

// Run serves until ctx ends or Drain is called, then performs the planned stop. It returns nil if every accepted request
// has finished.
func (r *Router) Run(ctx context.Context) error {
	// The tasks outlive ctx, so that a planned stop can finish the accepted requests.
	taskCtx, cancelTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelTasks()
	group, groupCtx := errgroup.WithContext(taskCtx)
	if err := r.start(groupCtx, group); err != nil {
		cancelTasks()
		_ = group.Wait()
		return err
	}
	r.logger.Info("router started", zap.String("callers", r.settings.Callers.Listen),
		zap.String("peers", r.settings.Peers.Listen), zap.String("admin", r.settings.Admin.Listen))
	r.detector.Ready()
	var stopErr error
	group.Go(func() error {
		defer cancelTasks()
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
	if taskCtx.Err() != nil && stopErr == nil && isCancelled(err) {
		r.logger.Info("router stopped")
		return nil
	}
	if stopErr != nil {
		return stopErr
	}
	return err
}

// start runs all tasks and servers in the group.
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
	admitters := r.newAdmitters(r.mode.Published)
	admin := administrator.Routes(
		administrator.New(r.mode.AdminCatalogue(), r.dumper, r), r.dumper, r.metrics)
	_, peerHandler := messenger.NewHandler(r.mode.PeerHandlers())
	tasks := append(r.mode.Tasks(), r.detector.Run, r.runner.Run, r.ticketer.Run,
		func(ctx context.Context) error {
			return messenger.Serve(ctx, r.listeners.Peers, peerHandler, peerTLS, admitters.peers)
		},
		func(ctx context.Context) error {
			return serveHTTP(ctx, r.listeners.Callers, admitters.callers, r.mode.Handler(), callerTLS, r.settings.Limits.MaxHeaderBytes)
		},
		func(ctx context.Context) error {
			return serveHTTP(ctx, r.listeners.Admin, admitters.operators, admin, adminTLS, r.settings.Limits.MaxHeaderBytes)
		})
	if r.listeners.Readiness != nil {
		tasks = append(tasks, func(ctx context.Context) error {
			return serveHTTP(ctx, r.listeners.Readiness, admitters.readiness, r.readinessHandler(), nil, r.settings.Limits.MaxHeaderBytes)
		})
	}
	for _, run := range tasks {
		group.Go(func() error { return run(ctx) })
	}
	return nil
}

// stop performs the planned stop: it announces that the router is leaving, waits for the load balancer to notice, and
// waits for every accepted request to finish.
func (r *Router) stop(ctx context.Context) error {
	delay, timeout := r.settings.Drain.WithinGracePeriod()
	r.logger.Info("planned stop started", zap.Duration("delay", delay), zap.Duration("timeout", timeout))
	r.leaving.Store(true)
	r.detector.Leave(ctx)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := r.holder.Drain(limited)
	r.detector.Depart(ctx)
	r.mode.Deregister(ctx)
	return err
}

// readinessHandler returns the handler of the load balancer's readiness check.
func (r *Router) readinessHandler() http.Handler {
	router := chi.NewRouter()
	router.Get(r.settings.Gateway.Readiness.Path, func(w http.ResponseWriter, _ *http.Request) {
		if !r.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return router
}
