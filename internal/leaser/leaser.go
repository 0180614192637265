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

// Identity names one run of a router.
type Identity struct {
	Router      string
	Incarnation uint64
}

// Defaults of the options.
const (
	defaultTTL = 10 * time.Second
	// defaultMargin covers the difference in speed of two clocks over one TTL, with room for a slow read.
	defaultMargin = 2 * time.Second
)

// Options of a Leaser. Zero values mean the defaults. All routers should use the same.
type Options struct {
	// TTL is how long a lease lasts for its holder, measured from before its append.
	TTL time.Duration
	// Margin is how much longer than the TTL, measured from reading its record, others respect it.
	Margin time.Duration
}

// Lease is the right to order one engine until a time. Ask Held right before each use.
type Lease struct {
	Engine string
	offset int64
	until  time.Time
}

// Fencing returns the fencing number: the log offset of the lease.
func (l Lease) Fencing() int64 { return l.offset }

// Until returns the time at which the lease ends for its holder.
func (l Lease) Until() time.Time { return l.until }

// Leaser acquires leases on the log. Its methods may be called concurrently.
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

// New returns a leaser; it knows no lease until Run follows the log.
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

// Run follows the log until ctx ends and returns its error.
func (l *Leaser) Run(ctx context.Context) error { return l.follower.Run(ctx) }

func (l *Leaser) apply(logged kernel.LogRecord) {
	r, err := decodeRecord(logged)
	if err != nil {
		l.logger.Warn("skipping a lease record", zap.Int64("offset", logged.Offset), zap.Error(err))
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

// Acquire takes the lease of an engine, or renews it if this run holds it. A lease of another holder is taken
// over only after its time and a margin have passed since this router read it. Errors: *HeldError,
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
	if known && !l.own(current) && now.Sub(current.readAt) < current.respected(l.options.Margin) {
		return Lease{}, &HeldError{Engine: engine, Holder: current.Holder}
	}
	return l.append(ctx, engine, supersedes, l.options.TTL, now)
}

// respected returns how long others respect a lease after reading it; a released one not at all.
func (e entry) respected(margin time.Duration) time.Duration {
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

// Release gives up a lease, so that others need not wait for its end. It stops being held at once, even if the
// log can't be reached. Errors: *NotHeldError, *HeldError, *UnavailableError.
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

// Offset returns the offset of the newest valid record of an engine, -1 if there is none. It changes whenever
// anybody acquires, renews or releases the lease.
func (l *Leaser) Offset(engine string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if current, ok := l.fold.leases[engine]; ok {
		return current.offset
	}
	return noLease
}

// Held returns the lease of an engine if it lasts now and no newer one has been read.
func (l *Leaser) Held(engine string) (Lease, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lease, ok := l.held[engine]
	if !ok || l.fold.leases[engine].offset != lease.offset {
		return Lease{}, false
	}
	now := time.Now()
	// The monotonic clock stands still while a VM is suspended; the wall clock shows that time.
	if !now.Before(lease.until) || !now.Round(0).Before(lease.until.Round(0)) {
		return Lease{}, false
	}
	return lease, true
}

func (l *Leaser) own(e entry) bool {
	return e.Holder == l.identity.Router && e.Incarnation == l.identity.Incarnation
}

// append appends a record that was made at sent, and waits until it was read back. The lease lasts for ttl from
// sent on.
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
		return l.settle(engine, valid, sent.Add(ttl))
	case <-ctx.Done():
		return Lease{}, &UnavailableError{Engine: engine, Cause: ctx.Err()}
	}
}

func (l *Leaser) settle(engine string, valid bool, until time.Time) (Lease, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.fold.leases[engine]
	if !valid || !l.own(current) {
		return Lease{}, &HeldError{Engine: engine, Holder: current.Holder}
	}
	lease := Lease{Engine: engine, offset: current.offset, until: until}
	if current.TTLMS > 0 {
		l.held[engine] = lease
	}
	return lease, nil
}
