package runner

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/ranker"
)

// joinPeriod is how long a router may still know few others after its start.
const joinPeriod = 5 * time.Second

// reconcileInterval is the time between checks of which cells this router should host.
const reconcileInterval = time.Second

// Runner hosts the schedulers of pool cells. Its methods may be called concurrently.
type Runner struct {
	options  Options
	ctx      context.Context
	cancel   context.CancelFunc
	group    errgroup.Group
	wake     chan struct{}
	sequence atomic.Uint64

	mu      sync.Mutex
	stopped bool
	cells   map[string]*cell
	// versionLimits holds the limits by pool and version.
	versionLimits map[string]map[string]VersionLimit
	started       time.Time
}

// New returns a runner. Its schedulers end when Run does.
func New(options Options) *Runner {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Runner{
		options: options, ctx: ctx, cancel: cancel,
		wake:          make(chan struct{}, 1),
		cells:         make(map[string]*cell),
		versionLimits: make(map[string]map[string]VersionLimit),
		started:       time.Now(),
	}
}

// Run hosts the cells that this router is ranked first for and those that holders send tickets for, until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	defer r.options.Members.Subscribe(func(*detector.View) { r.signal() })()
	defer r.options.Catalogue.Subscribe(func(*cataloguer.Catalogue) { r.signal() })()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		r.reconcile()
		select {
		case <-ctx.Done():
			r.mu.Lock()
			r.stopped = true
			r.mu.Unlock()
			r.cancel()
			_ = r.group.Wait()
			return ctx.Err()
		case <-r.wake:
		case <-ticker.C:
		}
	}
}

func (r *Runner) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// reconcile starts the cells that this router is ranked first for and makes all cells apply the latest view and
// catalogue.
func (r *Runner) reconcile() {
	view, catalogue := r.options.Members.View(), r.options.Catalogue.Current()
	for _, pool := range catalogue.Pools {
		if r.joining() {
			break
		}
		for index := range ranker.Cells(len(pool.Upstreams), r.options.CellEngines) {
			role := ranker.Role(pool.Name, index)
			if ranker.First(role, view.SchedulerHosts()) == r.options.Self {
				r.cell(pool.Name, index)
			}
		}
	}
	for _, c := range r.allCells() {
		c.post(c.refresh)
	}
}

// joining reports whether this router has just started. It may know few others then and would host cells that others are
// ranked first for.
func (r *Runner) joining() bool { return time.Since(r.started) < joinPeriod }

// allCells returns the running cells, sorted by role.
func (r *Runner) allCells() []*cell {
	r.mu.Lock()
	defer r.mu.Unlock()
	cells := make([]*cell, 0, len(r.cells))
	for _, role := range slices.Sorted(maps.Keys(r.cells)) {
		cells = append(cells, r.cells[role])
	}
	return cells
}

// findCell returns the running cell of a role, or nil.
func (r *Runner) findCell(role string) *cell {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cells[role]
}

// cell returns a cell of a pool and starts it if necessary. It returns nil if the catalogue doesn't have the cell or the
// runner has stopped: the map keeps the ended cells after the stop, so a caller that retries until a cell accepts its
// message would loop for ever.
func (r *Runner) cell(pool string, index int) *cell {
	role := ranker.Role(pool, index)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return nil
	}
	if c, ok := r.cells[role]; ok {
		return c
	}
	part, ok := cellPool(r.options.Catalogue.Current(), pool, index, r.options.CellEngines)
	if !ok {
		return nil
	}
	c := newCell(r, role, part, index)
	c.limitVersions(time.Now(), r.initialVersionLimits(pool))
	r.cells[role] = c
	r.group.Go(func() error { c.run(r.ctx); return nil })
	return c
}

// remove retires a cell and deletes it from the map. It returns false if the cell's inbox still has calls.
func (r *Runner) remove(c *cell) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !c.retire() {
		return false
	}
	delete(r.cells, c.role)
	return true
}

// accepts reports whether this router schedules a role for a holder. It always accepts its own tickets, because it
// schedules them itself when it reaches no other router. It accepts tickets of other holders if it is among the first
// ranker.Candidates ranks, because holders notice a broken scheduler seconds before the member table does.
func (r *Runner) accepts(holder, role string) bool {
	return holder == r.options.Self || slices.Contains(
		ranker.Top(role, r.options.Members.View().SchedulerHosts()), r.options.Self)
}

// Accept opens the session of a holder's stream. Decisions for the holder are put into the outbox.
func (r *Runner) Accept(hello *protocol.Hello, outbox *messenger.Outbox[protocol.SchedulerMessage]) messenger.Session {
	s := &session{
		runner: r, holder: hello.GetRouter(), incarnation: hello.GetIncarnation(), outbox: outbox,
		sequence: r.sequence.Add(1), held: make(map[string]bool),
	}
	for _, id := range hello.GetHeld() {
		s.held[id] = true
	}
	for _, c := range r.allCells() {
		c.post(func(now time.Time) { c.resume(now, s) })
	}
	return s
}

// Schedule runs the session of this router's own ticketer in memory until ctx ends or the outbox is closed.
func (r *Runner) Schedule(ctx context.Context, _ string, outbox *messenger.Outbox[protocol.HolderMessage],
	receive func(*protocol.SchedulerMessage),
) error {
	schedulerOutbox := messenger.NewSchedulerOutbox()
	first, err := outbox.Take()
	if err != nil {
		return err
	}
	if first.GetHello() == nil {
		return &messenger.NoHelloError{}
	}
	s := r.Accept(first.GetHello(), schedulerOutbox)
	s.Receive(first)
	for err == nil {
		select {
		case <-ctx.Done():
			err = ctx.Err()
		case <-outbox.Ready():
			var message *protocol.HolderMessage
			if message, err = outbox.Take(); message != nil {
				s.Receive(message)
			}
		case <-schedulerOutbox.Ready():
			var message *protocol.SchedulerMessage
			if message, err = schedulerOutbox.Take(); message != nil {
				receive(message)
			}
		}
	}
	s.Disconnected(err)
	outbox.Close()
	schedulerOutbox.Close()
	return err
}

// Dump returns the state of all cells for the state dump.
func (r *Runner) Dump() any {
	cells := make(map[string]any)
	for _, c := range r.allCells() {
		answer := make(chan any, 1)
		if !c.post(func(time.Time) { answer <- c.dump() }) {
			continue
		}
		select {
		case cells[c.role] = <-answer:
		case <-r.ctx.Done():
		}
	}
	return cells
}
