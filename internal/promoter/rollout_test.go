package promoter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
)

const (
	tick      = 10 * time.Millisecond
	duration  = 12 * time.Second
	routers   = 12
	perSecond = 300.0
	cutAt     = time.Second
	// longFactor makes the requests of one route so long that some are still at the old engines when all routers have moved.
	longFactor = 60
	// timeout is when a request is given up.
	timeout = 4 * time.Second
)

// behaviour is how the engines of the new version answer.
type behaviour struct {
	name string
	good bool
	// failing is the part of the answers that are errors, slow the part that takes factor times as long.
	failing, slow, factor float64
	// from is when it begins, minLoad the number of requests in flight below which it doesn't show, route the only route on
	// which it shows, 0 for all.
	from    time.Duration
	minLoad int
	route   int
}

// fault is what else goes wrong. All of it hits good versions too.
type fault struct {
	name string
	// crashAt is when one engine of each version loses its requests.
	crashAt time.Duration
	// coldFor is how long the engines of the new version work four times slower.
	coldFor time.Duration
	// garbled is the part of all answers that are wrong, lostCalls that of the calls to the decider without an answer.
	garbled, lostCalls float64
	// releaseAt is when the routers start to restart, 300 ms apart.
	releaseAt time.Duration
	// burstFrom is when the rate is tripled for 2 s.
	burstFrom time.Duration
}

type flight struct {
	endAt   time.Duration
	version string
	engine  int
	route   string
	outcome Outcome
	latency time.Duration
	bad     bool
}

type simulated struct {
	gate        *Gate
	incarnation uint64
	flights     []flight
}

// world is a service in virtual time: routers that hold requests, the scheduler on the first of them, engines, the decider
// and the directory.
type world struct {
	behaviour behaviour
	fault     fault
	cut       int
	random    *rand.Rand
	now       time.Duration
	routers   []*simulated
	order     kernel.RolloutOrder
	record    *kernel.RolloutRecord
	decider   *Decider

	requests, exposed, bad int
	// fiftieth is when the 50th bad answer came, lastNew when a router that was not cut off last sent to the new version.
	fiftieth, lastNew time.Duration
	ended             time.Duration
	violation         string
}

func (w *world) at(t time.Duration) time.Time { return time.Unix(1000, 0).Add(t) }

func (w *world) isCut(router int) bool { return router >= routers-w.cut && w.now >= cutAt }

func newWorld(b behaviour, f fault, cut int, seed uint64) *world {
	w := &world{
		behaviour: b, fault: f, cut: cut, random: rand.New(rand.NewPCG(seed, 1)),
		order: kernel.RolloutOrder{Service: "s", To: "v2", Duration: duration, Position: 7},
	}
	for range routers {
		w.routers = append(w.routers, w.start(true))
	}
	return w
}

func (w *world) start(seen bool) *simulated {
	r := &simulated{gate: NewGate(), incarnation: uint64(w.now) + 1}
	r.gate.SetVersions([]string{"v1", "v2"})
	r.gate.SetOrder(w.at(w.now), w.order, seen)
	return r
}

func (w *world) run() {
	for w.now = 0; w.now < duration+5*time.Second; w.now += tick {
		w.restart()
		for i := range w.routers {
			w.finish(i)
			w.arrive(i)
		}
		if w.now%(100*time.Millisecond) == 0 {
			w.decide()
		}
	}
}

func (w *world) restart() {
	if w.fault.releaseAt == 0 || w.now < w.fault.releaseAt || (w.now-w.fault.releaseAt)%(300*time.Millisecond) != 0 {
		return
	}
	i := int((w.now - w.fault.releaseAt) / (300 * time.Millisecond))
	if i >= routers {
		return
	}
	w.routers[i] = w.start(false)
	if i == 0 {
		w.decider = nil
	}
}

func (w *world) finish(i int) {
	r := w.routers[i]
	crash := w.fault.crashAt > 0 && w.now == w.fault.crashAt
	kept := r.flights[:0]
	for _, f := range r.flights {
		if crash && f.engine == 0 {
			f.endAt, f.outcome = w.now, OutcomeLost
		}
		if f.endAt > w.now {
			kept = append(kept, f)
			continue
		}
		r.gate.End(f.version)
		r.gate.Observe(f.version, f.route, f.outcome, f.latency)
		if f.bad {
			if w.bad++; w.bad == 50 {
				w.fiftieth = w.now
			}
		}
	}
	r.flights = kept
}

func (w *world) inFlight(version string) (count int) {
	for _, r := range w.routers {
		count += r.gate.inFlight[version]
	}
	return count
}

// arrive lets requests arrive at a router and sends them where its scheduler grants.
func (w *world) arrive(i int) {
	rate := perSecond / routers * tick.Seconds()
	if w.fault.burstFrom > 0 && w.now >= w.fault.burstFrom && w.now < w.fault.burstFrom+2*time.Second {
		rate *= 3
	}
	for ; rate > w.random.Float64(); rate-- {
		holder, scheduler := w.routers[i].gate, w.routers[0].gate
		if w.isCut(i) {
			scheduler = holder
		}
		holder.Arrived()
		if w.now < duration {
			w.requests++
		}
		now, version := w.at(w.now), "v1"
		left, _ := scheduler.LeaseLeft(now)
		switch {
		case left > 0:
			version = "v2"
			scheduler.Use(1)
		case scheduler.Permit(now, "v2") == Allowed:
			version = "v2"
		case scheduler.Permit(now, "v1") != Allowed:
			continue
		}
		if holder.Begin(now, version) {
			w.send(i, version)
		}
	}
}

func (w *world) send(i int, version string) {
	if version == "v2" {
		if w.now < duration {
			w.exposed++
		}
		if !w.isCut(i) {
			w.lastNew = w.now
		}
	} else if w.record != nil && w.record.Phase == kernel.RolloutCompleted {
		w.violation = fmt.Sprintf("request to an old engine at %v, after completion", w.now)
	}
	route := w.random.IntN(3)
	latency := time.Duration(30 * math.Exp(0.3*w.random.NormFloat64()) * float64(time.Millisecond))
	if route == 2 {
		latency *= longFactor
	}
	f := flight{version: version, route: fmt.Sprint("r", route), engine: w.random.IntN(3)}
	b := &w.behaviour
	if version == "v2" {
		// A cold engine does a quarter of the work per second until it is warm.
		latency += min(3*latency, max(0, w.fault.coldFor-w.now))
		shows := w.now >= b.from && w.inFlight("v2") >= b.minLoad && (b.route == 0 || b.route == route)
		switch draw := w.random.Float64(); {
		case shows && draw < b.failing:
			f.outcome, f.bad = OutcomeFailed, true
		case shows && draw < b.slow:
			latency, f.bad = time.Duration(b.factor*float64(latency)), true
		}
	}
	if w.random.Float64() < w.fault.garbled {
		f.outcome = OutcomeFailed
	}
	f.latency = min(latency, timeout)
	f.endAt = w.now + f.latency
	w.routers[i].flights = append(w.routers[i].flights, f)
}

// decide passes the reports and leases, and lets the decider take a step. The decider runs on the first router.
func (w *world) decide() {
	now := w.at(w.now)
	if w.decider == nil {
		record, ok := Start("r0", w.order, w.record, []string{"v1", "v2"}, now)
		if !ok {
			return
		}
		w.decider = NewDecider(now, now, w.order, record, w.record, DefaultSettings())
	}
	around := Surroundings{MembersKnown: true, Versions: []string{"v1", "v2"}, RecordReadAt: now}
	for i, r := range w.routers {
		name := fmt.Sprint("r", i)
		member := Member{Name: name}
		if w.isCut(i) && w.now > cutAt+2*time.Second {
			member.DeadSince = w.at(cutAt + 2*time.Second)
		}
		around.Members = append(around.Members, member)
		if w.isCut(i) {
			continue
		}
		if w.record != nil {
			r.gate.SetRecord(now, *w.record)
		}
		if !r.gate.Open() {
			continue
		}
		lease := w.decider.Report(now, r.gate.Report(now, name, r.incarnation, i < 2))
		if w.random.Float64() >= w.fault.lostCalls {
			r.gate.SetLease(now, lease)
		}
	}
	record, ok := w.decider.Step(now, around)
	if !ok {
		return
	}
	w.decider.Recorded(now, record)
	w.record = &record
	if record.Phase.Final() {
		w.ended = w.now
		if count := w.inFlight("v1"); record.Phase == kernel.RolloutCompleted && count > 0 {
			w.violation = fmt.Sprintf("%d requests at old engines at completion", count)
		}
	}
}

// TestRollouts guards against versions that get more requests than the contract allows, against good versions that are
// rolled back or late, and against completion while an old engine is in use.
func TestRollouts(t *testing.T) {
	behaviours := []behaviour{
		{name: "good", good: true},
		{name: "bad at once", failing: 0.3},
		{name: "all failing", failing: 1},
		{name: "bad late", failing: 0.3, from: 4 * time.Second},
		{name: "bad after the move", failing: 0.5, from: 6300 * time.Millisecond},
		{name: "bad under load", failing: 0.5, minLoad: 4},
		{name: "bad on one route", failing: 0.6, route: 1},
		{name: "slow", slow: 1, factor: 3},
		{name: "slow in the tail", slow: 0.25, factor: 5},
	}
	faults := []fault{
		{name: "no fault"},
		{name: "crash", crashAt: 3 * time.Second},
		{name: "cold start", coldFor: 2 * time.Second},
		{name: "garbled answers", garbled: 0.02},
		{name: "lost calls", lostCalls: 0.3},
		{name: "release", releaseAt: 2 * time.Second},
		{name: "burst", burstFrom: 3 * time.Second},
	}
	for _, b := range behaviours {
		for _, f := range faults {
			for _, cut := range []int{0, 1, routers / 3} {
				t.Run(fmt.Sprintf("%s/%s/%d cut off", b.name, f.name, cut), func(t *testing.T) {
					for seed := range uint64(2) {
						w := newWorld(b, f, cut, seed)
						w.run()
						w.check(t)
					}
				})
			}
		}
	}
}

func (w *world) check(t *testing.T) {
	t.Helper()
	assert.Assert(t, w.record != nil)
	t.Logf("%s at %v: exposed %d of %d, bad %d, last request %v after the 50th; %s", w.record.Phase, w.ended, w.exposed, w.requests,
		w.bad, w.lastNew-w.fiftieth, w.record.Reason)
	assert.Equal(t, w.violation, "")
	if w.behaviour.good {
		assert.Equal(t, w.record.Phase, kernel.RolloutCompleted)
		assert.Assert(t, w.ended <= duration)
		return
	}
	assert.Equal(t, w.record.Phase, kernel.RolloutRolledBack)
	assert.Assert(t, float64(w.exposed) <= 0.1*float64(w.requests)+50)
	assert.Assert(t, w.fiftieth == 0 || w.lastNew <= w.fiftieth+5*time.Second)
	assert.Assert(t, w.ended <= duration)
}
