package leaser

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"coltsfootplank/internal/follower"
	"coltsfootplank/internal/kernel"
)

// Identity identifies one run of a router.
type Identity struct {
	Router      string
	Incarnation uint64
}

// Defaults of Options.
const (
	defaultTTL = 10 * time.Second
	// defaultMargin allows for the drift between two clocks over one TTL and for a slow read of the log.
	defaultMargin = 2 * time.Second
)

// Options configures a Leaser. Zero values mean the defaults. All routers should use the same values.
type Options struct {
	// TTL is how long a lease is valid for its holder, measured from just before its append.
	TTL time.Duration
	// Margin is how long other routers wait beyond the TTL, measured from reading the record, before they take over
	// the lease.
	Margin time.Duration
}

// Lease is the exclusive right to send orders to one engine until it expires. Call Held immediately before each use.
type Lease struct {
	Engine string
	offset int64
	until  time.Time
}

// Fencing returns the fencing token, which is the log offset of the lease record.
func (l Lease) Fencing() int64 { return l.offset }

// Until returns the time at which the lease expires for its holder.
func (l Lease) Until() time.Time { return l.until }

// Leaser acquires leases through the log. It is safe for concurrent use.
type Leaser struct {
	log      kernel.LogProtocol
	identity Identity
	options  Options
	logger   *zap.Logger
	follower *follower.Follower

	mu      sync.Mutex
	fold    fold
	held    map[string]Lease
	waiting map[string]chan bool
}

// New returns a leaser. Leases can be acquired only while Run follows the log.
func New(log kernel.LogProtocol, identity Identity, options Options, logger *zap.Logger) *Leaser {
	if options.TTL <= 0 {
		options.TTL = defaultTTL
	}
	if options.Margin <= 0 {
		options.Margin = defaultMargin
	}
	l := &Leaser{
		log:      log,
		identity: identity,
		options:  options,
		logger:   logger,
		fold:     fold{leases: make(map[string]entry)},
		held:     make(map[string]Lease),
		waiting:  make(map[string]chan bool),
	}
	l.follower = follower.New(log, Stream, 0, l.apply, l.trimmed, logger)
	return l
}

// Run follows the log until ctx is done and returns the error of ctx.
func (l *Leaser) Run(ctx context.Context) error { return l.follower.Run(ctx) }

func (l *Leaser) apply(logged kernel.LogRecord) {
	r, err := decodeRecord(logged)
	if err != nil {
		l.logger.Warn("skipping a lease record that could not be decoded", zap.Int64("offset", logged.Offset), zap.Error(err))
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	valid := l.fold.apply(r, logged.Offset, time.Now())
	if done, ok := l.waiting[r.Nonce]; ok {
		delete(l.waiting, r.Nonce)
		done <- valid
	}
}

func (l *Leaser) trimmed(first int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fold.firstKept = first
}

// Acquire acquires the lease of an engine, or renews it if this run of the router holds it. A lease of another holder
// is taken over only after its TTL and Margin have passed since this router read its record. Errors: *HeldError,
// *UnavailableError.
func (l *Leaser) Acquire(ctx context.Context, engine string) (Lease, error) {
	if !l.follower.CaughtUp() || !l.follower.Healthy() {
		return Lease{}, &UnavailableError{Engine: engine, Cause: &NotCaughtUpError{}}
	}
	now := time.Now()
	l.mu.Lock()
	current, known := l.fold.leases[engine]
	supersedes := l.fold.current(engine, now.UnixMilli())
	l.mu.Unlock()
	if known && !l.isOwn(current) && now.Sub(current.readAt) < current.takeoverDelay(l.options.Margin) {
		return Lease{}, &HeldError{Engine: engine, Holder: current.Holder}
	}
	return l.append(ctx, engine, supersedes, l.options.TTL, now)
}

// takeoverDelay returns how long other routers wait after reading the lease record before they take over the lease. It
// is 0 for a released lease.
func (e entry) takeoverDelay(margin time.Duration) time.Duration {
	if e.TTLMS == 0 {
		return 0
	}
	return time.Duration(e.TTLMS)*time.Millisecond + margin
}

// Renew extends a lease that is held. Errors: *NotHeldError, *HeldError, *UnavailableError.
func (l *Leaser) Renew(ctx context.Context, engine string) (Lease, error) {
	if _, ok := l.Held(engine); !ok {
		return Lease{}, &NotHeldError{Engine: engine}
	}
	return l.Acquire(ctx, engine)
}

// Release releases a lease, so that other routers need not wait until it expires. The lease is no longer held as soon
// as Release is called, even if the log is unavailable. Errors: *NotHeldError, *HeldError, *UnavailableError.
func (l *Leaser) Release(ctx context.Context, engine string) error {
	lease, ok := l.Held(engine)
	if !ok {
		return &NotHeldError{Engine: engine}
	}
	l.mu.Lock()
	delete(l.held, engine)
	l.mu.Unlock()
	_, err := l.append(ctx, engine, lease.offset, 0, time.Now())
	return err
}

// Offset returns the offset of the newest valid lease record of an engine, or -1 if there is none. It changes whenever
// any router acquires, renews or releases the lease.
func (l *Leaser) Offset(engine string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if current, ok := l.fold.leases[engine]; ok {
		return current.offset
	}
	return noLease
}

// Held returns the lease of an engine if this router holds it, it has not expired and no newer record has been read.
func (l *Leaser) Held(engine string) (Lease, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lease, ok := l.held[engine]
	if !ok || l.fold.leases[engine].offset != lease.offset {
		return Lease{}, false
	}
	now := time.Now()
	// Compares both clocks, because the monotonic clock stops while a VM is suspended and the wall clock does not.
	if !now.Before(lease.until) || !now.Round(0).Before(lease.until.Round(0)) {
		return Lease{}, false
	}
	return lease, true
}

func (l *Leaser) isOwn(e entry) bool {
	return e.Holder == l.identity.Router && e.Incarnation == l.identity.Incarnation
}

// append appends a lease record and waits until it has been read back. The lease is valid for ttl from the time sent; a
// ttl of 0 releases it.
func (l *Leaser) append(ctx context.Context, engine string, supersedes int64, ttl time.Duration, sent time.Time) (Lease, error) {
	r := record{
		Engine:      engine,
		Holder:      l.identity.Router,
		Incarnation: l.identity.Incarnation,
		Supersedes:  supersedes,
		TTLMS:       ttl.Milliseconds(),
		Nonce:       uuid.NewString(),
		UnixMS:      sent.UnixMilli(),
	}
	data, err := json.Marshal(r)
	if err != nil {
		return Lease{}, Error.Wrap(err)
	}
	done := make(chan bool, 1)
	l.mu.Lock()
	l.waiting[r.Nonce] = done
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.waiting, r.Nonce)
		l.mu.Unlock()
	}()
	if err := l.send(ctx, data); err != nil {
		return Lease{}, &UnavailableError{Engine: engine, Cause: err}
	}
	select {
	case valid := <-done:
		return l.applyReadBack(engine, valid, sent.Add(ttl))
	case <-ctx.Done():
		return Lease{}, &UnavailableError{Engine: engine, Cause: ctx.Err()}
	}
}

func (l *Leaser) applyReadBack(engine string, valid bool, until time.Time) (Lease, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.fold.leases[engine]
	if !valid || !l.isOwn(current) {
		return Lease{}, &HeldError{Engine: engine, Holder: current.Holder}
	}
	lease := Lease{Engine: engine, offset: current.offset, until: until}
	if current.TTLMS > 0 {
		l.held[engine] = lease
	}
	return lease, nil
}
