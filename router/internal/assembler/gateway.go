package assembler

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"coltsfootplank/internal/abstainer"
	"coltsfootplank/internal/administrator"
	"coltsfootplank/internal/admitter"
	"coltsfootplank/internal/archiver"
	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/connector"
	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/forwarder"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/limiter"
	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/ranker"
	"coltsfootplank/internal/runner"
	"coltsfootplank/internal/subscriber"
)

// bodyMemoryParts divides limits.memory_mb: one part is for the long bodies of requests.
const bodyMemoryParts = 2

// gatewayMode is the mode in which a router serves the routes published in the platform's directory.
type gatewayMode struct {
	*Router
	directory  kernel.DirectoryProtocol
	subscriber *subscriber.Subscriber
	connector  *connector.Connector
	abstainer  *abstainer.Abstainer
	archiver   *archiver.Archiver
	forwarder  *forwarder.Forwarder
	// failedFetches counts the calls of fetchState since the last one that was answered.
	failedFetches int
	// rollouts is nil if the settings don't turn rollouts on.
	rollouts *rollouts
}

func newGatewayMode(r *Router, closers *cleanups) (*gatewayMode, error) {
	g := &gatewayMode{Router: r}
	settings, log := r.settings.Gateway, r.logger.Logger
	factory, err := kernel.Directories.Lookup(settings.Directory.Protocol)
	if err != nil {
		return nil, err
	}
	dialect, err := kernel.Dialects.Lookup(settings.Dialect)
	if err != nil {
		return nil, err
	}
	directory, closeDirectory, err := factory(settings.Directory.Address)
	if err != nil {
		return nil, err
	}
	closers.add(closeDirectory)
	g.directory = directory
	subscriberOptions := subscriber.Options{
		Directory: directory, FetchSnapshot: g.fetchState, PeerVersion: g.peerVersion, Readers: g.readers, Watch: r.peers.Watch, WatchWait: settings.WatchWait, PollInterval: settings.PollInterval,
		LapseGrace: settings.LapseGrace, Heartbeat: settings.Heartbeat, Logger: log,
	}
	subscriberOptions.Prober, _ = directory.(kernel.UpstreamProber)
	if settings.Rollouts.Enabled() {
		g.rollouts = g.newRollouts()
		subscriberOptions.Rollouts, subscriberOptions.ApplyOrder = directory, g.rollouts.ApplyOrder
	}
	g.subscriber = subscriber.New(subscriberOptions)
	g.registerMetrics()
	r.createComponents(componentOptions{
		catalogue: g.subscriber, members: g.archiveConvictions, vmListInterval: settings.MemberInterval,
		vmList: routerList{directory: directory, observe: func(page kernel.DirectoryPage) { g.archiver.Observe(page) }, logger: log},
	})
	r.holder = r.newHolder(g.subscriber, nil, nil)
	var versions forwarder.Rollouts
	if g.rollouts != nil {
		g.rollouts.options.runner = r.runner
		versions = g.rollouts
	}
	connectionsOpened := metrics.GetOrRegisterCounter("upstream.connections_opened", r.metrics)
	upstreams, closeConnector := connector.New(connector.Settings{
		MaxIdle:         settings.IdlePerUpstream,
		EchoedRequestID: func(head *connector.Head) string { return dialect.ParseAnswer(head.Status, head.Header).RequestID },
		Account:         r.account,
	}, func() { connectionsOpened.Inc(1) })
	closers.add(closeConnector)
	g.connector = upstreams
	g.abstainer = abstainer.New(abstainer.Options{Registered: g.registered, Metrics: r.metrics, Logger: log})
	g.forwarder = forwarder.New(forwarder.Options{
		RoutingConfigSource: g.subscriber, Holder: r.holder, Dialect: dialect, Connector: upstreams, Abstainer: g.abstainer,
		Rollouts: versions,
		RepeatBudget: limiter.NewRepeatBudget(limiter.RepeatBudgetSettings{
			Ratio: settings.RepeatRatio, Slack: settings.RepeatSlack,
			Routers: func() int { return len(r.detector.View().Eligible()) },
		}),
		Draining: r.leaving.Load, MaxBodyBytes: r.settings.Limits.MaxBodyBytes,
		MaxBodyMemory: int64(r.settings.Limits.MemoryMB) << 20 / bodyMemoryParts, Account: r.account, Metrics: r.metrics, Logger: log,
	})
	return g, nil
}

// archivedMembers are the members of which the convictions are kept in the directory.
type archivedMembers struct {
	*detector.Detector
	archiver *archiver.Archiver
}

// AddConvictions adds convictions that this router found.
func (m archivedMembers) AddConvictions(convictions []*protocol.Conviction) {
	m.archiver.Add(convictions)
}

// archiveConvictions creates the archiver and returns the members through which the runner tells it what it finds.
func (g *gatewayMode) archiveConvictions(members *detector.Detector) runner.Membership {
	g.archiver = archiver.New(archiver.Options{
		Directory: g.directory, Known: func() []*protocol.Conviction { return members.View().Convictions },
		Add: members.AddConvictions, Reading: g.subscriber.Reading, Retention: g.settings.Scheduling.PoisonRetention, Logger: g.logger.Logger,
	})
	return archivedMembers{Detector: members, archiver: g.archiver}
}

// registered reports whether the catalogue has an upstream with a name.
func (g *gatewayMode) registered(name string) bool {
	_, ok := g.subscriber.Current().Upstream(name)
	return ok
}

func (g *gatewayMode) Handler() http.Handler { return g.forwarder }

func (g *gatewayMode) Tasks() []func(ctx context.Context) error {
	tasks := []func(ctx context.Context) error{g.subscriber.Run, g.connector.Run, g.archiver.Run, g.announce, g.announceVersion}
	if g.rollouts != nil {
		tasks = append(tasks, g.rollouts.Run)
	}
	return tasks
}

func (g *gatewayMode) PeerHandlers() messenger.Handlers {
	handlers := messenger.Handlers{
		Accept: g.runner.Accept,
		Gossip: g.detector.Handle,
		Snapshot: func(context.Context, *protocol.SnapshotRequest) (*protocol.SnapshotResponse, error) {
			data, version, position := g.subscriber.Snapshot()
			return &protocol.SnapshotResponse{Revision: version, Offset: int64(position), Catalogue: data}, nil
		},
		Watch: g.subscriber.Serve,
	}
	if g.rollouts != nil {
		handlers.Rollout = g.rollouts.Receive
	}
	return handlers
}

// AdminCatalogue returns a catalogue that can't be edited, because operators publish in the directory.
func (g *gatewayMode) AdminCatalogue() administrator.Catalogue {
	return readOnlyCatalogue{g.subscriber}
}

// Published returns the limits of the newest configuration. Until there is one, the router's own limits apply alone.
func (g *gatewayMode) Published() admitter.Published {
	config := g.subscriber.RoutingConfig()
	if config == nil {
		return admitter.Published{}
	}
	return admitter.Published{HeadBytes: config.MaxHeadBytes, HeadTimeout: config.HeadTimeout, IdleTimeout: config.IdleTimeout}
}

func (g *gatewayMode) Ready() bool { return g.subscriber.RoutingConfig() != nil }

// Deregister deletes this router's record, so that new routers don't try to reach it.
func (g *gatewayMode) Deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := g.directory.Announce(ctx, g.settings.Name, nil); err != nil {
		g.logger.Warn("router's record not deleted", zap.Error(err))
	}
}

// announceVersion regularly announces to the other routers the version of the publication and the position of the registrations
// that this one has.
func (g *gatewayMode) announceVersion(ctx context.Context) error {
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	for {
		version, position := g.subscriber.Version()
		g.detector.SetCatalogue(version, int64(position))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// readerRolePrefix is the prefix of the role of the routers that read the directory for their data centre. The name of the
// data centre follows.
const readerRolePrefix = "reader/"

// readers returns the routers that read the directory for this data centre and are ranked before this one, and whether
// this router is itself a candidate.
func (g *gatewayMode) readers() subscriber.Readers {
	if g.leaving.Load() {
		return subscriber.Readers{Candidate: true}
	}
	view := g.detector.View()
	names := g.sameDataCentre(view, view.SchedulerHosts())
	if len(names) == 0 {
		names = g.sameDataCentre(view, view.Eligible())
	}
	var readers subscriber.Readers
	for _, name := range ranker.Top(readerRolePrefix+g.settings.DataCentre, names) {
		if name == g.settings.Name {
			readers.Candidate = true
			break
		}
		member, _ := view.Member(name)
		readers.Addresses = append(readers.Addresses, member.Address)
	}
	return readers
}

// sameDataCentre returns those of the candidates that are members in this router's data centre.
func (g *gatewayMode) sameDataCentre(view *detector.View, candidates []string) []string {
	var names []string
	for _, name := range candidates {
		if member, ok := view.Member(name); ok && member.DataCentre == g.settings.DataCentre {
			names = append(names, name)
		}
	}
	return names
}

// fetchState returns the state of a router with the newest configuration and registrations, or nil if none has what is wanted. If
// one doesn't answer, the next call asks another one.
func (g *gatewayMode) fetchState(ctx context.Context, wanted subscriber.Wanted) ([]byte, error) {
	version, position := g.subscriber.Version()
	sources := stateSources(g.detector.View(), version, int64(position), wanted)
	if len(sources) == 0 {
		return nil, nil
	}
	address := sources[g.failedFetches%len(sources)].Address
	response, err := g.peers.Snapshot(ctx, address, &protocol.SnapshotRequest{})
	if err != nil {
		g.failedFetches++
		return nil, err
	}
	g.failedFetches = 0
	g.logger.Info("state of a peer fetched", zap.String("peer", address), zap.Uint64("version", response.GetRevision()),
		zap.Stringer("position", kernel.Position(response.GetOffset())))
	return response.GetCatalogue(), nil
}

// directoryState is the section of the state dump on the directory.
type directoryState struct {
	Version int64 `json:"version"`
	Offset  int64 `json:"offset"`
	Era     int64 `json:"era"`
	Healthy bool  `json:"directory_healthy"`
	// Publication is nil while there is none.
	Publication *publicationState `json:"publication"`
	Pools       any               `json:"pools"`
}

// publicationState tells where the configuration in force comes from, and how old it is.
type publicationState struct {
	Offset int64  `json:"offset"`
	Era    int64  `json:"era"`
	Source string `json:"source"`
	Reader string `json:"reader,omitempty"`
	// InForce is the time since it was put in force, and Confirmed since the directory last had no newer one, in ms; negative
	// if that isn't known.
	InForce   int64 `json:"in_force_ms"`
	Confirmed int64 `json:"confirmed_ms"`
}

func (g *gatewayMode) publicationState() *publicationState {
	config := g.subscriber.RoutingConfig()
	if config == nil {
		return nil
	}
	return &publicationState{
		Offset: config.Position.Offset(), Era: config.Position.Era(), Source: config.Source, Reader: config.Reader,
		InForce: time.Since(config.Since).Milliseconds(), Confirmed: g.confirmedAgo(),
	}
}

// confirmedAgo returns the time since the directory last had no newer publication in ms; negative if that isn't known.
func (g *gatewayMode) confirmedAgo() int64 {
	confirmed := g.subscriber.Confirmed()
	if confirmed.IsZero() {
		return -1
	}
	return time.Since(confirmed).Milliseconds()
}

// registerMetrics registers the metrics of the configuration.
func (g *gatewayMode) registerMetrics() {
	for name, value := range map[string]func(config *subscriber.RoutingConfig) int64{
		"publication.version":      func(config *subscriber.RoutingConfig) int64 { return config.Version },
		"publication.era":          func(config *subscriber.RoutingConfig) int64 { return config.Position.Era() },
		"publication.in_force_ms":  func(config *subscriber.RoutingConfig) int64 { return time.Since(config.Since).Milliseconds() },
		"publication.confirmed_ms": func(*subscriber.RoutingConfig) int64 { return g.confirmedAgo() },
	} {
		metrics.NewRegisteredFunctionalGauge(name, g.metrics, func() int64 {
			config := g.subscriber.RoutingConfig()
			if config == nil {
				return -1
			}
			return value(config)
		})
	}
}

func (g *gatewayMode) Sections() []section {
	sections := []section{{"directory", func() any {
		version, position := g.subscriber.Version()
		return directoryState{
			Version: int64(version), Offset: position.Offset(), Era: position.Era(), Healthy: g.subscriber.Healthy(),
			Publication: g.publicationState(), Pools: g.subscriber.Current().Pools,
		}
	}}, {"abstentions", func() any { return g.abstainer.Dump() }}, {"archive", func() any { return g.archiver.Dump() }}}
	if g.rollouts != nil {
		sections = append(sections, section{"rollouts", g.rollouts.Dump})
	}
	return sections
}

// readOnlyCatalogue is the catalogue of the administration API in gateway mode, where operators publish in the directory.
type readOnlyCatalogue struct {
	*subscriber.Subscriber
}

// Apply rejects every edit. Errors: *ReadOnlyError.
func (readOnlyCatalogue) Apply(context.Context, uint64, string, []byte) (revision uint64, offset int64, err error) {
	return 0, 0, &ReadOnlyError{}
}

// History returns nil, because the directory keeps the newest publication only.
func (readOnlyCatalogue) History(int) []cataloguer.HistoryEntry { return nil }
