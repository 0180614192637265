package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/kernel"
)

const (
	pageLimit = 500
	// shortPage is the number of records below which a page counts as the last one of the stream. It is below pageLimit
	// because the log may return smaller pages than requested.
	shortPage = 50
	// pollWait is how long a read waits for new records. A connection that is lost silently is noticed within pollWait +
	// pollGrace.
	pollWait = 2 * time.Second
	// pollGrace is how long a read may take in addition to its wait before it fails.
	pollGrace = 8 * time.Second
	// backoffMin and backoffMax bound the pause between failed reads. The maximum keeps the recovery after an outage
	// within seconds.
	backoffMin = 50 * time.Millisecond
	backoffMax = 2 * time.Second
)

// Follower reads one stream in offset order. Its methods may be called concurrently.
type Follower struct {
	log     kernel.LogProtocol
	stream  string
	apply   func(kernel.LogRecord)
	trimmed func(first int64)
	logger  *zap.Logger

	next     atomic.Int64
	healthy  atomic.Bool
	caughtUp atomic.Bool
	lastRead atomic.Pointer[time.Time]

	mu      sync.Mutex
	changed chan struct{}
}

// New returns a follower of a stream that starts at offset from. Run calls apply for each record in offset order, and
// trimmed with the first kept offset when retention has dropped records that were not read.
func New(log kernel.LogProtocol, stream string, from int64, apply func(kernel.LogRecord), trimmed func(first int64),
	logger *zap.Logger,
) *Follower {
	f := &Follower{
		log:     log,
		stream:  stream,
		apply:   apply,
		trimmed: trimmed,
		logger:  logger.With(zap.String("stream", stream)),
		changed: make(chan struct{}),
	}
	f.next.Store(from)
	now := time.Now()
	f.lastRead.Store(&now)
	return f
}

// Run reads the stream until ctx ends and returns the error of ctx. It retries failed reads with backoff.
func (f *Follower) Run(ctx context.Context) error {
	backoff := backoffMin
	for ctx.Err() == nil {
		err := f.readPage(ctx)
		if err == nil {
			backoff = backoffMin
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if f.healthy.Swap(false) {
			f.logger.Warn("reading the log failed", zap.Int64("next", f.Next()), zap.Error(err))
		}
		pause := time.NewTimer(backoff/2 + rand.N(backoff/2))
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
		}
		backoff = min(2*backoff, backoffMax)
	}
	f.healthy.Store(false)
	return ctx.Err()
}

func (f *Follower) readPage(ctx context.Context) error {
	// Reads before the end of the stream was reached don't wait, because a short page already shows the end. The first
	// read after an outage doesn't wait either, so that an idle stream counts as healthy at once.
	wait := time.Duration(0)
	if f.caughtUp.Load() && f.healthy.Load() {
		wait = pollWait
	}
	next := f.Next()
	readCtx, cancel := context.WithTimeout(ctx, wait+pollGrace)
	defer cancel()
	page, err := f.log.Read(readCtx, f.stream, next, pageLimit, wait)
	var trimmed *kernel.TrimmedError
	if errors.As(err, &trimmed) && trimmed.First > next {
		f.skipTo(trimmed.First)
		return nil
	}
	if err != nil {
		return err
	}
	if page.First > next {
		f.skipTo(page.First)
	}
	f.applyPage(page)
	return nil
}

func (f *Follower) applyPage(page kernel.LogPage) {
	for _, record := range page.Records {
		if record.Offset < f.Next() {
			continue
		}
		f.apply(record)
		f.next.Store(record.Offset + 1)
	}
	if page.Next > f.Next() {
		f.next.Store(page.Next)
	}
	if len(page.Records) < shortPage {
		f.caughtUp.Store(true)
	}
	now := time.Now()
	f.lastRead.Store(&now)
	if !f.healthy.Swap(true) {
		f.logger.Info("reading the log succeeded", zap.Int64("next", f.Next()))
	}
	f.notify()
}

// skipTo continues at the first offset that retention has kept.
func (f *Follower) skipTo(first int64) {
	f.logger.Warn("retention dropped records that were not read", zap.Int64("next", f.Next()), zap.Int64("first", first))
	f.trimmed(first)
	f.next.Store(first)
	f.notify()
}

// notify wakes the goroutines that wait for a change.
func (f *Follower) notify() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// changes returns a channel that is closed at the next change.
func (f *Follower) changes() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Next returns the next offset to read. All records before it were applied or dropped by retention.
func (f *Follower) Next() int64 { return f.next.Load() }

// Healthy reports whether the last read succeeded.
func (f *Follower) Healthy() bool { return f.healthy.Load() }

// CaughtUp reports whether the end of the stream was reached since the start. It stays true during an outage.
func (f *Follower) CaughtUp() bool { return f.caughtUp.Load() }

// Lag returns the time since the last successful read, which bounds how old the applied state is. A read that waits for
// new records counts when it returns, so the lag of a healthy follower stays below about 10 s.
func (f *Follower) Lag() time.Duration { return time.Since(*f.lastRead.Load()) }

// WaitFor waits until the record at offset was applied or dropped by retention. If ctx ends first, it returns the error
// of ctx.
func (f *Follower) WaitFor(ctx context.Context, offset int64) error {
	return f.waitUntil(ctx, func() bool { return f.Next() > offset })
}

// WaitCaughtUp waits until the end of the stream was reached since the start. If ctx ends first, it returns the error
// of ctx.
func (f *Follower) WaitCaughtUp(ctx context.Context) error {
	return f.waitUntil(ctx, f.CaughtUp)
}

func (f *Follower) waitUntil(ctx context.Context, done func() bool) error {
	for {
		changed := f.changes()
		if done() {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
