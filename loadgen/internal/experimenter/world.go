package experimenter

import (
	"math/rand/v2"
	"time"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/scheduler"
)

// hop is the one-way time between a holder and a scheduler or an engine.
const hop = time.Millisecond

// pollEvery is the time between two load reports of an engine.
const pollEvery = time.Second

// plan describes one run.
type plan struct {
	seed     uint64
	engines  []engineKind
	calls    []*call
	settings scheduler.Settings
	weights  map[string]float64
	works    map[string]cataloguer.Work
	// alone is the number of routers that schedule alone, each with that part of every engine's capacity; cells is
	// the number of cells that the engines are split into. Both default to 1.
	alone, cells int
	// lag of load reports and cache events; gaps is the share of lost cache events.
	lag  time.Duration
	gaps float64
	// hideDeadlines keeps the deadlines from the scheduler.
	hideDeadlines bool
	length        time.Duration
	// prepare may schedule faults; refused and lost are the callers' reactions.
	prepare func(*world)
	refused func(*world, *call, *protocol.Refusal)
	lost    func(*world, *call)
	granted func(*world, *call)
	ended   func()
}

// world is the state of one run.
type world struct {
	clock
	plan
	random  *rand.Rand
	engines []*engine
	byName  map[string]*engine
	routers []*router
	calls   map[string]*call
	all     []*call
	// unordered counts the tickets that were shed while one of a lower tier was queued.
	unordered int
	// recomputed counts prompt tokens that an engine computed while another had them in its cache.
	recomputed int
	prompts    int
}

// router hosts one scheduler.
type router struct {
	world     *world
	scheduler *scheduler.Scheduler
	engines   []*engine
	queued    [4]int
	wakeAt    time.Duration
	// retired schedulers grant nothing; tickets that reach them go to next.
	retired bool
	next    *router
}

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (w *world) time() time.Time { return origin.Add(w.now) }

// run plays a plan on fresh copies of its calls.
func run(p plan) *world {
	w := &world{plan: p, random: rand.New(rand.NewPCG(p.seed, 2)), byName: make(map[string]*engine), calls: make(map[string]*call)}
	for i, k := range p.engines {
		e := newEngine(w, k, i)
		w.engines = append(w.engines, e)
		w.byName[e.name] = e
	}
	for i := range max(1, p.alone) * max(1, p.cells) {
		w.addRouter(i)
	}
	for _, e := range w.engines {
		w.after(time.Duration(w.random.Int64N(int64(pollEvery))), e.poll)
	}
	for i, c := range p.calls {
		fresh := *c
		w.at(fresh.arrived, func() {
			fresh.router = w.routers[i%len(w.routers)]
			w.submit(&fresh)
		})
	}
	if p.prepare != nil {
		p.prepare(w)
	}
	w.runUntil(p.length)
	return w
}

func (w *world) addRouter(index int) *router {
	settings := w.settings
	settings.Seed = w.seed
	r := &router{world: w, scheduler: scheduler.New("briefs", settings, w.time()), wakeAt: -1}
	cells := max(1, w.cells)
	var infos []scheduler.EngineInfo
	for i, e := range w.engines {
		if i%cells == index%cells {
			r.engines = append(r.engines, e)
			infos = append(infos, e.info())
		}
	}
	r.scheduler.SetEngines(w.time(), infos)
	r.scheduler.SetWorkspaceWeights(w.weights)
	r.scheduler.SetWorks(w.works)
	r.scheduler.SetCapacityShare(1 / float64(max(1, w.alone)))
	r.scheduler.SetLimitShare(1 / float64(cells))
	w.routers = append(w.routers, r)
	return r
}

// submit sends a new ticket of a call to its router's scheduler.
func (w *world) submit(c *call) {
	w.calls[c.id] = c
	w.all = append(w.all, c)
	w.send(c)
}

// send sends the ticket of a call, with its age.
func (w *world) send(c *call) {
	t := &protocol.Ticket{RequestId: c.id, Pool: "briefs", Tier: uint32(c.kind.tier), Workspace: c.kind.workspace,
		Work: c.kind.name, PromptTokens: uint32(c.kind.prompt), OutputTokens: uint32(c.kind.output),
		PrefixHashes: c.hashes, Fingerprint: c.fingerprint, AgeMs: (w.now - c.arrived).Milliseconds(), Attempt: uint32(c.attempt)}
	if !w.hideDeadlines {
		t.DeadlineMs = (c.arrived + c.kind.limit - w.now).Milliseconds()
	}
	r := c.router
	w.after(hop, func() {
		if r.retired {
			c.router = r.next
			w.send(c)
			return
		}
		c.queued = true
		r.queued[c.kind.tier]++
		r.scheduler.Submit(w.time(), "h", t)
		r.wake(w.now)
	})
}

// wake lets the scheduler decide at a time.
func (r *router) wake(at time.Duration) {
	if r.wakeAt >= 0 && r.wakeAt <= at {
		return
	}
	r.wakeAt = at
	r.world.at(at, func() {
		if r.wakeAt == at {
			r.wakeAt = -1
			r.decide()
		}
	})
}

func (r *router) decide() {
	w := r.world
	if r.retired {
		return
	}
	for _, d := range r.scheduler.Step(w.time()) {
		if d.Grant != nil {
			r.grant(w.calls[d.Grant.RequestId], w.byName[d.Grant.Engine])
			continue
		}
		c := w.calls[d.Refusal.RequestId]
		r.dequeue(c)
		if d.Refusal.Code == scheduler.CodeOverloaded {
			for _, n := range r.queued[c.kind.tier+1:] {
				w.unordered += min(1, n)
			}
		}
		c.refusal = d.Refusal.Code
		if w.refused != nil {
			w.refused(w, c, d.Refusal)
		}
	}
	if at := r.scheduler.NextWake(w.time()); !at.IsZero() {
		r.wake(max(w.now+time.Millisecond, at.Sub(origin)))
	}
}

func (r *router) dequeue(c *call) {
	if c.queued {
		c.queued = false
		r.queued[c.kind.tier]--
	}
}

// grant dispatches a call to its engine after a hop; an engine that is down can't be reached.
func (r *router) grant(c *call, e *engine) {
	w := r.world
	r.dequeue(c)
	c.engine, c.running = e, true
	if w.granted != nil {
		w.granted(w, c)
	}
	w.after(2*hop, func() {
		c.dispatched = w.now
		if e.down {
			c.running, c.queued = false, true
			r.queued[c.kind.tier]++
			r.release(c, protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE)
			return
		}
		e.start(c)
	})
}

// release tells the scheduler about the end of a grant.
func (r *router) release(c *call, kind protocol.ReleaseKind) {
	w := r.world
	if w.ended != nil {
		w.ended()
	}
	m := &protocol.Release{RequestId: c.id, Engine: c.engine.name, Kind: kind, PromptTokens: uint32(c.kind.prompt),
		CachedTokens: uint32(c.cached), OutputTokens: uint32(c.produced), FirstTokenMs: (c.first - c.dispatched).Milliseconds(),
		TotalMs: (w.now - c.dispatched).Milliseconds(), Fingerprint: c.fingerprint}
	w.after(hop, func() {
		r.scheduler.Release(w.time(), "h", m)
		r.wake(w.now)
	})
}

func (w *world) answered(c *call) {
	c.done, c.running = w.now, false
	c.router.release(c, protocol.ReleaseKind_RELEASE_KIND_ANSWERED)
}

func (w *world) lost(c *call) {
	c.running = false
	c.refusal = "lost"
	c.router.release(c, protocol.ReleaseKind_RELEASE_KIND_LOST)
	if w.plan.lost != nil {
		w.plan.lost(w, c)
	}
}

// retry sends a call again as a new request with the same content.
func (w *world) retry(c *call, delay time.Duration) {
	again := &call{kind: c.kind, id: c.id + "+", fingerprint: c.fingerprint, hashes: c.hashes, output: c.output,
		poison: c.poison, router: c.router}
	w.after(delay, func() {
		again.arrived = w.now
		w.submit(again)
	})
}

// poll delivers a load report and the cache events to the schedulers after the lag.
func (e *engine) poll() {
	w := e.world
	report, events, down := e.report(w.lag), e.cache.take(), e.down
	kept := events[:0]
	for _, event := range events {
		if w.random.Float64() >= w.gaps {
			kept = append(kept, event)
		}
	}
	w.after(w.lag, func() {
		for _, r := range w.routers {
			if !r.knows(e) {
				continue
			}
			if down {
				r.scheduler.ObserveLoad(w.time(), e.name, kernel.LoadReport{}, &unreachableError{engine: e.name})
			} else {
				r.scheduler.ObserveLoad(w.time(), e.name, report, nil)
				r.scheduler.ObserveCache(w.time(), e.name, kernel.CacheEvents{Events: kept})
			}
			r.wake(w.now)
		}
	})
	w.after(pollEvery, e.poll)
}

func (r *router) knows(e *engine) bool {
	for _, known := range r.engines {
		if known == e {
			return true
		}
	}
	return false
}

// notePrefix counts the prompt tokens that another engine holds and this one computes again.
func (w *world) notePrefix(c *call) {
	best := c.cached
	for _, e := range w.engines {
		best = max(best, e.cache.covered(c))
	}
	w.recomputed += best - c.cached
	w.prompts += c.kind.prompt
}

// unreachableError reports a poll of an engine that is down.
type unreachableError struct{ engine string }

func (e *unreachableError) Error() string { return "poll " + e.engine + ": connection refused" }
