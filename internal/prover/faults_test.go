package prover_test

import (
	"time"

	"coltsfootplank/internal/checker"
	"coltsfootplank/internal/fakes"
	"coltsfootplank/internal/kernel"
)

const (
	drainDelay = 2 * time.Second
	longStream = 400 // tokens
)

// fault is switched on where a step was seen, and off after a while. on may run in a goroutine of the product and does
// not block. again runs each second meanwhile.
type fault struct {
	name  string
	lasts time.Duration
	on    func(c *cluster, at target)
	off   func(c *cluster, at target)
	again func(c *cluster, at target)
}

// others calls f with every router but one.
func (c *cluster) others(name string, f func(other string)) {
	for _, other := range []string{"r1", "r2", "r3", "r4"} {
		if other != name {
			f(other)
		}
	}
}

func cutIn(cut bool) func(*cluster, target) {
	return func(c *cluster, at target) {
		c.others(at.router, func(other string) { c.network.Cut(other, at.router, cut) })
	}
}

func cutOut(cut bool) func(*cluster, target) {
	return func(c *cluster, at target) {
		c.others(at.router, func(other string) { c.network.Cut(at.router, other, cut) })
	}
}

func logDown(down bool) func(*cluster, target) {
	return func(c *cluster, _ target) { c.log.SetOutage(down) }
}

// freeze stands a router still; its catalogue is not judged until some seconds after it goes on.
func freeze(frozen bool) func(*cluster, target) {
	return func(c *cluster, at target) {
		c.network.Freeze(at.router, frozen)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.thawed[at.router] = time.Now().Add(time.Hour)
		if !frozen {
			c.thawed[at.router] = time.Now().Add(10 * time.Second)
		}
	}
}

// loseAnswers loses the answer of every append, in turn of one that took effect, one that didn't and one that will.
func loseAnswers(c *cluster, _ target) {
	count := 0
	c.log.SetAppendOutcome(func(string, []byte) fakes.AppendOutcome {
		count++
		return []fakes.AppendOutcome{fakes.AppendStoredUnacked, fakes.AppendDroppedUnacked, fakes.AppendDelayedUnacked}[count%3]
	})
}

func eachUpstream(change func(u *upstream)) func(*cluster, target) {
	return func(c *cluster, _ target) {
		for _, u := range append(append([]*upstream{}, c.engines...), c.desks...) {
			u.set(func() { change(u) })
		}
	}
}

// answers decides what becomes of the answers of all upstreams, which run the requests all the same.
func answers(fate answerFate) func(*cluster, target) {
	return eachUpstream(func(u *upstream) { u.answers = fate })
}

// upstream returns the upstream of the step, or the first engine.
func (c *cluster) upstream(at target) *upstream {
	for _, u := range append(append([]*upstream{}, c.engines...), c.desks...) {
		if u.name == at.upstream {
			return u
		}
	}
	return c.engines[0]
}

func pace(times int) func(*cluster, target) {
	return func(c *cluster, at target) { u := c.upstream(at); u.set(func() { u.pace = times }) }
}

var faults = []fault{
	{name: "kill", lasts: time.Second, on: func(c *cluster, at target) { c.kill(at.router) }},
	{name: "freeze", lasts: 14 * time.Second, on: freeze(true), off: freeze(false)},
	{name: "cut_in", lasts: 10 * time.Second, on: cutIn(true), off: cutIn(false)},
	{name: "cut_out", lasts: 10 * time.Second, on: cutOut(true), off: cutOut(false)},
	{name: "log_down", lasts: 8 * time.Second, on: logDown(true), off: logDown(false)},
	{name: "append_answer_lost", lasts: 6 * time.Second, on: loseAnswers,
		again: func(c *cluster, _ target) { c.log.StoreDelayed() },
		off:   func(c *cluster, _ target) { c.log.SetAppendOutcome(nil); c.log.StoreDelayed() }},
	{name: "engine_crash", lasts: 4 * time.Second,
		on:  func(c *cluster, at target) { c.upstream(at).crash() },
		off: func(c *cluster, at target) { c.upstream(at).restart() }},
	{name: "answers_reset", lasts: 4 * time.Second, on: answers(answersReset), off: answers(answersArrive)},
	{name: "answers_silent", lasts: 4 * time.Second, on: answers(answersSilent), off: answers(answersArrive)},
	{name: "answers_half", lasts: 4 * time.Second, on: answers(answersHalf), off: answers(answersArrive)},
	{name: "log_slow", lasts: 10 * time.Second,
		on:  func(c *cluster, _ target) { c.log.SetDelay(2 * time.Second) },
		off: func(c *cluster, _ target) { c.log.SetDelay(0) }},
	// A round trip stays within the delay up to which the checker orders events.
	{name: "slow_messages", lasts: 10 * time.Second,
		on:  func(c *cluster, _ target) { c.network.SetDelay(45 * time.Millisecond) },
		off: func(c *cluster, _ target) { c.network.SetDelay(0) }},
	{name: "lost_messages", lasts: 8 * time.Second,
		on:    func(c *cluster, _ target) { c.network.SetLoss(3); c.network.BreakStreams() },
		again: func(c *cluster, _ target) { c.network.BreakStreams() },
		off:   func(c *cluster, _ target) { c.network.SetLoss(0) }},
	{name: "straggler", lasts: 10 * time.Second, on: pace(15), off: pace(1)},
	{name: "stale_load", lasts: 10 * time.Second,
		on: eachUpstream(func(u *upstream) {
			report := u.report()
			report.AgeMS = 8000
			u.stale = &report
		}),
		off: eachUpstream(func(u *upstream) { u.stale = nil })},
	{name: "cache_events_missing", lasts: 10 * time.Second,
		on:  eachUpstream(func(u *upstream) { u.events = false }),
		off: eachUpstream(func(u *upstream) { u.events = true })},
	{name: "vm_list_late", lasts: 10 * time.Second,
		on:  func(c *cluster, _ target) { c.mu.Lock(); c.vmsLate = true; c.mu.Unlock() },
		off: func(c *cluster, _ target) { c.mu.Lock(); c.vmsLate = false; c.mu.Unlock() }},
	// The step stays below the difference between two clocks that the claims allow for.
	{name: "clock_step", lasts: 10 * time.Second, on: stepClock(30 * time.Second), off: stepClock(0)},
	{name: "racing_operators", lasts: 6 * time.Second, on: race, again: race},
}

// race lets an operator at each router edit the same revision.
func race(c *cluster, _ target) {
	for _, name := range c.live() {
		c.group.Go(func() error { c.edit(name); return nil })
	}
}

// stepClock moves the wall clock of a router.
func stepClock(by time.Duration) func(*cluster, target) {
	return func(c *cluster, at target) { c.router(at.router).clock.Store(int64(by)) }
}

// leave marks an engine as leaving, in the VM list and in its load report, and stops a router as planned, right after it
// has accepted a long stream.
func (c *cluster) leave(name string) {
	engine, r := c.engines[1], c.router(name)
	engine.set(func() { engine.draining = true })
	c.mu.Lock()
	c.vms = []kernel.VM{{Address: engine.address, Role: "engine", State: kernel.VMLeaving}}
	c.history.MarkedLeaving = append(c.history.MarkedLeaving, checker.MarkedLeaving{At: time.Now(), Upstream: engine.name})
	c.mu.Unlock()
	c.group.Go(func() error { c.serve(name, "tag", "", longStream, false); return nil })
	time.Sleep(time.Second)
	r.detector.Leave(r.ctx)
	time.Sleep(drainDelay)
	_ = r.holder.Drain(r.ctx) // what it leaves unfinished shows in the history
	r.detector.Depart(r.ctx)
	c.mu.Lock()
	c.history.Stops = append(c.history.Stops, checker.Stop{At: time.Now(), Router: name})
	c.mu.Unlock()
	r.cancel()
}
