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

// startTime is how long after its start a router may still know few others.
const startTime = 5 * time.Second

// reviewInterval is the time between looks at which cells this router should host.
const reviewInterval = time.Second

// Runner hosts schedulers. Its methods may be called concurrently.
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
	started time.Time
}

// New returns a runner. Its schedulers end when Run does.
func New(options Options) *Runner {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Runner{
		options: options, ctx: ctx, cancel: cancel,
		wake:    make(chan struct{}, 1),
		cells:   make(map[string]*cell),
		started: time.Now(),
	}
}

// Run hosts the cells that this router is ranked first for, and those that holders turn to, until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	defer r.options.Members.Subscribe(func(*detector.View) { r.signal() })()
	defer r.options.Catalogue.Subscribe(func(*cataloguer.Catalogue) { r.signal() })()
	ticker := time.NewTicker(reviewInterval)
	defer ticker.Stop()
	for {
		r.review()
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

// review starts the cells that this router is ranked first for and tells all cells of the newest view and
// catalogue.
func (r *Runner) review() {
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
	for _, c := range r.all() {
		c.post(c.review)
	}
}

// joining says that this router has just started and may know few others: it would host what others are ranked first for.
func (r *Runner) joining() bool { return time.Since(r.started) < startTime }

// all returns the running cells, sorted by role.
func (r *Runner) all() []*cell {
	r.mu.Lock()
	defer r.mu.Unlock()
	cells := make([]*cell, 0, len(r.cells))
	for _, role := range slices.Sorted(maps.Keys(r.cells)) {
		cells = append(cells, r.cells[role])
	}
	return cells
}

// find returns a running cell or nil.
func (r *Runner) find(role string) *cell {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cells[role]
}

// cell returns the cell of a pool, starting it if necessary, or nil if the catalogue doesn't have it or the runner has
// stopped. After the stop the map still holds the ended cells, and a caller that tries again until a cell takes its
// message would never end.
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
	r.cells[role] = c
	r.group.Go(func() error { c.run(r.ctx); return nil })
	return c
}

// remove forgets a cell that retires; it returns false if the cell has work that it doesn't know of yet.
func (r *Runner) remove(c *cell) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !c.retire() {
		return false
	}
	delete(r.cells, c.role)
	return true
}

// accepts says whether this router schedules a cell for a holder. Its own tickets are accepted always: it schedules
// alone when it reaches no other router. Those of others are accepted on the first ranks, not only on the first,
// because holders notice a broken scheduler seconds before the member table does.
func (r *Runner) accepts(holder, role string) bool {
	return holder == r.options.Self || slices.Contains(ranker.Top(role, r.options.Members.View().SchedulerHosts()), r.options.Self)
}

// Accept opens a session for a holder.
func (r *Runner) Accept(hello *protocol.Hello, outbox *messenger.Outbox[protocol.SchedulerMessage]) messenger.Session {
	s := &session{
		runner: r, holder: hello.GetRouter(), incarnation: hello.GetIncarnation(), outbox: outbox,
		sequence: r.sequence.Add(1), held: make(map[string]bool),
	}
	for _, id := range hello.GetHeld() {
		s.held[id] = true
	}
	for _, c := range r.all() {
		c.post(func(now time.Time) { c.resume(now, s) })
	}
	return s
}

// Schedule runs the session of this router's own ticketer, without a network hop, until ctx ends or the outbox is
// closed.
func (r *Runner) Schedule(ctx context.Context, _ string, outbox *messenger.Outbox[protocol.HolderMessage],
	receive func(*protocol.SchedulerMessage),
) error {
	replies := messenger.NewSchedulerOutbox()
	first, err := outbox.Take()
	if err != nil {
		return err
	}
	if first.GetHello() == nil {
		return &messenger.NoHelloError{}
	}
	s := r.Accept(first.GetHello(), replies)
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
		case <-replies.Ready():
			var message *protocol.SchedulerMessage
			if message, err = replies.Take(); message != nil {
				receive(message)
			}
		}
	}
	s.Broken(err)
	outbox.Close()
	replies.Close()
	return err
}

// Dump returns the state of all cells for the state dump.
func (r *Runner) Dump() any {
	cells := make(map[string]any)
	for _, c := range r.all() {
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
