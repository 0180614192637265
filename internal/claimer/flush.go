package claimer

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/kernel"
)

const (
	// batchEntries and batchBytes bound one record of the log.
	batchEntries = 200
	batchBytes   = 256 << 10
	// entryBytes is about the size of an entry without its result.
	entryBytes = 256
	// queueLimit bounds the entries that wait for the log.
	queueLimit = 4096
	// appendTimeout bounds one append; a lost answer is then resolved by reading or by a second append.
	appendTimeout = 10 * time.Second
	// appendsInFlight lets the queue move on while one append hangs.
	appendsInFlight = 4
	// retryInterval is the time before an entry is appended again.
	retryInterval = 200 * time.Millisecond
)

// queued is an entry that waits to be appended. done is closed once it is on the log; it is nil if nobody waits.
type queued struct {
	entry     entry
	done      chan struct{}
	notBefore time.Time
}

// waits tells whether a call of Claim waits for the entry to be read back. All other entries are stores: they
// are appended until it succeeds.
func (q *queued) waits() bool { return q.entry.Kind == entryClaim && !q.entry.Memory }

// enqueue adds an entry and wakes the flusher. The caller holds the lock.
func (c *Claimer) enqueue(q *queued) {
	if q.waits() {
		c.claims = append(c.claims, q)
	} else {
		c.stores = append(c.stores, q)
	}
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// flush appends the queue in batches, at most one in each window.
func (c *Claimer) flush(ctx context.Context) error {
	appends, appendCtx := errgroup.WithContext(ctx)
	appends.SetLimit(appendsInFlight)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		entries, wait := c.take()
		if len(entries) > 0 {
			appends.Go(func() error {
				c.append(appendCtx, entries)
				return nil
			})
			wait = c.windowDuration()
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
			continue
		}
		timer.Reset(wait)
		select {
		case <-c.kick:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	_ = appends.Wait() // the appends report no error
	return ctx.Err()
}

// take removes the entries of the next batch from the queues, without the claims that nobody waits for. If
// there is none, it returns the time until there may be one.
func (c *Claimer) take() ([]*queued, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	wait := time.Minute
	var entries, rest []*queued
	for _, q := range c.claims {
		switch early := q.notBefore.Sub(now); {
		case c.waiters[q.entry.ClaimID] == nil:
		case early > 0:
			wait = min(wait, early)
			rest = append(rest, q)
		case len(entries) == batchEntries:
			rest = append(rest, q)
		default:
			entries = append(entries, q)
		}
	}
	c.claims = rest
	if early := c.storesAfter.Sub(now); early > 0 && len(c.stores) > 0 {
		return entries, min(wait, early)
	}
	size := len(entries) * entryBytes
	for len(c.stores) > 0 && len(entries) < batchEntries && size < batchBytes {
		q := c.stores[0]
		c.stores = c.stores[1:]
		entries = append(entries, q)
		size += entryBytes
		if q.entry.Result != nil {
			size += len(q.entry.Result.Body) * 4 / 3
		}
	}
	return entries, wait
}

func (c *Claimer) append(ctx context.Context, entries []*queued) {
	b := &batch{Router: c.identity.Router, Incarnation: c.identity.Incarnation, UnixMS: c.options.Now().UnixMilli()}
	for _, q := range entries {
		b.Entries = append(b.Entries, q.entry)
	}
	data, err := b.encode()
	if err == nil {
		appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err = c.log.Append(appendCtx, Stream, data)
		cancel()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Appends++
	if err == nil {
		for _, q := range entries {
			if q.done != nil {
				close(q.done)
			}
		}
		return
	}
	c.counts.FailedAppends++
	c.logger.Warn("appending claims failed", zap.Int("entries", len(entries)), zap.Error(err))
	c.appendFailed(entries, err)
}

// appendFailed refuses the claims if the log is down, and queues all else again. Appending an entry twice is
// safe: claim ids make the copies recognisable. The caller holds the lock.
func (c *Claimer) appendFailed(entries []*queued, err error) {
	var unavailable *kernel.LogUnavailableError
	down := errors.As(err, &unavailable)
	if down {
		c.lastDown = time.Now()
	}
	var stores []*queued
	for _, q := range entries {
		w, waiting := c.waiters[q.entry.ClaimID]
		switch {
		case !q.waits():
			stores = append(stores, q)
		case !down:
			q.notBefore = time.Now().Add(retryInterval)
			c.enqueue(q)
		case waiting:
			delete(c.waiters, q.entry.ClaimID)
			w.done <- outcome{err: &UnavailableError{Reason: "the log is down", Cause: err}, down: true}
		}
	}
	if len(stores) > 0 {
		c.stores = append(stores, c.stores...)
		c.storesAfter = time.Now().Add(retryInterval)
	}
}

func (c *Claimer) windowDuration() time.Duration { return time.Duration(c.window.Load()) }
