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
	// maxBatchEntries and maxBatchBytes limit the size of one log record.
	maxBatchEntries = 200
	maxBatchBytes   = 256 << 10
	// entryBytes is the approximate size of an entry without its result.
	entryBytes = 256
	// queueLimit is the queue length at which further results are rejected.
	queueLimit = 4096
	// appendTimeout limits one append. If the acknowledgement is lost, reading the log or a second append shows
	// whether the append took effect.
	appendTimeout = 10 * time.Second
	// appendsInFlight is above 1 so that one blocked append doesn't stop the queue.
	appendsInFlight = 4
	// retryInterval is the delay before an entry is appended again.
	retryInterval = 200 * time.Millisecond
)

// queuedEntry is an entry that waits to be appended. done is closed once the entry is on the log; it is nil if no
// caller waits for the append.
type queuedEntry struct {
	entry     entry
	done      chan struct{}
	notBefore time.Time
}

// awaitsReadBack reports whether the entry belongs to a call of Claim that waits until it has been read back. All other
// entries are mandatory: their append is retried until it succeeds.
func (q *queuedEntry) awaitsReadBack() bool { return q.entry.Kind == entryClaim && !q.entry.InMemory }

// enqueue adds an entry and wakes flush. The caller must hold mu.
func (c *Claimer) enqueue(q *queuedEntry) {
	if q.awaitsReadBack() {
		c.claims = append(c.claims, q)
	} else {
		c.mandatoryEntries = append(c.mandatoryEntries, q)
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// flush appends the queued entries in batches, at most one per batch window.
func (c *Claimer) flush(ctx context.Context) error {
	appends, appendCtx := errgroup.WithContext(ctx)
	appends.SetLimit(appendsInFlight)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		entries, wait := c.nextBatch()
		if len(entries) > 0 {
			appends.Go(func() error {
				c.append(appendCtx, entries)
				return nil
			})
			wait = c.currentBatchWindow()
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
			continue
		}
		timer.Reset(wait)
		select {
		case <-c.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	_ = appends.Wait() // Claimer.append handles its own errors
	return ctx.Err()
}

// nextBatch removes the entries of the next batch from the queues and drops claims that no call of Claim waits for any
// more. If no entry is due, the returned duration is the time until the next attempt.
func (c *Claimer) nextBatch() ([]*queuedEntry, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	wait := time.Minute
	var entries, rest []*queuedEntry
	for _, q := range c.claims {
		switch delay := q.notBefore.Sub(now); {
		case c.waiters[q.entry.ClaimID] == nil:
		case delay > 0:
			wait = min(wait, delay)
			rest = append(rest, q)
		case len(entries) == maxBatchEntries:
			rest = append(rest, q)
		default:
			entries = append(entries, q)
		}
	}
	c.claims = rest
	if delay := c.mandatoryNotBefore.Sub(now); delay > 0 && len(c.mandatoryEntries) > 0 {
		return entries, min(wait, delay)
	}
	size := len(entries) * entryBytes
	for len(c.mandatoryEntries) > 0 && len(entries) < maxBatchEntries && size < maxBatchBytes {
		q := c.mandatoryEntries[0]
		c.mandatoryEntries = c.mandatoryEntries[1:]
		entries = append(entries, q)
		size += entryBytes
		if q.entry.Result != nil {
			size += len(q.entry.Result.Body) * 4 / 3
		}
	}
	return entries, wait
}

func (c *Claimer) append(ctx context.Context, entries []*queuedEntry) {
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
	c.logger.Warn("could not append claim entries", zap.Int("entries", len(entries)), zap.Error(err))
	c.appendFailed(entries, err)
}

// appendFailed rejects the claims if the log is unavailable, and queues all other entries again. Appending an entry
// twice is safe because the claim id identifies the copies. The caller must hold mu.
func (c *Claimer) appendFailed(entries []*queuedEntry, err error) {
	var unavailable *kernel.LogUnavailableError
	down := errors.As(err, &unavailable)
	if down {
		c.lastDown = time.Now()
	}
	var mandatory []*queuedEntry
	for _, q := range entries {
		w, waiting := c.waiters[q.entry.ClaimID]
		switch {
		case !q.awaitsReadBack():
			mandatory = append(mandatory, q)
		case !down:
			q.notBefore = time.Now().Add(retryInterval)
			c.enqueue(q)
		case waiting:
			delete(c.waiters, q.entry.ClaimID)
			w.done <- outcome{err: &UnavailableError{Reason: "the log is down", Cause: err}, logDown: true}
		}
	}
	if len(mandatory) > 0 {
		c.mandatoryEntries = append(mandatory, c.mandatoryEntries...)
		c.mandatoryNotBefore = time.Now().Add(retryInterval)
	}
}

func (c *Claimer) currentBatchWindow() time.Duration { return time.Duration(c.batchWindow.Load()) }
