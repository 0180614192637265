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

// peerInterval is the time between requests for a peer's snapshot.
const peerInterval = 500 * time.Millisecond

// Sources of a change, for the log.
const (
	sourceDirectory = "directory"
	sourcePeer      = "peer"
	sourceClock     = "clock"
)

// Options are the dependencies and the timing of a subscriber.
type Options struct {
	Directory kernel.DirectoryProtocol
	// FetchSnapshot returns the snapshot of a peer that knows more, or nil.
	FetchSnapshot func(ctx context.Context) ([]byte, error)
	// Readers returns the routers that read the directory for this one.
	Readers func() Readers
	// Watch follows a router until its stream breaks or receive returns false.
	Watch func(ctx context.Context, address string, request *protocol.WatchRequest, receive func(*protocol.WatchUpdate) bool) error
	// WatchWait is how long a read for a new publication waits in the directory. A connection that went silent is
	// noticed after it.
	WatchWait time.Duration
	// PollInterval is the time between two reads of the registrations. Heartbeats arrive there all the time, so that a
	// waiting read would end at once.
	PollInterval time.Duration
	// LapseGrace is how long after the directory's return a registration that lapsed meanwhile may come back.
	LapseGrace time.Duration
	Logger     *zap.Logger
}

// Readers are routers that read the directory for others: the first one, or the first of the rest that can read.
type Readers struct {
	// Addresses are those to follow, the preferred one first; empty if this router reads itself.
	Addresses []string
	// Candidate says that this router reads for others if those to follow can't.
	Candidate bool
}

// Subscriber keeps the newest publication and registrations. Its methods may be called concurrently.
type Subscriber struct {
	options Options
	logger  *zap.Logger
	plan    atomic.Pointer[RoutingConfig]
	current atomic.Pointer[cataloguer.Catalogue]
	// planned is closed when there is a plan and the registrations are known, wanted when a request waits for that.
	planned chan struct{}
	wanted  chan struct{}
	want    func()

	began time.Time

	mu          sync.Mutex
	publication kernel.DirectoryRecord
	// listed says that the registrations were read or taken over, complete that there is a plan too.
	listed   bool
	complete bool
	// packed is the publication as followers get it, nil until one needs it.
	packed      []byte
	table       *table
	revision    uint64
	lapseTimer  *time.Timer
	health      [2]health
	subscribers map[int]func(*cataloguer.Catalogue)
	nextID      int
	// changed is closed at the next change, switched when this router begins or ends to follow another one.
	changed  chan struct{}
	switched chan struct{}
	// following is the address of the router that is followed, empty while this one reads itself.
	following string
}

// New returns a subscriber without a plan; Run fills it.
func New(options Options) *Subscriber {
	s := &Subscriber{
		options: options, logger: options.Logger, table: newTable(), subscribers: make(map[int]func(*cataloguer.Catalogue)),
		changed: make(chan struct{}), switched: make(chan struct{}), planned: make(chan struct{}), wanted: make(chan struct{}), began: time.Now(),
	}
	s.want = sync.OnceFunc(func() { close(s.wanted) })
	s.current.Store((&cataloguer.Catalogue{Offset: -1}).Index())
	return s
}

// Run follows the directory, and the peers while it can't be read, until ctx ends.
func (s *Subscriber) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return s.tail(ctx, kernel.TopicPublication, s.options.WatchWait, 0, s.applyPublications)
	})
	group.Go(func() error {
		return s.tail(ctx, kernel.TopicUpstreams, 0, s.options.PollInterval, s.applyUpstreams)
	})
	group.Go(func() error { return s.followPeers(ctx) })
	group.Go(func() error { return s.follow(ctx) })
	return group.Wait()
}

// RoutingConfig returns the newest plan, nil before the first publication is known.
func (s *Subscriber) RoutingConfig() *RoutingConfig { return s.plan.Load() }

// AwaitRoutingConfig returns the newest plan. It waits for the first one, and for the registrations, for a time at most, or until ctx
// ends; nil if there is no plan by then.
func (s *Subscriber) AwaitRoutingConfig(ctx context.Context, wait time.Duration) *RoutingConfig {
	select {
	case <-s.planned:
		return s.plan.Load()
	default:
	}
	s.want()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.planned:
	}
	return s.plan.Load()
}

// notePlanned wakes those that wait for the first plan once the registrations are known too.
func (s *Subscriber) notePlanned() {
	if s.complete || !s.listed || s.plan.Load() == nil {
		return
	}
	s.complete = true
	close(s.planned)
}

// Current returns the newest catalogue; it is never nil.
func (s *Subscriber) Current() *cataloguer.Catalogue { return s.current.Load() }

// Subscribe calls f for later catalogues, which may skip some, until the returned function is called. f must not block.
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

// Departed says whether an upstream is known to be leaving or gone.
func (s *Subscriber) Departed(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.departed(time.Now(), name)
}

// Healthy says whether the last reads of the directory succeeded, by this router or by the one that it follows.
func (s *Subscriber) Healthy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.following != "" || s.reads()
}

func (s *Subscriber) applyPublications(page kernel.DirectoryPage, _ bool) {
	for _, record := range page.Records {
		s.publish(record, sourceDirectory)
	}
}

func (s *Subscriber) applyUpstreams(page kernel.DirectoryPage, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	dropAt := time.Now()
	for _, h := range s.health {
		// An outage of one topic is one of the directory: the others may not have been read meanwhile.
		if back := h.since.Add(s.options.LapseGrace); !h.failing && back.After(dropAt) {
			dropAt = back
		}
	}
	changed := s.applyRecords(page.Records, dropAt)
	if whole {
		changed = s.table.dropMissing(page, dropAt) || changed
		s.listed = true
	}
	if changed || whole && s.plan.Load() != nil {
		s.rebuild(sourceDirectory)
	}
	s.notePlanned()
}

// applyRecords applies registrations and returns whether the usable upstreams may have changed.
func (s *Subscriber) applyRecords(records []kernel.DirectoryRecord, dropAt time.Time) bool {
	changed := false
	for _, record := range records {
		one, err := s.table.apply(record, s.options.Directory.Registration, dropAt)
		changed = changed || one
		if err != nil {
			s.logger.Warn("registration not usable", zap.Error(err))
		}
	}
	return changed
}

// publish makes a publication current if it is newer than the current one.
func (s *Subscriber) publish(record kernel.DirectoryRecord, source string) {
	publication, err := s.options.Directory.Publication(record)
	if err != nil {
		s.logger.Error("publication not usable", zap.Error(err), zap.String("source", source))
		return
	}
	if publication == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if plan := s.plan.Load(); plan != nil && publication.Version <= plan.Version {
		return
	}
	s.publication, s.packed = record, nil
	s.plan.Store(NewRoutingConfig(publication))
	s.notePlanned()
	s.logger.Info("publication in force", zap.Int64("version", publication.Version), zap.Int("routes", len(publication.Routes)),
		zap.Int("workspaces", len(publication.Workspaces)), zap.String("source", source))
	s.rebuild(source)
}

// version is the version of the current publication, 0 before the first.
func (s *Subscriber) version() uint64 {
	plan := s.plan.Load()
	if plan == nil || plan.Version < 0 {
		return 0
	}
	return uint64(plan.Version)
}

// Revision returns the version of the publication and the offset of the last registration that changed.
func (s *Subscriber) Revision() (version uint64, offset int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version(), s.table.changed
}

// rebuild makes a catalogue of the plan and the upstreams and tells the subscribers.
func (s *Subscriber) rebuild(source string) {
	plan := s.plan.Load()
	if plan == nil {
		return
	}
	upstreams, next := s.table.upstreams(time.Now())
	s.revision++
	catalogue := plan.catalogue(s.revision, upstreams)
	s.current.Store(catalogue)
	s.logger.Info("upstreams in force", zap.Int("upstreams", len(upstreams)), zap.Int64("version", plan.Version),
		zap.Int64("offset", s.table.changed), zap.String("source", source))
	if s.lapseTimer != nil {
		s.lapseTimer.Stop()
	}
	if !next.IsZero() {
		s.lapseTimer = time.AfterFunc(time.Until(next), s.lapse)
	}
	for _, notify := range s.subscribers {
		notify(catalogue)
	}
	s.announceChange()
}

// lapse takes out the upstreams whose registration didn't come back.
func (s *Subscriber) lapse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rebuild(sourceClock)
}

// followPeers takes over a peer's snapshot while the directory can't be read.
func (s *Subscriber) followPeers(ctx context.Context) error {
	for {
		sleep(ctx, peerInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if s.Healthy() {
			continue
		}
		data, err := s.options.FetchSnapshot(ctx)
		if err == nil && data != nil {
			err = s.ApplySnapshot(data)
		}
		if err != nil && ctx.Err() == nil {
			s.logger.Warn("peer's snapshot not taken over", zap.Error(err))
		}
	}
}
