package claimer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/follower"
	"coltsfootplank/internal/kernel"
)

// State says what a claim came to.
type State int

// States of a claim.
const (
	// Won means that the caller of Claim holds the scope and may dispatch.
	Won State = iota + 1
	// Duplicate means that the scope was claimed before and no result is known.
	Duplicate
	// Answered means that the scope was claimed before and its result is stored.
	Answered
)

func (s State) String() string {
	switch s {
	case Won:
		return "won"
	case Duplicate:
		return "duplicate"
	case Answered:
		return "answered"
	}
	return "unknown"
}

// Verdict is the answer to a claim. ClaimID is the id of the claim that holds the scope. Result is set if State
// is Answered.
type Verdict struct {
	State   State
	ClaimID string
	Result  *Result
}

// outcome is the answer to a waiting claim; down tells that the log refused it.
type outcome struct {
	verdict Verdict
	err     error
	down    bool
}

// waiter is a call of Claim that waits for its record to be read back.
type waiter struct {
	scope   Scope
	keyMade time.Time
	done    chan outcome
}

// Claimer claims scopes on the log. Its methods may be called concurrently.
type Claimer struct {
	log      kernel.LogProtocol
	identity Identity
	options  Options
	logger   *zap.Logger
	follower *follower.Follower
	window   atomic.Int64
	kick     chan struct{}
	memory   *MemoryClaims

	mu      sync.Mutex
	fold    *fold
	gap     gap
	waiters map[string]*waiter
	claims  []*queued
	stores  []*queued
	// storesAfter is the time before which stores are not appended again after a failure.
	storesAfter time.Time
	// inMemory holds the ids of own claims that won in memory and were not read back yet.
	inMemory map[string]struct{}
	// lastDown is the last time at which the log was seen to be down.
	lastDown time.Time
	counts   counts
	// lastRecord is when a record was last read, and markerAfter the silence after which this router appends a
	// marker. It differs between routers, so that one of them usually does it for all.
	lastRecord  time.Time
	markerAfter time.Duration
}

// New returns a claimer; it decides nothing until Run follows the log.
func New(log kernel.LogProtocol, identity Identity, options Options, logger *zap.Logger) *Claimer {
	options = options.withDefaults()
	c := &Claimer{
		log:      log,
		identity: identity,
		options:  options,
		logger:   logger,
		kick:     make(chan struct{}, 1),
		fold:     newFold(options.Retention.Milliseconds()),
		waiters:  make(map[string]*waiter),
		memory:   NewMemoryClaims(nil),
		inMemory: make(map[string]struct{}),

		lastRecord:  time.Now(),
		markerAfter: options.Retention/markersPerRetention + rand.N(options.Retention/markersPerRetention),
	}
	c.window.Store(int64(options.BatchWindow))
	c.follower = follower.New(log, Stream, 0, c.apply, c.trimmed, logger)
	return c
}

// Run follows the log and appends batches until ctx ends, and returns its error.
func (c *Claimer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.follower.Run(ctx) })
	group.Go(func() error { return c.flush(ctx) })
	group.Go(func() error { return c.watch(ctx) })
	return group.Wait()
}

// SetBatchWindow sets the shortest time between two appends.
func (c *Claimer) SetBatchWindow(window time.Duration) { c.window.Store(int64(max(window, 0))) }

// Healthy tells whether the log can be read.
func (c *Claimer) Healthy() bool { return c.follower.Healthy() }

// Claim claims a scope and returns what it came to once the claim's own record has been read back, or at once
// if the scope is known to be claimed. A claim that is given up is voided as soon as it turns out to have won.
// Errors: *UnavailableError, *KeyTooOldError, *KeyFormatError, *FingerprintMismatchError.
func (c *Claimer) Claim(ctx context.Context, scope Scope, requestID string) (Verdict, error) {
	now := c.options.Now()
	keyMade, err := checkKey(scope, now, c.options)
	if err != nil {
		return Verdict{}, err
	}
	hash := scope.Hash()
	c.mu.Lock()
	if state, held := c.fold.holder(hash); held && now.UnixMilli()-state.lastUnixMS <= c.options.Retention.Milliseconds() {
		defer c.mu.Unlock()
		return state.verdict(scope)
	}
	if c.gap.hides(now, keyMade, c.options.Retention, c.options.ClockSkew) {
		c.mu.Unlock()
		return Verdict{}, &UnavailableError{Reason: "records that may hold the claim of this key were lost to retention"}
	}
	c.mu.Unlock()
	claimID := uuid.NewString()
	if !c.follower.Healthy() {
		if scope.AllowInMemory {
			return c.claimInMemory(ctx, scope, hash, claimID, requestID)
		}
		return Verdict{}, &UnavailableError{Reason: "the log can't be read"}
	}
	asked := scope.AllowInMemory && c.recentlyDown()
	if asked {
		if verdict, proceed, err := c.checkHomes(ctx, hash, claimID, requestID); !proceed {
			return verdict, err
		}
	}
	w := &waiter{scope: scope, keyMade: keyMade, done: make(chan outcome, 1)}
	c.mu.Lock()
	c.waiters[claimID] = w
	c.enqueue(&queued{entry: entry{
		Kind:        entryClaim,
		ScopeHash:   hash,
		ClaimID:     claimID,
		RequestID:   requestID,
		Fingerprint: scope.Fingerprint,
	}})
	c.mu.Unlock()
	o := c.await(ctx, claimID, w)
	if o.down && scope.AllowInMemory {
		// The same id, because an append of this claim may have taken effect before.
		return c.claimInMemory(ctx, scope, hash, claimID, requestID)
	}
	if asked && o.verdict.State != Won {
		c.release(ctx, hash, claimID)
	}
	return o.verdict, o.err
}

func (c *Claimer) await(ctx context.Context, claimID string, w *waiter) outcome {
	select {
	case o := <-w.done:
		return o
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiters, claimID)
	select {
	case o := <-w.done:
		// Decided at the same moment; a claim that won belongs to the caller.
		return o
	default:
		return outcome{err: &UnavailableError{Reason: "the claim was not read back in time", Cause: ctx.Err()}}
	}
}

// Void frees a scope whose winner was not dispatched. It returns once the record is on the log; if ctx ends
// before, it returns an *UnavailableError and the record is still appended later.
func (c *Claimer) Void(ctx context.Context, scope Scope, claimID string) error {
	if scope.AllowInMemory && c.recentlyDown() {
		c.release(ctx, scope.Hash(), claimID)
	}
	return c.store(ctx, entry{Kind: entryVoid, ScopeHash: scope.Hash(), ClaimID: claimID})
}

// RecordResult stores the answer of a claim that won, for repeats. It returns once the record is on the log; if
// ctx ends before, it returns an *UnavailableError and the record is still appended later. Errors also:
// *ResultTooLargeError, *QueueFullError.
func (c *Claimer) RecordResult(ctx context.Context, scope Scope, claimID string, result Result) error {
	if len(result.Body) > MaxResultBytes {
		return &ResultTooLargeError{Size: len(result.Body), Limit: MaxResultBytes}
	}
	return c.store(ctx, entry{Kind: entryResult, ScopeHash: scope.Hash(), ClaimID: claimID, Result: &result})
}

func (c *Claimer) store(ctx context.Context, e entry) error {
	q := &queued{entry: e, done: make(chan struct{})}
	c.mu.Lock()
	if e.Kind == entryResult && len(c.stores) >= queueLimit {
		c.mu.Unlock()
		return &QueueFullError{Limit: queueLimit}
	}
	c.enqueue(q)
	c.mu.Unlock()
	select {
	case <-q.done:
		return nil
	case <-ctx.Done():
		return &UnavailableError{Reason: "the " + string(e.Kind) + " is not on the log yet", Cause: ctx.Err()}
	}
}

// verdict returns the answer to a claim of a scope that another claim holds.
func (s *scopeState) verdict(scope Scope) (Verdict, error) {
	if scope.Fingerprint != 0 && s.fingerprint != 0 && scope.Fingerprint != s.fingerprint {
		return Verdict{}, &FingerprintMismatchError{ClaimID: s.claimID}
	}
	if s.result != nil {
		return Verdict{State: Answered, ClaimID: s.claimID, Result: s.result}, nil
	}
	return Verdict{State: Duplicate, ClaimID: s.claimID}, nil
}
