package experimenter

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/scheduler"
)

// oneWayLatency is the network latency between a router that holds requests and a scheduler or an engine.
const oneWayLatency = time.Millisecond

// pollInterval is the time between two load reports of an engine.
const pollInterval = time.Second

// runConfig describes one run.
type runConfig struct {
	seed        uint64
	engineKinds []engineKind
	calls       []*call
	settings    scheduler.Settings
	weights     map[string]float64
	works       map[string]cataloguer.Work
	// independentRouters is the number of routers that schedule without coordination, each with an equal share of every
	// engine's capacity. cells is the number of cells that the engines are split into. Both default to 1.
	independentRouters, cells int
	// reportLag is the delay of load reports and cache events; eventLossRate is the share of cache events that are lost.
	reportLag     time.Duration
	eventLossRate float64
	// hideDeadlines sends tickets without deadlines to the scheduler.
	hideDeadlines bool
	duration      time.Duration
	// prepare may schedule faults before the run. onRefused and onLost model how callers react to refused and lost
	// requests; onGranted and onRelease observe grants and their releases. All of them are optional.
	prepare   func(*simulation)
	onRefused func(*simulation, *call, *protocol.Refusal)
	onLost    func(*simulation, *call)
	onGranted func(*simulation, *call)
	onRelease func()
}

// simulation is the state of one run.
type simulation struct {
	clock
	runConfig
	random        *rand.Rand
	engines       []*engine
	enginesByName map[string]*engine
	routers       []*router
	callsByID     map[string]*call
	allCalls      []*call
	// priorityInversions counts tickets that were shed while tickets of less urgent tiers (with higher numbers) were
	// queued, once for each such tier.
	priorityInversions int
	// recomputedTokens counts prompt tokens that an engine computed while another engine had them in its cache;
	// promptTokens counts the prompt tokens of all started requests.
	recomputedTokens int
	promptTokens     int
}

// router hosts one scheduler.
type router struct {
	sim       *simulation
	scheduler *scheduler.Scheduler
	engines   []*engine
	// queued is the number of queued tickets by tier.
	queued [4]int
	// wakeAt is the virtual time of the next decision, or negative if none is scheduled.
	wakeAt time.Duration
	// A retired router's scheduler grants nothing; tickets that reach it are sent to successor.
	retired   bool
	successor *router
}

// startTime is the wall-clock time at virtual time 0.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (sim *simulation) wallTime() time.Time { return startTime.Add(sim.now) }

// run runs a simulation to its end. It copies the calls, so that several runs can share them.
func run(config runConfig) *simulation {
	sim := &simulation{runConfig: config, random: rand.New(rand.NewPCG(config.seed, 2)),
		enginesByName: make(map[string]*engine), callsByID: make(map[string]*call)}
	for i, k := range config.engineKinds {
		e := newEngine(sim, k, i)
		sim.engines = append(sim.engines, e)
		sim.enginesByName[e.name] = e
	}
	for i := range max(1, config.independentRouters) * max(1, config.cells) {
		sim.addRouter(i)
	}
	for _, e := range sim.engines {
		sim.after(time.Duration(sim.random.Int64N(int64(pollInterval))), e.poll)
	}
	for i, c := range config.calls {
		copied := *c
		sim.at(copied.arrivedAt, func() {
			copied.router = sim.routers[i%len(sim.routers)]
			sim.submit(&copied)
		})
	}
	if config.prepare != nil {
		config.prepare(sim)
	}
	sim.runUntil(config.duration)
	return sim
}

func (sim *simulation) addRouter(index int) *router {
	settings := sim.settings
	settings.Seed = sim.seed
	r := &router{sim: sim, scheduler: scheduler.New("briefs", settings, zap.NewNop(), sim.wallTime()), wakeAt: -1}
	cells := max(1, sim.cells)
	var infos []scheduler.EngineInfo
	for i, e := range sim.engines {
		if i%cells == index%cells {
			r.engines = append(r.engines, e)
			infos = append(infos, e.info())
		}
	}
	r.scheduler.SetEngines(sim.wallTime(), infos)
	r.scheduler.SetWorkspaceWeights(sim.weights)
	r.scheduler.SetWorks(sim.works)
	r.scheduler.SetCapacityShare(1 / float64(max(1, sim.independentRouters)))
	r.scheduler.SetLimitShare(1 / float64(cells))
	sim.routers = append(sim.routers, r)
	return r
}

// submit records a new call and sends its ticket to its router's scheduler.
func (sim *simulation) submit(c *call) {
	sim.callsByID[c.id] = c
	sim.allCalls = append(sim.allCalls, c)
	sim.send(c)
}

// send sends the ticket of a call to its router's scheduler. The ticket carries the age of the call.
func (sim *simulation) send(c *call) {
	ticket := &protocol.Ticket{RequestId: c.id, Pool: "briefs", Tier: uint32(c.kind.tier), Workspace: c.kind.workspace,
		Work: c.kind.name, PromptTokens: uint32(c.kind.promptTokens), OutputTokens: uint32(c.kind.outputTokens),
		PrefixHashes: c.hashes, Fingerprint: c.fingerprint, AgeMs: (sim.now - c.arrivedAt).Milliseconds(), Attempt: uint32(c.attempt)}
	if !sim.hideDeadlines {
		ticket.DeadlineMs = (c.arrivedAt + c.kind.limit - sim.now).Milliseconds()
	}
	r := c.router
	sim.after(oneWayLatency, func() {
		if r.retired {
			c.router = r.successor
			sim.send(c)
			return
		}
		c.queued = true
		r.queued[c.kind.tier]++
		r.scheduler.Submit(sim.wallTime(), "h", ticket)
		r.scheduleWake(sim.now)
	})
}

// scheduleWake schedules a decision at the given time, unless an earlier one is scheduled.
func (r *router) scheduleWake(at time.Duration) {
	if r.wakeAt >= 0 && r.wakeAt <= at {
		return
	}
	r.wakeAt = at
	r.sim.at(at, func() {
		if r.wakeAt == at {
			r.wakeAt = -1
			r.decide()
		}
	})
}

func (r *router) decide() {
	sim := r.sim
	if r.retired {
		return
	}
	for _, d := range r.scheduler.Step(sim.wallTime()) {
		if d.Grant != nil {
			r.grant(sim.callsByID[d.Grant.RequestId], sim.enginesByName[d.Grant.Engine])
			continue
		}
		c := sim.callsByID[d.Refusal.RequestId]
		r.dequeue(c)
		if d.Refusal.Code == scheduler.CodeOverloaded {
			for _, n := range r.queued[c.kind.tier+1:] {
				sim.priorityInversions += min(1, n)
			}
		}
		c.refusal = d.Refusal.Code
		if sim.onRefused != nil {
			sim.onRefused(sim, c, d.Refusal)
		}
	}
	if at := r.scheduler.NextWake(sim.wallTime()); !at.IsZero() {
		r.scheduleWake(max(sim.now+time.Millisecond, at.Sub(startTime)))
	}
}

func (r *router) dequeue(c *call) {
	if c.queued {
		c.queued = false
		r.queued[c.kind.tier]--
	}
}

// grant dispatches a call to its engine after the grant has reached the router and the request the engine. If the engine
// is down, the grant is released as unreachable and the call is queued again.
func (r *router) grant(c *call, e *engine) {
	sim := r.sim
	r.dequeue(c)
	c.engine, c.running = e, true
	if sim.onGranted != nil {
		sim.onGranted(sim, c)
	}
	sim.after(2*oneWayLatency, func() {
		c.dispatchedAt = sim.now
		if e.down {
			c.running, c.queued = false, true
			r.queued[c.kind.tier]++
			r.release(c, protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE)
			return
		}
		e.enqueue(c)
	})
}

// release reports the end of a grant to the scheduler.
func (r *router) release(c *call, kind protocol.ReleaseKind) {
	sim := r.sim
	if sim.onRelease != nil {
		sim.onRelease()
	}
	release := &protocol.Release{RequestId: c.id, Engine: c.engine.name, Kind: kind, PromptTokens: uint32(c.kind.promptTokens),
		CachedTokens: uint32(c.cachedTokens), OutputTokens: uint32(c.producedTokens),
		FirstTokenMs: (c.firstTokenAt - c.dispatchedAt).Milliseconds(), TotalMs: (sim.now - c.dispatchedAt).Milliseconds(),
		Fingerprint: c.fingerprint, Begun: c.producedTokens > 1}
	sim.after(oneWayLatency, func() {
		r.scheduler.Release(sim.wallTime(), "h", release)
		r.scheduleWake(sim.now)
	})
}

// onAnswered handles a call that its engine has answered completely.
func (sim *simulation) onAnswered(c *call) {
	c.doneAt, c.running = sim.now, false
	c.router.release(c, protocol.ReleaseKind_RELEASE_KIND_ANSWERED)
}

// onLost handles a call that was lost in a crash of its engine.
func (sim *simulation) onLost(c *call) {
	c.running = false
	c.refusal = "lost"
	c.router.release(c, protocol.ReleaseKind_RELEASE_KIND_LOST)
	if sim.runConfig.onLost != nil {
		sim.runConfig.onLost(sim, c)
	}
}

// retry sends a call again after a delay, as a new request with the same content.
func (sim *simulation) retry(c *call, delay time.Duration) {
	repeat := &call{kind: c.kind, id: c.id + "+", fingerprint: c.fingerprint, hashes: c.hashes, outputTokens: c.outputTokens,
		poison: c.poison, router: c.router}
	sim.after(delay, func() {
		repeat.arrivedAt = sim.now
		sim.submit(repeat)
	})
}

// poll delivers a load report and the cache events since the last poll to the schedulers after the report lag.
func (e *engine) poll() {
	sim := e.sim
	report, events, down := e.loadReport(sim.reportLag), e.cache.takeEvents(), e.down
	kept := events[:0]
	for _, event := range events {
		if sim.random.Float64() >= sim.eventLossRate {
			kept = append(kept, event)
		}
	}
	sim.after(sim.reportLag, func() {
		for _, r := range sim.routers {
			if !r.serves(e) {
				continue
			}
			if down {
				r.scheduler.ObserveLoad(sim.wallTime(), e.name, kernel.LoadReport{}, &unreachableError{engine: e.name})
			} else {
				r.scheduler.ObserveLoad(sim.wallTime(), e.name, report, nil)
				r.scheduler.ObserveCache(sim.wallTime(), e.name, kernel.CacheEvents{Events: kept})
			}
			r.scheduleWake(sim.now)
		}
	})
	sim.after(pollInterval, e.poll)
}

func (r *router) serves(e *engine) bool {
	for _, known := range r.engines {
		if known == e {
			return true
		}
	}
	return false
}

// countRecomputed counts the prompt tokens of c that its engine computes although another engine has them cached.
func (sim *simulation) countRecomputed(c *call) {
	best := c.cachedTokens
	for _, e := range sim.engines {
		best = max(best, e.cache.cachedTokens(c))
	}
	sim.recomputedTokens += best - c.cachedTokens
	sim.promptTokens += c.kind.promptTokens
}

// unreachableError is the result of polling an engine that is down.
type unreachableError struct{ engine string }

func (e *unreachableError) Error() string { return "poll " + e.engine + ": connection refused" }
