package assembler

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/promoter"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/ranker"
	"coltsfootplank/internal/runner"
)

const (
	// rolloutInterval is the time between two steps of a rollout, and between two reports of a router with schedulers of the
	// service.
	rolloutInterval = 100 * time.Millisecond
	// reportInterval is the time between two reports of other routers. Their reports hold evidence only, and 108 of them
	// would otherwise take a fifth of the decider's processor.
	reportInterval = 250 * time.Millisecond
	// recordInterval is the time between two reads of the record by its decider. It is below the time for which a read counts
	// as a verification.
	recordInterval = 500 * time.Millisecond
	// fallbackInterval is the time without an answer of a decider after which a router reads the record itself, and the time
	// between two such reads. One of them may fail before the router has to stop using the service's engines after 2 s. All
	// routers do so while there is no decider.
	fallbackInterval = 900 * time.Millisecond
	// rolloutRolePrefix is the prefix of the role of the decider. The name of the service follows.
	rolloutRolePrefix = "rollout/"
)

// rolloutOptions are the dependencies of rollouts.
type rolloutOptions struct {
	self string
	// process grows with each start of this router.
	process   uint64
	members   func() *detector.View
	catalogue func() *cataloguer.Catalogue
	directory kernel.DirectoryProtocol
	report    func(ctx context.Context, address string, request *protocol.RolloutRequest) (*protocol.RolloutResponse, error)
	runner    *runner.Runner
	settings  promoter.Settings
	metrics   metrics.Registry
	logger    *zap.Logger
}

// rollouts connects the gates of this router, and the deciders that it hosts, with the directory, the schedulers and the
// other routers. Its methods may be called concurrently.
type rollouts struct {
	options rolloutOptions

	mu       sync.Mutex
	services map[string]*serviceRollout
	// deadSince is when each dead member was first seen to be dead.
	deadSince map[string]time.Time
}

// serviceRollout is the rollout of one service.
type serviceRollout struct {
	gate     *promoter.Gate
	deciding *deciding
	// granted and totals are the grants under leases, and the limits of these, by cell.
	granted, totals map[*runner.Cell]uint64
	// reportedAt is when the last report was sent, answeredAt when one was last answered with a verification, readAt when the
	// record was last read.
	reportedAt, answeredAt, readAt time.Time
	// unrecordedSince is when the outcome was first seen not to be known to be in the directory; zero if it is.
	unrecordedSince time.Time
	// applied describes the limits that the schedulers have.
	applied appliedLimits
}

// appliedLimits identifies limits that don't change with time.
type appliedLimits struct {
	known    bool
	order    kernel.Position
	phase    kernel.RolloutPhase
	versions int
}

// deciding is a decider that this router hosts.
type deciding struct {
	decider *promoter.Decider
	keeper  promoter.Keeper
	// order and deleted are the state of the order that the decider knows.
	order   kernel.Position
	deleted bool
	// readAt is when the record was last read and was the decider's own, loggedAt when a finding was last logged.
	readAt, loggedAt time.Time
}

// newRollouts returns the rollouts of this router. The runner is set once it exists.
func (g *gatewayMode) newRollouts() *rollouts {
	bounds, settings := g.settings.Gateway.Rollouts, promoter.DefaultSettings()
	settings.ExposureShare, settings.ExposureSlack = bounds.ExposureShare, bounds.ExposureSlack
	return newRollouts(rolloutOptions{
		self: g.settings.Name, process: uint64(time.Now().UnixNano()), members: func() *detector.View { return g.detector.View() },
		catalogue: func() *cataloguer.Catalogue { return g.subscriber.Current() }, directory: g.directory, report: g.peers.Rollout,
		settings: settings, metrics: g.metrics, logger: g.logger.Logger,
	})
}

func newRollouts(options rolloutOptions) *rollouts {
	return &rollouts{options: options, services: make(map[string]*serviceRollout), deadSince: make(map[string]time.Time)}
}

// service returns the rollout of a service. The caller holds r.mu. Gates exist without an order too, since an order needs to
// know the requests that are at the engines when it comes.
func (r *rollouts) service(name string) *serviceRollout {
	s := r.services[name]
	if s == nil {
		s = &serviceRollout{
			gate: promoter.NewGate(), granted: make(map[*runner.Cell]uint64), totals: make(map[*runner.Cell]uint64),
		}
		r.services[name] = s
	}
	return s
}

// versions returns the versions of a service's registered engines, sorted.
func (r *rollouts) versions(service string) (versions []string) {
	for _, pool := range r.options.catalogue().Pools {
		for _, upstream := range pool.Upstreams {
			if pool.Name == service && !slices.Contains(versions, upstream.Version) {
				versions = append(versions, upstream.Version)
			}
		}
	}
	slices.Sort(versions)
	return versions
}

// ApplyOrder applies an order from the directory.
func (r *rollouts) ApplyOrder(order kernel.RolloutOrder, seen bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(order.Service)
	versions := r.versions(order.Service)
	s.gate.SetVersions(versions)
	now := time.Now()
	s.gate.SetOrder(now, order, seen)
	s.answeredAt = time.Time{}
	if seen {
		// A decider has some time to take the role before each router reads the record.
		s.answeredAt = now
	}
	r.options.logger.Info("rollout ordered", zap.String("service", order.Service), zap.String("to", order.To),
		zap.Duration("duration", order.Duration), zap.Stringer("order", order.Position), zap.Bool("deleted", order.Deleted),
		zap.Strings("versions", versions), zap.Strings("old_versions", s.gate.Old()), zap.Bool("seen", seen))
	r.limitSchedulers(order.Service)
}

// Arrived implements forwarder.Rollouts.
func (r *rollouts) Arrived(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(service).gate.Arrived()
}

// Begin implements forwarder.Rollouts.
func (r *rollouts) Begin(service, route string, upstream *cataloguer.Upstream) (func(protocol.ReleaseKind, time.Duration), bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	gate, version := r.service(service).gate, upstream.Version
	if !gate.Begin(time.Now(), version) {
		return nil, false
	}
	return func(kind protocol.ReleaseKind, latency time.Duration) {
		r.mu.Lock()
		defer r.mu.Unlock()
		gate.End(version)
		outcome, ok := outcomeOf(kind)
		if !ok || !gate.Open() {
			return
		}
		gate.Observe(version, route, outcome, latency)
		metrics.GetOrRegisterCounter("rollouts."+service+"."+version+"."+kind.String(), r.options.metrics).Inc(1)
	}, true
}

// outcomeOf returns the outcome of an attempt, and false if it tells nothing of the engine's version.
func outcomeOf(kind protocol.ReleaseKind) (promoter.Outcome, bool) {
	switch kind {
	case protocol.ReleaseKind_RELEASE_KIND_ANSWERED:
		return promoter.OutcomeAnswered, true
	case protocol.ReleaseKind_RELEASE_KIND_FAILED:
		return promoter.OutcomeFailed, true
	case protocol.ReleaseKind_RELEASE_KIND_LOST:
		return promoter.OutcomeLost, true
	default:
		return 0, false
	}
}

// Run reports, applies limits and decides until ctx ends. Without an order it does nothing.
func (r *rollouts) Run(ctx context.Context) error {
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		for _, service := range r.ordered() {
			r.step(ctx, service)
		}
	}
}

// ordered returns the services with an order, or whose schedulers still have limits.
func (r *rollouts) ordered() (services []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, s := range r.services {
		if s.gate.Order() != nil || s.applied.known {
			services = append(services, name)
		}
	}
	slices.Sort(services)
	return services
}

// step does what is due for one service.
func (r *rollouts) step(ctx context.Context, service string) {
	view := r.options.members()
	r.mu.Lock()
	s := r.service(service)
	s.gate.SetVersions(r.versions(service))
	open, unrecorded := s.gate.Open(), s.gate.Unrecorded()
	if open || !unrecorded {
		s.unrecordedSince = time.Time{}
	}
	r.mu.Unlock()
	if open && len(view.SchedulerHosts()) > 0 {
		decider := ranker.First(rolloutRolePrefix+service, view.SchedulerHosts())
		if decider == r.options.self {
			r.decide(ctx, service, view)
		}
		r.countGrants(service)
		r.callDecider(ctx, service, decider, view)
		r.readRecord(ctx, service)
	}
	if !open && unrecorded {
		rank := slices.Index(ranker.Top(rolloutRolePrefix+service, view.SchedulerHosts()), r.options.self)
		r.recordAgain(ctx, service, rank)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limitSchedulers(service)
}

// Dump returns the state of the rollouts for the state dump.
func (r *rollouts) Dump() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	dumps := make(map[string]any)
	for name, s := range r.services {
		order := s.gate.Order()
		if order == nil {
			continue
		}
		left, until := s.gate.LeaseLeft(now)
		dump := map[string]any{
			"order": order, "phase": s.gate.Phase().String(), "old_versions": s.gate.Old(), "lease_left": left, "lease_until": until,
			"stopped": s.gate.Stopped(), "record": s.gate.Record(), "answered_at": s.answeredAt,
		}
		if d := s.deciding; d != nil {
			dump["decider"] = map[string]any{"record": d.decider.Record(), "finding": d.decider.Finding(), "read_at": d.readAt}
		}
		dumps[name] = dump
	}
	return dumps
}
