package runner

import (
	"context"
	"slices"
	"sync"
	"time"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/ranker"
)

const (
	// holderRetention is how long a holder's grants are kept after its stream broke.
	holderRetention = 3 * time.Second
	// firstReportTimeout bounds how long a new scheduler waits for the engines' first load reports. Without them it
	// would treat engines that are full of another scheduler's grants as empty.
	firstReportTimeout = 250 * time.Millisecond
	// adoptionWait is how long a new scheduler waits for the holders to report their running requests. All holders
	// switch to it within a few milliseconds of each other.
	adoptionWait = 100 * time.Millisecond
	// retireAfter is how long a cell without work keeps running when this router isn't ranked first for it.
	retireAfter = 10 * time.Second
	// minRunInterval is the shortest time between two runs of a scheduler that has no new messages.
	minRunInterval = time.Millisecond
)

// cell runs the scheduler of one pool cell. The fields from scheduler on are used only by the goroutine of run.
type cell struct {
	runner *Runner
	role   string
	pool   string
	index  int
	// identity is only used by its address.
	identity Cell
	wake     chan struct{}

	mu      sync.Mutex
	inbox   []func(now time.Time)
	retired bool

	scheduler Scheduler
	holders   map[string]*holder
	engines   map[string]*engine
	// opaque is set if the pool's upstreams receive opaque requests.
	opaque      bool
	convictions []*protocol.Conviction
	catalogue   *cataloguer.Catalogue
	readyAt     time.Time
	// unreported is the number of polled engines without a first load report.
	unreported int
	idleSince  time.Time
	// share and allowanceShare are the parts of the engines' capacity and of the workspaces' allowances in use.
	share          float64
	allowanceShare float64
	// sharesChanged is set until a change of the shares is logged.
	sharesChanged  bool
	sharesLoggedAt time.Time
	firstProbe     firstRankProbe
	presence       presence
	// resigned is set once the holders have been told that this router is leaving.
	resigned bool
	// limited is set if any workspace has an allowance. Tickets are then deferred, until allowanceWaitUntil at the
	// latest, while this router knows too few other routers.
	limited            bool
	deferred           []deferredTicket
	allowanceWaitUntil time.Time
	// adoptionDeadline is when the holders are expected to have reported their running requests.
	adoptionDeadline time.Time
}

func newCell(r *Runner, role string, pool cataloguer.Pool, index int) *cell {
	now := time.Now()
	adoptionDeadline := now
	if len(r.options.Members.View().Eligible()) > 1 {
		adoptionDeadline = now.Add(adoptionWait)
	}
	scheduler := r.options.Factory(pool, now)
	if restricted, ok := scheduler.(takeoverScheduler); ok {
		// Also if no other router is known: one that has just started may not know the others yet.
		restricted.SetTakeover(now.Add(adoptionWait))
	}
	return &cell{
		adoptionDeadline: adoptionDeadline,
		runner:           r, role: role, pool: pool.Name, index: index,
		wake:               make(chan struct{}, 1),
		scheduler:          scheduler,
		holders:            make(map[string]*holder),
		engines:            make(map[string]*engine),
		readyAt:            now.Add(firstReportTimeout),
		allowanceWaitUntil: now.Add(allowanceWait),
		idleSince:          now,
		presence:           newPresence(now),
	}
}

// post queues a call for the cell's goroutine. It returns false if the cell has retired.
func (c *cell) post(call func(now time.Time)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired {
		return false
	}
	c.inbox = append(c.inbox, call)
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return true
}

func (c *cell) takeCalls() []func(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	calls := c.inbox
	c.inbox = nil
	return calls
}

// retire closes the inbox. It returns false if the inbox still has calls.
func (c *cell) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = len(c.inbox) == 0
	return c.retired
}

func (c *cell) run(ctx context.Context) {
	defer c.closeEngines()
	c.refresh(time.Now())
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			c.retire()
			return
		case <-c.wake:
		case <-timer.C:
		}
		now := time.Now()
		for _, call := range c.takeCalls() {
			call(now)
		}
		c.expireHolders(now)
		c.submitDeferred(now)
		if c.ready(now) {
			c.step(now)
		}
		if c.idle(now) && c.runner.remove(c) {
			return
		}
		timer.Reset(max(minRunInterval, c.nextWake(now).Sub(now)))
	}
}

func (c *cell) ready(now time.Time) bool {
	return !now.Before(c.adoptionDeadline) && (c.unreported == 0 || !now.Before(c.readyAt))
}

// nextWake returns when the cell has to run next if no message arrives. The result is at most reconcileInterval from
// now, because the runner posts a refresh that often.
func (c *cell) nextWake(now time.Time) time.Time {
	next := now.Add(reconcileInterval)
	if len(c.deferred) > 0 {
		next = c.allowanceWaitUntil
	}
	if now.Before(c.adoptionDeadline) {
		return c.adoptionDeadline
	}
	if !c.ready(now) {
		return c.readyAt
	}
	if wake := c.scheduler.NextWake(now); !wake.IsZero() && wake.Before(next) {
		next = wake
	}
	for _, h := range c.holders {
		if !h.brokenAt.IsZero() && h.brokenAt.Add(holderRetention).Before(next) {
			next = h.brokenAt.Add(holderRetention)
		}
	}
	return next
}

// idle reports whether the cell may retire. That is so if for retireAfter the cell had no queued, deferred or granted
// tickets, and either another router was ranked first for it or the catalogue didn't contain it.
func (c *cell) idle(now time.Time) bool {
	first := ranker.First(c.role, c.runner.options.Members.View().SchedulerHosts()) == c.runner.options.Self
	busy := slices.ContainsFunc(holderList(c.holders), func(h *holder) bool { return len(h.records) > 0 })
	if busy || first && c.catalogue != nil && c.inCatalogue() {
		c.idleSince = now
	}
	return now.Sub(c.idleSince) >= retireAfter
}

// cellDump is the state of one cell in the state dump.
type cellDump struct {
	Scheduler any     `json:"scheduler"`
	Share     float64 `json:"share"`
	// AllowanceShare is the part of the workspaces' allowances that the scheduler may grant.
	AllowanceShare float64   `json:"allowance_share"`
	Holders        int       `json:"holders"`
	ReadyAt        time.Time `json:"ready_at"`
}

func (c *cell) dump() cellDump {
	return cellDump{Scheduler: c.scheduler.Dump(), Share: c.share, AllowanceShare: c.allowanceShare, Holders: len(c.holders), ReadyAt: c.readyAt}
}
