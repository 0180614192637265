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
	// dropAfter is how long a holder's grants are kept after its stream broke.
	dropAfter = 3 * time.Second
	// firstReports bounds how long a new scheduler waits for the engines' first load reports. Without them it would
	// take engines that are full of another scheduler's grants for empty.
	firstReports = 250 * time.Millisecond
	// settleTime is how long a new scheduler waits for the holders to tell of their running requests. They all turn to it
	// within some milliseconds of each other.
	settleTime = 100 * time.Millisecond
	// retireAfter is how long a cell without work runs on when this router isn't ranked first for it.
	retireAfter = 10 * time.Second
	// minPause bounds how often a scheduler without new messages runs.
	minPause = time.Millisecond
)

// cell runs one scheduler. All fields below inbox belong to the goroutine of run.
type cell struct {
	runner *Runner
	role   string
	pool   string
	index  int
	wake   chan struct{}

	mu      sync.Mutex
	inbox   []func(now time.Time)
	retired bool

	scheduler Scheduler
	holders   map[string]*holder
	engines   map[string]*engine
	// opaque says that the pool's upstreams are sent opaque requests.
	opaque      bool
	convictions []*protocol.Conviction
	catalogue   *cataloguer.Catalogue
	readyAt     time.Time
	unreported  int
	idleSince   time.Time
	share       float64
	firstSeen   firstCheck
	// resigned is set once the holders were told that this router is leaving.
	resigned bool
	// limited says that workspaces have allowances. waiting are the tickets that came before groundBy, until when they wait
	// for this router to know enough others.
	limited  bool
	waiting  []earlyTicket
	groundBy time.Time
	// settledAt is when the holders have told of their running requests.
	settledAt time.Time
}

func newCell(r *Runner, role string, pool cataloguer.Pool, index int) *cell {
	now := time.Now()
	settledAt := now
	if len(r.options.Members.View().Eligible()) > 1 {
		settledAt = now.Add(settleTime)
	}
	return &cell{
		settledAt: settledAt,
		runner:    r, role: role, pool: pool.Name, index: index,
		wake:      make(chan struct{}, 1),
		scheduler: r.options.Factory(pool, now),
		holders:   make(map[string]*holder),
		engines:   make(map[string]*engine),
		readyAt:   now.Add(firstReports),
		groundBy:  now.Add(groundWait),
		idleSince: now,
	}
}

// post leaves a call to the cell's goroutine; it returns false if the cell has retired.
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

func (c *cell) take() []func(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	calls := c.inbox
	c.inbox = nil
	return calls
}

// retire closes the inbox; it returns false if calls wait in it.
func (c *cell) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = len(c.inbox) == 0
	return c.retired
}

func (c *cell) run(ctx context.Context) {
	defer c.closeEngines()
	c.review(time.Now())
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
		for _, call := range c.take() {
			call(now)
		}
		c.expire(now)
		c.admitEarly(now)
		if c.ready(now) {
			c.decide(now)
		}
		if c.idle(now) && c.runner.remove(c) {
			return
		}
		timer.Reset(max(minPause, c.nextWake(now).Sub(now)))
	}
}

func (c *cell) ready(now time.Time) bool {
	return !now.Before(c.settledAt) && (c.unreported == 0 || !now.Before(c.readyAt))
}

// nextWake returns when the cell has to run next without a message: the runner posts a review each second at the
// latest.
func (c *cell) nextWake(now time.Time) time.Time {
	next := now.Add(reviewInterval)
	if len(c.waiting) > 0 {
		next = c.groundBy
	}
	if now.Before(c.settledAt) {
		return c.settledAt
	}
	if !c.ready(now) {
		return c.readyAt
	}
	if wake := c.scheduler.NextWake(now); !wake.IsZero() && wake.Before(next) {
		next = wake
	}
	for _, h := range c.holders {
		if !h.broken.IsZero() && h.broken.Add(dropAfter).Before(next) {
			next = h.broken.Add(dropAfter)
		}
	}
	return next
}

// idle says whether the cell may retire: another router is ranked first, and nothing has been granted or waiting for a
// while.
func (c *cell) idle(now time.Time) bool {
	first := ranker.First(c.role, c.runner.options.Members.View().SchedulerHosts()) == c.runner.options.Self
	busy := slices.ContainsFunc(holderList(c.holders), func(h *holder) bool { return len(h.records) > 0 })
	if busy || first && c.catalogue != nil && c.inCatalogue() {
		c.idleSince = now
	}
	return now.Sub(c.idleSince) >= retireAfter
}

// cellDump is a cell's part of the state dump.
type cellDump struct {
	Scheduler any       `json:"scheduler"`
	Share     float64   `json:"share"`
	Holders   int       `json:"holders"`
	ReadyAt   time.Time `json:"ready_at"`
}

func (c *cell) dump() cellDump {
	return cellDump{Scheduler: c.scheduler.Dump(), Share: c.share, Holders: len(c.holders), ReadyAt: c.readyAt}
}
