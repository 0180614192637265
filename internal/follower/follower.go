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
	// shortPage is the size below which a page counts as the last one. The log may cap pages below pageLimit.
	shortPage = 50
	// pollWait bounds one long poll, so that a silent connection loss is noticed within pollWait + pollGrace.
	pollWait = 2 * time.Second
	// pollGrace is how much longer than its wait a read may take before it counts as failed.
	pollGrace = 8 * time.Second
	// Backoff between failed reads. The upper bound keeps the recovery after an outage within seconds.
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

// New tails one stream from offset from on. apply is called in offset order from the goroutine of Run;
// trimmed is called from it when retention dropped records that were not read, with the first offset kept.
func New(log kernel.LogProtocol, stream string, from int64, apply func(kernel.LogRecord), trimmed func(first int64), logger *zap.Logger) *Follower {
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

// Run reads until ctx ends and returns its error. In an outage it retries with backoff.
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
	// The first reads don't wait: a short page shows that the end was reached. Nor does the first one after an
	// outage, so that an idle stream counts as healthy at once.
	wait := time.Duration(0)
	if f.caughtUp.Load() && f.healthy.Load() {
		wait = pollWait
	}
	next := f.Next()
	readCtx, cancel := context.WithTimeout(ctx, wait+pollGrace)
	defer cancel()
	page, err := f.log.Read(readCtx, f.stream, next, pageLimit, wait)
	var gone *kernel.TrimmedError
	if errors.As(err, &gone) && gone.First > next {
		f.skipTo(gone.First)
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
		f.logger.Info("reading the log", zap.Int64("next", f.Next()))
	}
	f.notify()
}

func (f *Follower) skipTo(first int64) {
	f.logger.Warn("retention dropped records that were not read", zap.Int64("next", f.Next()), zap.Int64("first", first))
	f.trimmed(first)
	f.next.Store(first)
	f.notify()
}

func (f *Follower) notify() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower) wait() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Next returns the offset that is read next. All records before it were applied or dropped by retention.
func (f *Follower) Next() int64 { return f.next.Load() }

// Healthy tells whether the last read succeeded.
func (f *Follower) Healthy() bool { return f.healthy.Load() }

// CaughtUp tells whether the end of the stream was reached since the start. It stays true in an outage.
func (f *Follower) CaughtUp() bool { return f.caughtUp.Load() }

// Lag returns the time since the last successful read, which bounds the age of the fold. A read that waits
// for new records counts once it returns, so the lag of a healthy follower stays below about 10 s.
func (f *Follower) Lag() time.Duration { return time.Since(*f.lastRead.Load()) }

// WaitFor waits until the record at offset was applied or dropped by retention. It returns ctx's error.
func (f *Follower) WaitFor(ctx context.Context, offset int64) error {
	return f.waitUntil(ctx, func() bool { return f.Next() > offset })
}

// WaitCaughtUp waits until the end of the stream was reached since the start. It returns ctx's error.
func (f *Follower) WaitCaughtUp(ctx context.Context) error {
	return f.waitUntil(ctx, f.CaughtUp)
}

func (f *Follower) waitUntil(ctx context.Context, done func() bool) error {
	for {
		changed := f.wait()
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
