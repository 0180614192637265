package claimer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/kernel"
)

const (
	pruneInterval       = time.Minute
	maintenanceInterval = time.Second
	// markersPerRetention sets the rate of markers on an idle stream. A router that starts after retention has removed
	// records treats no key as unclaimed until the first record that it reads is older than the retention. Markers
	// limit this to 2% of the retention.
	markersPerRetention = 100
)

// apply applies one record to the fold and completes the calls of Claim that wait for it.
func (c *Claimer) apply(record kernel.LogRecord) {
	b, err := decodeBatch(record)
	if err != nil {
		c.logger.Warn("skipping a claim record that could not be decoded", zap.Error(err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRecord = time.Now()
	c.gap.firstKept(time.UnixMilli(b.UnixMS), c.options.ClockSkew)
	for i := range b.Entries {
		e := &b.Entries[i]
		switch e.Kind {
		case entryClaim:
			c.applyClaim(e, b)
		case entryVoid:
			c.fold.void(e, b)
		case entryResult:
			c.fold.result(e)
		}
	}
}

func (c *Claimer) applyClaim(e *entry, b *batch) {
	result := c.fold.claim(e, b)
	w, waiting := c.waiters[e.ClaimID]
	delete(c.waiters, e.ClaimID)
	if _, held := c.inMemory[e.ClaimID]; held && e.InMemory {
		defer delete(c.inMemory, e.ClaimID)
		if result == claimLost {
			c.counts.LostInMemory++
			c.logger.Warn("a claim that won in memory lost on the log", zap.String("claim_id", e.ClaimID))
		}
	}
	switch result {
	case claimWon:
		c.applyWinner(e, b, w, waiting)
	case claimLost:
		if !waiting {
			return
		}
		state, held := c.fold.holdingClaim(e.ScopeHash)
		if !held {
			w.done <- outcome{err: &UnavailableError{Reason: "the claim was voided"}}
			return
		}
		verdict, err := state.verdict(w.scope)
		w.done <- outcome{verdict: verdict, err: err}
	case claimCopied:
	}
}

func (c *Claimer) applyWinner(e *entry, b *batch, w *waiter, waiting bool) {
	if b.Router != c.identity.Router || b.Incarnation != c.identity.Incarnation {
		return
	}
	if _, held := c.inMemory[e.ClaimID]; held || e.InMemory {
		return
	}
	if !waiting {
		// The call of Claim has returned without this outcome, so its request won't be dispatched.
		c.counts.VoidedLate++
		c.enqueue(&queuedEntry{entry: entry{Kind: entryVoid, ScopeHash: e.ScopeHash, ClaimID: e.ClaimID}})
		return
	}
	if c.gap.mayHideClaim(c.options.Now(), w.keyTime, c.options.Retention, c.options.ClockSkew) {
		c.enqueue(&queuedEntry{entry: entry{Kind: entryVoid, ScopeHash: e.ScopeHash, ClaimID: e.ClaimID}})
		w.done <- outcome{err: &UnavailableError{Reason: "records that may hold the claim of this key were lost to retention"}}
		return
	}
	c.counts.Won++
	w.done <- outcome{verdict: Verdict{State: Won, ClaimID: e.ClaimID}}
}

func (c *Claimer) trimmed(int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gap.trimmed(c.options.Now())
}

// maintain periodically records whether the log is unavailable, appends markers to an idle stream and drops expired
// scopes, until ctx is done.
func (c *Claimer) maintain(ctx context.Context) error {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	lastPrune := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		c.mu.Lock()
		if c.follower.CaughtUp() && !c.follower.Healthy() {
			c.lastDown = time.Now()
		}
		if c.follower.CaughtUp() && time.Since(c.lastRecord) >= c.markerAfter {
			c.lastRecord = time.Now()
			c.enqueue(&queuedEntry{entry: entry{Kind: entryMarker}})
		}
		if time.Since(lastPrune) >= pruneInterval {
			lastPrune = time.Now()
			c.fold.prune(c.options.Now().Add(-c.options.Retention - 2*c.options.ClockSkew).UnixMilli())
		}
		c.mu.Unlock()
	}
}
