package claimer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/kernel"
)

const (
	pruneInterval = time.Minute
	watchInterval = time.Second
	// markersPerRetention bounds how long a router that starts on a quiet stream with dropped records calls no
	// key fresh: until the first record it reads is older than the retention, at most 2% of the retention.
	markersPerRetention = 100
)

// apply folds one record and answers the calls of Claim that wait for it.
func (c *Claimer) apply(record kernel.LogRecord) {
	b, err := decodeBatch(record)
	if err != nil {
		c.logger.Warn("skipping a claim record", zap.Error(err))
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
	if _, held := c.inMemory[e.ClaimID]; held && e.Memory {
		defer delete(c.inMemory, e.ClaimID)
		if result == claimLost {
			c.counts.LostInMemory++
			c.logger.Warn("a claim won in memory lost on the log", zap.String("claim_id", e.ClaimID))
		}
	}
	switch result {
	case claimWon:
		c.applyWinner(e, b, w, waiting)
	case claimLost:
		if !waiting {
			return
		}
		state, held := c.fold.holder(e.ScopeHash)
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
	if _, held := c.inMemory[e.ClaimID]; held || e.Memory {
		return
	}
	if !waiting {
		// The call of Claim was given up, so nobody will dispatch this request.
		c.counts.VoidedLate++
		c.enqueue(&queued{entry: entry{Kind: entryVoid, ScopeHash: e.ScopeHash, ClaimID: e.ClaimID}})
		return
	}
	if c.gap.hides(c.options.Now(), w.keyMade, c.options.Retention, c.options.ClockSkew) {
		c.enqueue(&queued{entry: entry{Kind: entryVoid, ScopeHash: e.ScopeHash, ClaimID: e.ClaimID}})
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

// watch notes outages of the log, appends markers to a quiet stream, and drops old scopes.
func (c *Claimer) watch(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	pruned := time.Now()
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
			c.enqueue(&queued{entry: entry{Kind: entryMarker}})
		}
		if time.Since(pruned) >= pruneInterval {
			pruned = time.Now()
			c.fold.prune(c.options.Now().Add(-c.options.Retention - 2*c.options.ClockSkew).UnixMilli())
		}
		c.mu.Unlock()
	}
}
