package archiver

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

const (
	// checkInterval is the time between checks for something to store, and retryPause the pause after a failed call.
	checkInterval = 500 * time.Millisecond
	retryPause    = time.Second
	// callTimeout bounds one call of the directory.
	callTimeout = 2 * time.Second
	// readerDelay is the time in which the router that found something stores it before a router that reads the directory
	// looks whether it did. Up to as much is added, so that not all of them look at once.
	readerDelay = time.Second
)

// Directory is the part of kernel.DirectoryProtocol that an archiver uses.
type Directory interface {
	Newest(ctx context.Context, topic kernel.Topic) (kernel.DirectoryPage, error)
	Write(ctx context.Context, records []kernel.DirectoryRecord) (era int64, err error)
	Era() int64
}

// Options are the dependencies of an archiver.
type Options struct {
	Directory Directory
	// Known returns the convictions that the routers know, sorted by fingerprint.
	Known func() []*protocol.Conviction
	// Add adds convictions to those that the routers know.
	Add func(convictions []*protocol.Conviction)
	// Reading reports whether this router reads the directory itself. Routers that do notice at once that it was restored
	// from a copy.
	Reading func() bool
	// Retention is the longest time for which a conviction holds.
	Retention time.Duration
	Logger    *zap.Logger
}

// Archiver stores convictions in the directory and restores them. It is safe for concurrent use.
type Archiver struct {
	options Options
	wake    chan struct{}

	mu sync.Mutex
	// stored is what the directory holds in an era, as far as this router knows. It is void unless listed is set.
	stored map[uint64]*protocol.Conviction
	listed bool
	era    int64
	// found holds the fingerprints that this router was the first to know something of.
	found map[uint64]bool
	// checkAt is when this router looks whether others have stored what they found; zero if it knows nothing to look for.
	checkAt time.Time
}

// New returns an archiver that doesn't know yet what the directory holds.
func New(options Options) *Archiver {
	return &Archiver{
		options: options, wake: make(chan struct{}, 1), stored: make(map[uint64]*protocol.Conviction), found: make(map[uint64]bool),
	}
}

// Add adds what this router has found out to what the routers know, and has it stored if it is new.
func (a *Archiver) Add(convictions []*protocol.Conviction) {
	known, now := a.options.Known(), time.Now()
	news := slices.DeleteFunc(slices.Clone(convictions), func(c *protocol.Conviction) bool {
		return !worthStoring(now, c) || covers(find(known, c.GetFingerprint()), c)
	})
	a.options.Add(convictions)
	if len(news) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range news {
		a.found[c.GetFingerprint()] = true
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// find returns the conviction of a fingerprint from a sorted list, or nil if there is none.
func find(sorted []*protocol.Conviction, fingerprint uint64) *protocol.Conviction {
	i, found := slices.BinarySearchFunc(sorted, fingerprint, func(c *protocol.Conviction, fingerprint uint64) int {
		return cmp.Compare(c.GetFingerprint(), fingerprint)
	})
	if !found {
		return nil
	}
	return sorted[i]
}

// Observe takes over the convictions among the newest records of the routers, as read from the directory.
func (a *Archiver) Observe(page kernel.DirectoryPage) {
	now := time.Now()
	stored := make(map[uint64]*protocol.Conviction)
	var valid []*protocol.Conviction
	for _, r := range page.Records {
		c, err := decode(r, now, a.options.Retention)
		if err != nil {
			a.options.Logger.Warn("ignoring a malformed conviction", zap.Error(err))
		}
		if c == nil {
			continue
		}
		stored[c.GetFingerprint()] = c
		if c.GetExpiresUnixMs() > now.UnixMilli() {
			valid = append(valid, c)
		}
	}
	known := a.options.Known()
	restored := slices.DeleteFunc(valid, func(c *protocol.Conviction) bool { return covers(find(known, c.GetFingerprint()), c) })
	if len(restored) > 0 {
		a.options.Logger.Info("convictions restored from the directory", zap.Int("convictions", len(restored)))
		a.options.Add(restored)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	// The directory may have been restored since it answered, and another list may have shown that.
	if era := page.Next.Era(); era >= a.era {
		a.stored, a.listed, a.era = stored, true, era
	}
}

// Run stores what the routers find out until ctx ends.
func (a *Archiver) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := a.store(ctx); err != nil && ctx.Err() == nil {
			a.options.Logger.Warn("convictions not stored", zap.Error(err))
			sleep(ctx, nil, retryPause)
			continue
		}
		sleep(ctx, a.wake, checkInterval)
	}
	return ctx.Err()
}

// sleep waits for pause, until wake or until ctx ends.
func sleep(ctx context.Context, wake <-chan struct{}, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

// store stores what isn't stored yet if it is this router's turn. What another router has found is looked up first.
func (a *Archiver) store(ctx context.Context) error {
	turn, list := a.turn(time.Now())
	if !turn {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if list {
		page, err := a.options.Directory.Newest(ctx, kernel.TopicRouters)
		if err != nil {
			return err
		}
		a.Observe(page)
	}
	a.mu.Lock()
	put, drop := a.pending(time.Now())
	a.mu.Unlock()
	if len(put) == 0 {
		return nil
	}
	records := make([]kernel.DirectoryRecord, 0, len(put)+len(drop))
	for _, c := range put {
		r, err := encode(c)
		if err != nil {
			return err
		}
		records = append(records, r)
	}
	for _, fingerprint := range drop {
		records = append(records, kernel.DirectoryRecord{Key: key(fingerprint)})
	}
	era, err := a.options.Directory.Write(ctx, records)
	if err != nil {
		return err
	}
	a.options.Logger.Info("convictions stored", zap.Int("stored", len(put)), zap.Int("deleted", len(drop)))
	a.recordStored(put, drop, era)
	return nil
}

// turn reports whether this router stores something now, and whether it has to list what is stored before.
func (a *Archiver) turn(now time.Time) (turn, list bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	put, _ := a.pending(now)
	if len(put) == 0 {
		a.checkAt = time.Time{}
		clear(a.found)
		return false, false
	}
	if slices.ContainsFunc(put, func(c *protocol.Conviction) bool { return a.found[c.GetFingerprint()] }) {
		return true, !a.listed
	}
	if !a.options.Reading() {
		return false, false
	}
	if a.checkAt.IsZero() {
		a.checkAt = now.Add(readerDelay + rand.N(readerDelay))
	}
	return !now.Before(a.checkAt), true
}

// pending returns what is to be stored and deleted, as far as this router knows what is stored. After a restoration of the
// directory it knows nothing of it. The lock must be held.
func (a *Archiver) pending(now time.Time) (put []*protocol.Conviction, drop []uint64) {
	if era := a.options.Directory.Era(); era != a.era {
		a.stored, a.listed, a.era = make(map[uint64]*protocol.Conviction), false, era
	}
	return plan(now, a.options.Known(), a.stored)
}

// recordStored records what was stored and deleted in an era. In another era than that of the list it isn't known what else the
// directory holds, and what was stored in one that has ended may be lost.
func (a *Archiver) recordStored(put []*protocol.Conviction, drop []uint64, era int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if era != a.era {
		return
	}
	for _, c := range put {
		a.stored[c.GetFingerprint()] = c
		delete(a.found, c.GetFingerprint())
	}
	for _, fingerprint := range drop {
		delete(a.stored, fingerprint)
	}
	a.checkAt = time.Time{}
}

// Dump is the state of an archiver for the state dump.
type Dump struct {
	// Stored is the number of convictions that the directory holds, as far as the router knows.
	Stored int   `json:"stored"`
	Listed bool  `json:"listed"`
	Era    int64 `json:"directory_era"`
}

// Dump returns the state for the state dump.
func (a *Archiver) Dump() Dump {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Dump{Stored: len(a.stored), Listed: a.listed, Era: a.era}
}
