package assembler

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"coltsfootplank/internal/administrator"
	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/connector"
	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/forwarder"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/limiter"
	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/ranker"
	"coltsfootplank/internal/subscriber"
)

const (
	// announceTimeout bounds one try to record this router's address in the directory.
	announceTimeout = 2 * time.Second
	// announceRetry is the pause between tries.
	announceRetry = time.Second
	// announceSpread is the time over which routers that start together record their addresses. The store takes 4 ms for
	// each, one after another.
	announceSpread = 2 * time.Second
)

// gateway is the form of a router that serves the routes published in the platform's directory.
type gateway struct {
	*Router
	directory  kernel.DirectoryProtocol
	subscriber *subscriber.Subscriber
	connector  *connector.Connector
	forwarder  *forwarder.Forwarder
}

func newGateway(r *Router, closers *cleanups) (*gateway, error) {
	g := &gateway{Router: r}
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
	g.subscriber = subscriber.New(subscriber.Options{
		Directory: directory, FetchSnapshot: g.fetchState, Readers: g.readers, Watch: r.peers.Watch, WatchWait: settings.WatchWait, PollInterval: settings.PollInterval,
		LapseGrace: settings.LapseGrace, Logger: log,
	})
	r.assemble(parts{catalogue: g.subscriber, vmList: routerList{directory}, vmListInterval: settings.MemberInterval})
	r.holder = r.newHolder(g.subscriber, nil, nil)
	opened := metrics.GetOrRegisterCounter("upstream.connections_opened", r.metrics)
	upstreams, closeConnector := connector.New(connector.Settings{
		MaxIdle: settings.IdlePerUpstream,
		Echo:    func(head *connector.Head) string { return dialect.Mark(head.Status, head.Header).RequestID },
	}, func() { opened.Inc(1) })
	closers.add(closeConnector)
	g.connector = upstreams
	g.forwarder = forwarder.New(forwarder.Options{
		Plans: g.subscriber, Server: r.holder, Dialect: dialect, Connector: upstreams,
		Repeats: limiter.NewRepeats(limiter.RepeatSettings{
			Ratio: settings.RepeatRatio, Slack: settings.RepeatSlack,
			Routers: func() int { return len(r.detector.View().Ranked()) },
		}),
		Leaving: r.leaving.Load, MaxBodyBytes: r.settings.Limits.MaxBodyBytes, Metrics: r.metrics, Logger: log,
	})
	return g, nil
}

func (g *gateway) Handler() http.Handler { return g.forwarder }

func (g *gateway) Parts() []func(ctx context.Context) error {
	return []func(ctx context.Context) error{g.subscriber.Run, g.connector.Run, g.announce, g.spread}
}

func (g *gateway) PeerHandlers() messenger.Handlers {
	return messenger.Handlers{
		Accept: g.runner.Accept,
		Gossip: g.detector.Handle,
		Snapshot: func(context.Context, *protocol.SnapshotRequest) (*protocol.SnapshotResponse, error) {
			data, version, offset := g.subscriber.Snapshot()
			return &protocol.SnapshotResponse{Revision: version, Offset: offset, Catalogue: data}, nil
		},
		Watch: g.subscriber.Serve,
	}
}

// Administrated returns a catalogue that can't be edited: operators publish in the directory.
func (g *gateway) Administrated() administrator.Catalogue { return readOnly{g.subscriber} }

func (g *gateway) Ready() bool { return g.subscriber.Plan() != nil }

// Stop drops this router's record, so that new routers don't try to reach it.
func (g *gateway) Stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := g.directory.Announce(ctx, g.settings.Name, ""); err != nil {
		g.logger.Warn("router's record not dropped", zap.Error(err))
	}
}

// announce records this router's address in the directory, by which routers without a live seed find each other.
func (g *gateway) announce(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(rand.N(announceSpread)):
	}
	for {
		callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
		err := g.directory.Announce(callCtx, g.settings.Name, g.settings.Peers.Advertise)
		cancel()
		if err == nil {
			break
		}
		g.logger.Warn("router's address not recorded", zap.Error(err))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(announceRetry):
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

// spread tells the other routers what this one knows of the directory.
func (g *gateway) spread(ctx context.Context) error {
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	for {
		g.detector.SetCatalogue(g.subscriber.Revision())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// readerRole is the role of the routers that read the directory for their data centre.
const readerRole = "reader/"

// readers returns the routers that read the directory for the data centre and are ranked before this one.
func (g *gateway) readers() subscriber.Readers {
	if g.leaving.Load() {
		return subscriber.Readers{Candidate: true}
	}
	view := g.detector.View()
	names := g.neighbours(view, view.Hosts())
	if len(names) == 0 {
		names = g.neighbours(view, view.Ranked())
	}
	var readers subscriber.Readers
	for _, name := range ranker.Top(readerRole+g.settings.DataCentre, names) {
		if name == g.settings.Name {
			readers.Candidate = true
			break
		}
		member, _ := view.Member(name)
		readers.Addresses = append(readers.Addresses, member.Address)
	}
	return readers
}

// neighbours returns the members of this router's data centre among some.
func (g *gateway) neighbours(view *detector.View, among []string) []string {
	var names []string
	for _, name := range among {
		if member, ok := view.Member(name); ok && member.DataCentre == g.settings.DataCentre {
			names = append(names, name)
		}
	}
	return names
}

// fetchState returns the state of the peer that knows the newest configuration or registrations, nil if none knows more.
func (g *gateway) fetchState(ctx context.Context) ([]byte, error) {
	version, offset := g.subscriber.Revision()
	address := ""
	for _, member := range g.detector.View().Members {
		newer := member.CatalogueRevision > version || member.CatalogueRevision == version && member.CatalogueOffset > offset
		if member.Name != g.settings.Name && newer && reachable(member.State) {
			version, offset, address = member.CatalogueRevision, member.CatalogueOffset, member.Address
		}
	}
	if address == "" {
		return nil, nil
	}
	response, err := g.peers.Snapshot(ctx, address, &protocol.SnapshotRequest{})
	if err != nil {
		return nil, err
	}
	return response.GetCatalogue(), nil
}

// subscriberState is the state dump's section on the directory.
type subscriberState struct {
	Version int64 `json:"version"`
	Offset  int64 `json:"offset"`
	Healthy bool  `json:"directory_healthy"`
	Pools   any   `json:"pools"`
}

func (g *gateway) Sections() []section {
	return []section{{"directory", func() any {
		version, offset := g.subscriber.Revision()
		return subscriberState{
			Version: int64(version), Offset: offset, Healthy: g.subscriber.Healthy(), Pools: g.subscriber.Current().Pools,
		}
	}}}
}

// routerList is the VM list made of the routers' own records in the directory.
type routerList struct {
	directory kernel.DirectoryProtocol
}

// VMs implements kernel.VMListProtocol.
func (l routerList) VMs(ctx context.Context) ([]kernel.VM, error) {
	page, err := l.directory.Newest(ctx, kernel.TopicRouters)
	if err != nil {
		return nil, err
	}
	vms := make([]kernel.VM, 0, len(page.Records))
	for _, record := range page.Records {
		if len(record.Value) > 0 {
			vms = append(vms, kernel.VM{Address: string(record.Value), Role: detector.RoleRouter, State: kernel.VMLive})
		}
	}
	return vms, nil
}

// readOnly is the catalogue of the administration API where operators publish in the directory.
type readOnly struct {
	*subscriber.Subscriber
}

// Apply refuses every edit. Errors: *ReadOnlyError.
func (readOnly) Apply(context.Context, uint64, string, []byte) (revision uint64, offset int64, err error) {
	return 0, 0, &ReadOnlyError{}
}

// History returns nothing: the directory keeps the newest version only.
func (readOnly) History(int) []cataloguer.HistoryEntry { return nil }
