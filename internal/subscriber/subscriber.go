package subscriber

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

// Sources of a change, as logged.
const (
	sourceDirectory = "directory"
	sourcePeer      = "peer"
	sourceUpstream  = "upstream"
	sourceClock     = "clock"
)

// Options are the dependencies and the timing of a subscriber.
type Options struct {
	Directory kernel.DirectoryProtocol
	// FetchSnapshot returns the snapshot of a peer that has what is wanted, or nil if there is none.
	FetchSnapshot func(ctx context.Context, wanted Wanted) ([]byte, error)
	// PeerVersion returns the highest version of the publication that a peer has, 0 if there is none.
	PeerVersion func() uint64
	// Readers returns the routers that may read the directory for this one.
	Readers func() Readers
	// Watch passes the updates of another router to receive until the stream breaks or receive returns false.
	Watch func(ctx context.Context, address string, request *protocol.WatchRequest,
		receive func(*protocol.WatchUpdate) bool,
	) error
	// WatchWait is how long a read of publications waits in the directory for a new one. A dead connection is noticed
	// after that time.
	WatchWait time.Duration
	// PollInterval is the time between two reads of the registrations. These reads don't wait in the directory, because
	// the frequent heartbeats of upstreams would end the wait at once.
	PollInterval time.Duration
	// LapseGrace is how long after its last failed read of the directory this router uses upstreams whose registration is
	// dropped. It may have lapsed in an outage of the directory, and its upstream registers again soon after the outage.
	LapseGrace time.Duration
	// Heartbeat is the interval at which upstreams renew their registrations. The directory drops a registration after
	// lapseHeartbeats of them.
	Heartbeat time.Duration
	// Prober asks upstreams whose record is held back; nil if they can't be asked.
	Prober kernel.UpstreamProber
	// Rollouts decodes orders of rollouts; nil if they are ignored.
	Rollouts kernel.RolloutProtocol
	// ApplyOrder is called with each newer order. seen reports whether the configuration was known before, so that the order
	// is new. It must not block or call the subscriber.
	ApplyOrder func(order kernel.RolloutOrder, seen bool)
	Logger     *zap.Logger
}

// Readers are the routers that may read the directory for others. The first of them that can read it does.
type Readers struct {
	// Addresses are the routers to follow, in order of preference; empty if this router reads the directory itself.
	Addresses []string
	// Candidate reports whether this router reads the directory for others if none of Addresses can.
	Candidate bool
}

// Subscriber maintains the newest publication and registrations. Its methods may be called concurrently.
type Subscriber struct {
	options Options
	logger  *zap.Logger
	config  atomic.Pointer[RoutingConfig]
	current atomic.Pointer[cataloguer.Catalogue]
	// confirmedAfter is the time from started to Confirmed in ns, 0 if that isn't known.
	confirmedAfter atomic.Int64
	// ready is closed once the configuration and the registrations are known.
	ready chan struct{}
	// awaited is closed by markAwaited when a request waits for ready.
	awaited     chan struct{}
	markAwaited func()

	started time.Time

	mu          sync.Mutex
	publication kernel.DirectoryRecord
	// registrationsKnown reports whether the registrations were read or received from a peer.
	registrationsKnown bool
	// isReady reports whether ready is closed.
	isReady bool
	// compressed is the compressed publication for followers, nil until one needs it.
	compressed []byte
	table      *table
	// consulted is the newest era in which a peer, or the router that this one follows, has told which upstreams it knows to be
	// leaving or gone.
	consulted int64
	// orders holds the newest record of each order's key.
	orders map[string]kernel.DirectoryRecord
	// listings counts the listings of the directory that this router has read itself.
	listings int
	// ordersNext is the position up to which every order is known.
	ordersNext kernel.Position
	revision   uint64
	lapseTimer *time.Timer
	health     [2]health
	// era is the newest era of the directory that this router has heard of, noEra before that, and heardAt when it last heard
	// of it.
	era     int64
	heardAt time.Time
	// restoredAfter is a time before which the directory was not yet restored to that era; zero if it wasn't restored.
	restoredAfter time.Time
	subscribers   map[int]func(*cataloguer.Catalogue)
	nextID        int
	// changed is closed and replaced when the catalogue changes or the directory is lost.
	changed chan struct{}
	// followingChanged is closed and replaced when following changes.
	followingChanged chan struct{}
	// following is the address of the router that this one follows, empty while it reads the directory itself.
	following string
}

// New returns a subscriber without a configuration. Run reads it.
func New(options Options) *Subscriber {
	s := &Subscriber{
		options: options, logger: options.Logger, table: newTable(), orders: make(map[string]kernel.DirectoryRecord), subscribers: make(map[int]func(*cataloguer.Catalogue)),
		changed: make(chan struct{}), followingChanged: make(chan struct{}),
		ready: make(chan struct{}), awaited: make(chan struct{}), started: time.Now(), era: noEra, consulted: noEra,
	}
	s.markAwaited = sync.OnceFunc(func() { close(s.awaited) })
	s.current.Store((&cataloguer.Catalogue{Offset: -1}).Index())
	return s
}

// Run follows the directory until ctx ends, through other routers where possible.
func (s *Subscriber) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return s.tail(ctx, kernel.TopicPublication, s.options.WatchWait, 0, s.applyPublications)
	})
	group.Go(func() error {
		return s.tail(ctx, kernel.TopicUpstreams, 0, s.options.PollInterval, s.applyUpstreams)
	})
	group.Go(func() error { return s.pollPeers(ctx) })
	group.Go(func() error { return s.follow(ctx) })
	if s.options.Prober != nil {
		group.Go(func() error { return s.probeHeld(ctx) })
	}
	return group.Wait()
}

// RoutingConfig returns the newest configuration, nil before the first publication is known.
func (s *Subscriber) RoutingConfig() *RoutingConfig { return s.config.Load() }

// AwaitRoutingConfig returns the newest configuration. It waits until the first configuration and the registrations are
// known, wait has passed or ctx ends, and returns nil if there is no configuration by then.
func (s *Subscriber) AwaitRoutingConfig(ctx context.Context, wait time.Duration) *RoutingConfig {
	select {
	case <-s.ready:
		return s.config.Load()
	default:
	}
	s.markAwaited()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.ready:
	}
	return s.config.Load()
}

// updateReady closes ready once the configuration and the registrations are known. The requests that wait for it need the
// catalogue, which must have been rebuilt.
func (s *Subscriber) updateReady() {
	if s.isReady || !s.registrationsKnown || s.config.Load() == nil {
		return
	}
	s.isReady = true
	close(s.ready)
}

// Current returns the newest catalogue; it is never nil.
func (s *Subscriber) Current() *cataloguer.Catalogue { return s.current.Load() }

// Subscribe calls f with each newer catalogue until the returned function is called. Some catalogues may be skipped. f
// must not block.
func (s *Subscriber) Subscribe(f func(*cataloguer.Catalogue)) (unsubscribe func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.nextID
	s.nextID++
	s.subscribers[id] = f
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers, id)
	}
}

// DirectoryFailing reports whether the last read of the publications failed.
func (s *Subscriber) DirectoryFailing() bool { return s.failing(kernel.TopicPublication) }

// Reading reports whether this router reads the directory itself, and its last reads succeeded.
func (s *Subscriber) Reading() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reading()
}

// reading is Reading with the lock held.
func (s *Subscriber) reading() bool { return s.following == "" && s.ownReadsHealthy() }

// Healthy reports whether the last reads of the directory succeeded, by this router or by the one that it follows.
func (s *Subscriber) Healthy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.following != "" || s.ownReadsHealthy()
}

func (s *Subscriber) applyPublications(page kernel.DirectoryPage, whole bool) {
	s.mu.Lock()
	s.enterEra(page.Next.Era())
	s.mu.Unlock()
	s.applyOrders(page.Records)
	if whole {
		s.applyOrders(s.missingOrders(page.Records, page.Next))
	}
	s.mu.Lock()
	s.ordersNext = max(s.ordersNext, page.Next)
	if whole {
		s.listings++
	}
	s.mu.Unlock()
	for _, record := range page.Records {
		s.publish(record, sourceDirectory)
	}
}

// publish applies a publication if it is newer than the current one.
func (s *Subscriber) publish(record kernel.DirectoryRecord, source string) {
	publication, err := s.options.Directory.Publication(record)
	if err != nil {
		s.logger.Error("ignoring a malformed publication", zap.Error(err), zap.String("source", source))
		return
	}
	if publication == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if config := s.config.Load(); config != nil && publication.Version <= config.Version {
		s.logNotNewer(config, publication, record, source)
		return
	}
	s.publication, s.compressed = record, nil
	config := NewRoutingConfig(publication)
	config.Provenance = Provenance{Position: record.Position, Source: source, Reader: s.following, Since: time.Now()}
	s.config.Store(config)
	s.logger.Info("publication in force", zap.Int64("version", publication.Version), zap.Int("routes", len(publication.Routes)),
		zap.Int("workspaces", len(publication.Workspaces)), zap.Stringer("position", record.Position), zap.String("source", source),
		zap.String("reader", config.Reader))
	s.rebuild(source)
	s.updateReady()
}

// version returns the version of the current publication, 0 before the first one.
func (s *Subscriber) version() uint64 {
	config := s.config.Load()
	if config == nil || config.Version < 0 {
		return 0
	}
	return uint64(config.Version)
}

// Version returns the version of the publication and the position of the last registration that changed.
func (s *Subscriber) Version() (version uint64, position kernel.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version(), s.table.changed
}

// rebuild builds a catalogue from the configuration and the usable upstreams and notifies the subscribers and
// followers.
func (s *Subscriber) rebuild(source string) {
	config := s.config.Load()
	if config == nil {
		return
	}
	now := time.Now()
	for _, record := range s.table.release(now) {
		s.logger.Info("registration no longer held back", zap.String("upstream", record.Key), zap.Stringer("position", record.Position))
	}
	upstreams, next := s.table.upstreams(now)
	s.revision++
	catalogue := config.catalogue(s.revision, upstreams)
	s.current.Store(catalogue)
	s.logger.Info("upstreams in force", zap.Int("upstreams", len(upstreams)), zap.Int64("version", config.Version),
		zap.Stringer("position", s.table.changed), zap.String("source", source))
	if s.lapseTimer != nil {
		s.lapseTimer.Stop()
	}
	if !next.IsZero() {
		s.lapseTimer = time.AfterFunc(time.Until(next), s.rebuildAfterLapse)
	}
	for _, notify := range s.subscribers {
		notify(catalogue)
	}
	s.notifyFollowers()
}

// rebuildAfterLapse removes the upstreams whose registration lapsed and wasn't renewed in time, and adds those whose record is no
// longer held back.
func (s *Subscriber) rebuildAfterLapse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rebuild(sourceClock)
}
