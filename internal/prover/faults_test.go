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

// fault is injected when and where a step occurs, and removed after duration. on may run in a goroutine of the code under
// test, so it must not block. repeat runs each second while the fault lasts.
type fault struct {
	name     string
	duration time.Duration
	on       func(c *cluster, at location)
	off      func(c *cluster, at location)
	repeat   func(c *cluster, at location)
}

// otherRouters calls f with the name of every router except one.
func (c *cluster) otherRouters(name string, f func(other string)) {
	for _, other := range []string{"r1", "r2", "r3", "r4"} {
		if other != name {
			f(other)
		}
	}
}

func cutIn(cut bool) func(*cluster, location) {
	return func(c *cluster, at location) {
		c.otherRouters(at.router, func(other string) { c.network.Cut(other, at.router, cut) })
	}
}

func cutOut(cut bool) func(*cluster, location) {
	return func(c *cluster, at location) {
		c.otherRouters(at.router, func(other string) { c.network.Cut(at.router, other, cut) })
	}
}

func logDown(down bool) func(*cluster, location) {
	return func(c *cluster, _ location) { c.log.SetOutage(down) }
}

// freeze freezes or unfreezes a router. Its catalogue is not sampled until 10 s after it has been unfrozen.
func freeze(frozen bool) func(*cluster, location) {
	return func(c *cluster, at location) {
		c.network.Freeze(at.router, frozen)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.sampledFrom[at.router] = time.Now().Add(time.Hour)
		if !frozen {
			c.sampledFrom[at.router] = time.Now().Add(10 * time.Second)
		}
	}
}

// loseAcks loses the acknowledgement of every append. In turn, a record is stored, dropped or stored later.
func loseAcks(c *cluster, _ location) {
	count := 0
	c.log.SetAppendOutcome(func(string, []byte) fakes.AppendOutcome {
		count++
		return []fakes.AppendOutcome{fakes.AppendStoredUnacked, fakes.AppendDroppedUnacked, fakes.AppendDelayedUnacked}[count%3]
	})
}

func changeUpstreams(change func(u *upstream)) func(*cluster, location) {
	return func(c *cluster, _ location) {
		for _, u := range append(append([]*upstream{}, c.engines...), c.desks...) {
			u.set(func() { change(u) })
		}
	}
}

// answerWith sets what happens to the answers of all upstreams, which run the requests in any mode.
func answerWith(mode answerMode) func(*cluster, location) {
	return changeUpstreams(func(u *upstream) { u.answers = mode })
}

// upstream returns the upstream where the step occurred, or the first engine if the step involved none.
func (c *cluster) upstream(at location) *upstream {
	for _, u := range append(append([]*upstream{}, c.engines...), c.desks...) {
		if u.name == at.upstream {
			return u
		}
	}
	return c.engines[0]
}

func slowDown(factor int) func(*cluster, location) {
	return func(c *cluster, at location) { u := c.upstream(at); u.set(func() { u.slowdown = factor }) }
}

var faults = []fault{
	{name: "kill", duration: time.Second, on: func(c *cluster, at location) { c.kill(at.router) }},
	{name: "freeze", duration: 14 * time.Second, on: freeze(true), off: freeze(false)},
	{name: "cut_in", duration: 10 * time.Second, on: cutIn(true), off: cutIn(false)},
	{name: "cut_out", duration: 10 * time.Second, on: cutOut(true), off: cutOut(false)},
	{name: "log_down", duration: 8 * time.Second, on: logDown(true), off: logDown(false)},
	{name: "append_answer_lost", duration: 6 * time.Second, on: loseAcks,
		repeat: func(c *cluster, _ location) { c.log.StoreDelayed() },
		off:    func(c *cluster, _ location) { c.log.SetAppendOutcome(nil); c.log.StoreDelayed() }},
	{name: "engine_crash", duration: 4 * time.Second,
		on:  func(c *cluster, at location) { c.upstream(at).crash() },
		off: func(c *cluster, at location) { c.upstream(at).restart() }},
	{name: "answers_reset", duration: 4 * time.Second, on: answerWith(answersReset), off: answerWith(answersNormal)},
	{name: "answers_silent", duration: 4 * time.Second, on: answerWith(answersSilent), off: answerWith(answersNormal)},
	{name: "answers_half", duration: 4 * time.Second, on: answerWith(answersHalf), off: answerWith(answersNormal)},
	{name: "log_slow", duration: 10 * time.Second,
		on:  func(c *cluster, _ location) { c.log.SetDelay(2 * time.Second) },
		off: func(c *cluster, _ location) { c.log.SetDelay(0) }},
	// A round trip stays below checker.Bounds.MessageDelay, within which the checker doesn't order events.
	{name: "slow_messages", duration: 10 * time.Second,
		on:  func(c *cluster, _ location) { c.network.SetDelay(45 * time.Millisecond) },
		off: func(c *cluster, _ location) { c.network.SetDelay(0) }},
	{name: "lost_messages", duration: 8 * time.Second,
		on:     func(c *cluster, _ location) { c.network.SetLoss(3); c.network.BreakStreams() },
		repeat: func(c *cluster, _ location) { c.network.BreakStreams() },
		off:    func(c *cluster, _ location) { c.network.SetLoss(0) }},
	{name: "straggler", duration: 10 * time.Second, on: slowDown(15), off: slowDown(1)},
	{name: "stale_load", duration: 10 * time.Second,
		on: changeUpstreams(func(u *upstream) {
			report := u.report()
			report.AgeMS = 8000
			u.stale = &report
		}),
		off: changeUpstreams(func(u *upstream) { u.stale = nil })},
	{name: "cache_events_missing", duration: 10 * time.Second,
		on:  changeUpstreams(func(u *upstream) { u.cacheEvents = false }),
		off: changeUpstreams(func(u *upstream) { u.cacheEvents = true })},
	{name: "vm_list_late", duration: 10 * time.Second,
		on:  func(c *cluster, _ location) { c.mu.Lock(); c.vmListUnavailable = true; c.mu.Unlock() },
		off: func(c *cluster, _ location) { c.mu.Lock(); c.vmListUnavailable = false; c.mu.Unlock() }},
	// The offset is smaller than the clock difference that claims tolerate, claimer.Options.ClockSkew.
	{name: "clock_step", duration: 10 * time.Second, on: stepClock(30 * time.Second), off: stepClock(0)},
	{name: "racing_operators", duration: 6 * time.Second, on: editEverywhere, repeat: editEverywhere},
}

// editEverywhere lets one operator at each router edit the same catalogue revision concurrently.
func editEverywhere(c *cluster, _ location) {
	for _, name := range c.liveRouters() {
		c.group.Go(func() error { c.edit(name); return nil })
	}
}

// stepClock sets the offset of a router's wall clock.
func stepClock(by time.Duration) func(*cluster, location) {
	return func(c *cluster, at location) { c.router(at.router).clockOffset.Store(int64(by)) }
}

// leave marks an engine as leaving, in the VM list and in its load report, and then makes a planned stop of a router that
// has just accepted a long stream.
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
	_ = r.holder.Drain(r.ctx) // the checker finds unfinished requests in the history
	r.detector.Depart(r.ctx)
	c.mu.Lock()
	c.history.Stops = append(c.history.Stops, checker.Stop{At: time.Now(), Router: name})
	c.mu.Unlock()
	r.cancel()
}
