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

// State is the outcome of a claim.
type State int

// States of a claim.
const (
	// Won means that the caller of Claim holds the scope and may dispatch the request.
	Won State = iota + 1
	// Duplicate means that another claim holds the scope and that its result is not known.
	Duplicate
	// Answered means that another claim holds the scope and that its result is stored.
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

// Verdict is the decision on a claim. ClaimID identifies the claim that holds the scope. Result is set only if State
// is Answered.
type Verdict struct {
	State   State
	ClaimID string
	Result  *Result
}

// outcome is what a waiting call of Claim receives. logDown is true if the append failed because the log is
// unavailable.
type outcome struct {
	verdict Verdict
	err     error
	logDown bool
}

// waiter is a call of Claim that waits until its record has been read back from the log.
type waiter struct {
	scope   Scope
	keyTime time.Time
	done    chan outcome
}

// Claimer claims scopes through the log. It is safe for concurrent use.
type Claimer struct {
	log         kernel.LogProtocol
	identity    Identity
	options     Options
	logger      *zap.Logger
	follower    *follower.Follower
	batchWindow atomic.Int64
	wake        chan struct{}
	memory      *MemoryClaims

	mu               sync.Mutex
	fold             *fold
	gap              gap
	waiters          map[string]*waiter
	claims           []*queuedEntry
	mandatoryEntries []*queuedEntry
	// mandatoryNotBefore is the earliest time of the next attempt to append mandatoryEntries after a failed one.
	mandatoryNotBefore time.Time
	// inMemory holds the ids of this router's claims that won in memory and have not been read back from the log yet.
	inMemory map[string]struct{}
	// lastDown is when the log was last observed to be unavailable.
	lastDown time.Time
	counts   counts
	// lastRecord is when a record was last read. markerAfter is how long the stream may stay without records before
	// this router appends a marker; it is randomised, so that usually only one of the routers appends one.
	lastRecord  time.Time
	markerAfter time.Duration
}

// New returns a claimer. Claims are decided only while Run follows the log.
func New(log kernel.LogProtocol, identity Identity, options Options, logger *zap.Logger) *Claimer {
	options = options.withDefaults()
	c := &Claimer{
		log:      log,
		identity: identity,
		options:  options,
		logger:   logger,
		wake:     make(chan struct{}, 1),
		fold:     newFold(options.Retention.Milliseconds()),
		waiters:  make(map[string]*waiter),
		memory:   NewMemoryClaims(nil),
		inMemory: make(map[string]struct{}),

		lastRecord:  time.Now(),
		markerAfter: options.Retention/markersPerRetention + rand.N(options.Retention/markersPerRetention),
	}
	c.batchWindow.Store(int64(options.BatchWindow))
	c.follower = follower.New(log, Stream, 0, c.apply, c.trimmed, logger)
	return c
}

// Run follows the log and appends batches until ctx is done, and returns the error of ctx.
func (c *Claimer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.follower.Run(ctx) })
	group.Go(func() error { return c.flush(ctx) })
	group.Go(func() error { return c.maintain(ctx) })
	return group.Wait()
}

// SetBatchWindow sets the minimum time between two appends.
func (c *Claimer) SetBatchWindow(window time.Duration) { c.batchWindow.Store(int64(max(window, 0))) }

// Healthy reports whether the last read of the log succeeded.
func (c *Claimer) Healthy() bool { return c.follower.Healthy() }

// Claim claims a scope. It returns immediately if the scope is known to be claimed, otherwise once the record of the
// claim has been read back. If ctx is done before, the claim is voided later if it turns out to have won.
// Errors: *UnavailableError, *KeyTooOldError, *KeyFormatError, *FingerprintMismatchError.
func (c *Claimer) Claim(ctx context.Context, scope Scope, requestID string) (Verdict, error) {
	now := c.options.Now()
	keyTime, err := checkKey(scope, now, c.options)
	if err != nil {
		return Verdict{}, err
	}
	hash := scope.Hash()
	c.mu.Lock()
	if state, held := c.fold.holdingClaim(hash); held && now.UnixMilli()-state.lastUnixMS <= c.options.Retention.Milliseconds() {
		defer c.mu.Unlock()
		return state.verdict(scope)
	}
	if c.gap.mayHideClaim(now, keyTime, c.options.Retention, c.options.ClockSkew) {
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
	registered := scope.AllowInMemory && c.recentlyDown()
	if registered {
		if verdict, proceed, err := c.checkHomes(ctx, hash, claimID, requestID); !proceed {
			return verdict, err
		}
	}
	w := &waiter{scope: scope, keyTime: keyTime, done: make(chan outcome, 1)}
	c.mu.Lock()
	c.waiters[claimID] = w
	c.enqueue(&queuedEntry{entry: entry{
		Kind:        entryClaim,
		ScopeHash:   hash,
		ClaimID:     claimID,
		RequestID:   requestID,
		Fingerprint: scope.Fingerprint,
	}})
	c.mu.Unlock()
	o := c.await(ctx, claimID, w)
	if o.logDown && scope.AllowInMemory {
		// Uses the same claim id because an earlier append of this claim may have taken effect.
		return c.claimInMemory(ctx, scope, hash, claimID, requestID)
	}
	if registered && o.verdict.State != Won {
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
		// The claim was decided while ctx became done. Its outcome must be returned, because a decided claim that won
		// is not voided later.
		return o
	default:
		return outcome{err: &UnavailableError{Reason: "the claim was not read back in time", Cause: ctx.Err()}}
	}
}

// Void releases a scope whose winning claim was not dispatched. It returns once the record is on the log. If ctx is
// done before, it returns an *UnavailableError and the record is still appended later.
func (c *Claimer) Void(ctx context.Context, scope Scope, claimID string) error {
	if scope.AllowInMemory && c.recentlyDown() {
		c.release(ctx, scope.Hash(), claimID)
	}
	return c.enqueueAndWait(ctx, entry{Kind: entryVoid, ScopeHash: scope.Hash(), ClaimID: claimID})
}

// RecordResult stores the result of a claim that won, so that repeated requests get it. It returns once the record is
// on the log. If ctx is done before, it returns an *UnavailableError and the record is still appended later.
// Errors: *UnavailableError, *ResultTooLargeError, *QueueFullError.
func (c *Claimer) RecordResult(ctx context.Context, scope Scope, claimID string, result Result) error {
	if len(result.Body) > MaxResultBytes {
		return &ResultTooLargeError{Size: len(result.Body), Limit: MaxResultBytes}
	}
	return c.enqueueAndWait(ctx, entry{Kind: entryResult, ScopeHash: scope.Hash(), ClaimID: claimID, Result: &result})
}

func (c *Claimer) enqueueAndWait(ctx context.Context, e entry) error {
	q := &queuedEntry{entry: e, done: make(chan struct{})}
	c.mu.Lock()
	if e.Kind == entryResult && len(c.mandatoryEntries) >= queueLimit {
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

// verdict returns the decision on a claim of a scope that another claim holds.
func (s *scopeState) verdict(scope Scope) (Verdict, error) {
	if scope.Fingerprint != 0 && s.fingerprint != 0 && scope.Fingerprint != s.fingerprint {
		return Verdict{}, &FingerprintMismatchError{ClaimID: s.claimID}
	}
	if s.result != nil {
		return Verdict{State: Answered, ClaimID: s.claimID, Result: s.result}, nil
	}
	return Verdict{State: Duplicate, ClaimID: s.claimID}, nil
}
