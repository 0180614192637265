package cataloguer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goccy/go-yaml"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/follower"
	"coltsfootplank/internal/kernel"
)

// snapshotInterval is the time between two requests for a peer's snapshot while the log is unavailable or records were
// lost.
const snapshotInterval = time.Second

// Options configures a Cataloguer. All fields are optional.
type Options struct {
	// FetchSnapshot returns the snapshot of the peer with the highest offset, as created by Snapshot. It is called
	// while the log can't be read or records were lost. Empty data means that no peer has a snapshot.
	FetchSnapshot func(ctx context.Context) (snapshot []byte, revision uint64, offset int64, err error)
	// Retention is how long the log keeps records; 0 disables RefreshSnapshot.
	Retention time.Duration
	// Now returns the wall clock time; the default is time.Now.
	Now func() time.Time
}

// Cataloguer maintains the current catalogue. It is safe for concurrent use.
type Cataloguer struct {
	log      kernel.LogProtocol
	options  Options
	logger   *zap.Logger
	follower *follower.Follower
	current  atomic.Pointer[Catalogue]

	mu             sync.Mutex
	fold           *fold
	subscribers    map[int]func(*Catalogue)
	nextSubscriber int
	changed        chan struct{}
}

// New returns a cataloguer with the empty revision 0. Run reads the catalogue from the log.
func New(log kernel.LogProtocol, options Options, logger *zap.Logger) *Cataloguer {
	if options.Now == nil {
		options.Now = time.Now
	}
	c := &Cataloguer{log: log, options: options, logger: logger, fold: newFold(), changed: make(chan struct{}),
		subscribers: make(map[int]func(*Catalogue))}
	c.current.Store(c.fold.current)
	c.follower = follower.New(log, Stream, 0, c.apply, c.trimmed, logger)
	return c
}

// Run follows the log until ctx is done and returns the error of ctx.
func (c *Cataloguer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.follower.Run(ctx) })
	if c.options.FetchSnapshot != nil {
		group.Go(func() error { return c.fetchSnapshots(ctx) })
	}
	return group.Wait()
}

// Current returns the newest known revision of the catalogue. It is never nil; revision 0 is empty.
func (c *Cataloguer) Current() *Catalogue { return c.current.Load() }

// Complete reports whether the log has been read to its end once and no lost record is missing from the current
// catalogue. While it returns false, the current catalogue may be outdated and edits are rejected.
func (c *Cataloguer) Complete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.CaughtUp() && c.fold.complete()
}

// Healthy reports whether the last read of the log succeeded.
func (c *Cataloguer) Healthy() bool { return c.follower.Healthy() }

// Lag returns the time since the last successful read of the log.
func (c *Cataloguer) Lag() time.Duration { return c.follower.Lag() }

// Subscribe calls f for every later revision, in ascending order, until the returned function is called; revisions in
// quick succession may be skipped. f must not block and must not call methods of the cataloguer other than Current.
func (c *Cataloguer) Subscribe(f func(*Catalogue)) (unsubscribe func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := c.nextSubscriber
	c.nextSubscriber++
	c.subscribers[id] = f
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.subscribers, id)
	}
}

// Snapshot returns the state of the fold for a peer: the encoded state, its revision and its offset.
func (c *Cataloguer) Snapshot() (data []byte, revision uint64, offset int64) {
	c.mu.Lock()
	s := c.fold.snapshot()
	c.mu.Unlock()
	data, err := yaml.Marshal(s)
	if err != nil {
		c.logger.Error("could not encode the catalogue snapshot", zap.Error(err))
		return nil, 0, -1
	}
	return data, s.Catalogue.Revision, s.FoldedOffset
}

// Adopt replaces the state with a peer's snapshot if the snapshot is newer, and reports whether it did. It never
// returns to an older revision.
func (c *Cataloguer) Adopt(data []byte, revision uint64, offset int64) (bool, error) {
	s, err := decodeSnapshot(data)
	if err != nil {
		return false, err
	}
	if s.Catalogue.Revision != revision || s.FoldedOffset != offset {
		return false, &RecordError{Reason: "snapshot does not match its revision and offset"}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	adopted := c.fold.adopt(s, c.options.Now().UnixMilli())
	c.publish()
	return adopted, nil
}

// History returns up to limit edits that were read from the log, newest first.
func (c *Cataloguer) History(limit int) []HistoryEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var entries []HistoryEntry
	for i := len(c.fold.history) - 1; i >= 0 && len(entries) < limit; i-- {
		entries = append(entries, c.fold.history[i])
	}
	return entries
}

func (c *Cataloguer) apply(record kernel.LogRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fold.apply(record, c.options.Now().UnixMilli())
	c.publish()
}

func (c *Cataloguer) trimmed(first int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fold.trimmed(first)
}

// publish makes the fold's catalogue the current one, notifies the subscribers and wakes calls of Apply that wait for
// their records. The caller must hold mu.
func (c *Cataloguer) publish() {
	close(c.changed)
	c.changed = make(chan struct{})
	if c.fold.current.Revision <= c.Current().Revision {
		return
	}
	c.current.Store(c.fold.current)
	c.logger.Info("catalogue changed", zap.Uint64("revision", c.fold.current.Revision), zap.Int64("offset", c.fold.current.Offset))
	for _, subscriber := range c.subscribers {
		subscriber(c.fold.current)
	}
}

func (c *Cataloguer) fetchSnapshots(ctx context.Context) error {
	ticker := time.NewTicker(snapshotInterval)
	defer ticker.Stop()
	for {
		if !c.Complete() || !c.Healthy() {
			c.fetchSnapshot(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (c *Cataloguer) fetchSnapshot(ctx context.Context) {
	data, revision, offset, err := c.options.FetchSnapshot(ctx)
	if err != nil || len(data) == 0 {
		c.logger.Debug("no peer returned a catalogue snapshot", zap.Error(err))
		return
	}
	adopted, err := c.Adopt(data, revision, offset)
	if err != nil {
		c.logger.Warn("rejected an invalid catalogue snapshot of a peer", zap.Error(err))
		return
	}
	if adopted {
		c.logger.Info("adopted a peer's catalogue snapshot", zap.Uint64("revision", revision), zap.Int64("offset", offset))
	}
}
