package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

const (
	tick = 10 * time.Millisecond
	// An engine makes the first event of an answer after firstEventTime and the last one after runTime. It is down for
	// downTime after a crash.
	firstEventTime = 80 * time.Millisecond
	runTime        = 400 * time.Millisecond
	downTime       = 3 * time.Second
	enginesOfCell  = 6
)

// crashDay is a scenario: the requests that come, and what ends or seems to end the engines.
type crashDay struct {
	name   string
	length time.Duration
	// tainted and sound return the parts of the nth request that has, and that doesn't have, one of the deadly parts. A
	// tainted request comes every taintedEvery, a sound one every 20 ms.
	tainted, sound func(n int) []uint64
	taintedEvery   time.Duration
	// deadlyParts crash engines until deadlyUntil, or always if that is 0.
	deadlyParts []uint64
	deadlyUntil time.Duration
	// kill names the engines that end at a time for another reason, after they have left if planned is set. cut names those
	// whose connections break.
	kill, cut func(at time.Duration) []int
	planned   bool
	// lossDelay is the longest time until a scheduler learns of a lost run. lostReports of 100 losses never reach it.
	lossDelay   time.Duration
	lostReports int
	// withoutPolls leaves only failed connections as evidence of a crash.
	withoutPolls bool
	// cells is the number of schedulers, which exchange convictions every gossipEvery. takeover is when another scheduler
	// takes the place of the first one, which passes its convictions on if handover is set.
	cells                 int
	gossipEvery, takeover time.Duration
	handover              bool
	// retries is how often a refused or lost request is submitted again.
	retries int
	// maxCrashes bounds the crashes, if it isn't 0. served is the least share of the sound runs that begin to be answered.
	maxCrashes int
	served     float64
}

// crashSimulation plays a day in steps of tick.
type crashSimulation struct {
	t       *testing.T
	day     crashDay
	random  *rand.Rand
	elapsed time.Duration
	cells   []*cell
	engines []*crashEngine
	// pending are reports that reach a scheduler later.
	pending  []func() bool
	requests map[string]*crashRequest

	crashes, deadlyRuns []time.Duration
	soundRuns, begun    int
}

type crashRequest struct {
	ticket  *protocol.Ticket
	tainted bool
	retries int
}

type crashEngine struct {
	name           string
	cell, instance int
	downTill       time.Duration
	running        map[string]time.Duration
}

func newCrashSimulation(t *testing.T, day crashDay) *crashSimulation {
	s := &crashSimulation{t: t, day: day, random: rand.New(rand.NewPCG(1, 2)), requests: make(map[string]*crashRequest)}
	for n := range max(1, day.cells) {
		s.cells = append(s.cells, s.newCell())
		for e := range enginesOfCell {
			s.engines = append(s.engines, &crashEngine{name: fmt.Sprint("e", e), cell: n, running: make(map[string]time.Duration)})
		}
	}
	s.poll()
	return s
}

func (s *crashSimulation) newCell() *cell {
	c := newTestCell(enginesOfCell, 6, func(settings *Settings) {
		settings.Isolation.CrashLimit = 3
		settings.StragglerCap, settings.ProbeAfter = 0, time.Second
		settings.Retries.Ratio, settings.Retries.Burst = 1, 1e6
	})
	c.now = start.Add(s.elapsed)
	return c
}

func (s *crashSimulation) play() {
	tainted := 0
	for ; s.elapsed < s.day.length; s.elapsed += tick {
		for _, c := range s.cells {
			c.now = start.Add(s.elapsed)
		}
		if s.day.takeover > 0 && s.elapsed == s.day.takeover {
			s.takeOver()
		}
		s.pending = slices.DeleteFunc(s.pending, func(report func() bool) bool { return report() })
		if s.every(20 * time.Millisecond) {
			s.submit(&crashRequest{ticket: &protocol.Ticket{Parts: s.day.sound(len(s.requests))}})
		}
		if s.every(s.day.taintedEvery) {
			s.submit(&crashRequest{ticket: &protocol.Ticket{Parts: s.day.tainted(tainted)}, tainted: true})
			tainted++
		}
		s.forEach(s.day.kill, s.end)
		s.forEach(s.day.cut, s.loseRuns)
		if s.every(time.Second) {
			s.poll()
		}
		if s.every(s.day.gossipEvery) {
			s.gossip()
		}
		s.run()
		s.decide()
	}
}

func (s *crashSimulation) every(interval time.Duration) bool {
	return interval > 0 && s.elapsed%interval == 0
}

func (s *crashSimulation) forEach(names func(time.Duration) []int, do func(*crashEngine)) {
	if names != nil {
		for _, n := range names(s.elapsed) {
			do(s.engines[n])
		}
	}
}

// submit gives a new request an id, and a fingerprint unless it is a retry, and submits it to any scheduler.
func (s *crashSimulation) submit(r *crashRequest) {
	number := len(s.requests) + 1
	ticket := r.ticket
	ticket.RequestId, ticket.Pool, ticket.PromptTokens, ticket.OutputTokens = fmt.Sprint("r", number), "briefs", 100, 100
	ticket.Workspace, ticket.Work = fmt.Sprint("w", number%4), fmt.Sprint("work", number%3)
	if ticket.Fingerprint == 0 {
		ticket.Fingerprint = uint64(1_000_000 + number)
	}
	s.requests[ticket.RequestId] = r
	c := s.cells[s.random.IntN(len(s.cells))]
	c.Submit(c.now, "h", ticket)
}

func (s *crashSimulation) retry(r *crashRequest) {
	if r.retries < s.day.retries {
		again := &protocol.Ticket{Parts: r.ticket.Parts, Fingerprint: r.ticket.Fingerprint}
		s.submit(&crashRequest{ticket: again, tainted: r.tainted, retries: r.retries + 1})
	}
}

// decide applies the grants and refusals of all schedulers.
func (s *crashSimulation) decide() {
	for n, c := range s.cells {
		grants, refusals := c.step()
		for _, g := range grants {
			i := slices.IndexFunc(s.engines, func(e *crashEngine) bool { return e.cell == n && e.name == g.Engine })
			if e := s.engines[i]; s.elapsed < e.downTill {
				c.finish(g, protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE, 0)
			} else {
				e.running[g.RequestId] = s.elapsed
				s.count(s.requests[g.RequestId])
			}
		}
		for _, refusal := range refusals {
			r := s.requests[refusal.RequestId]
			if refusal.Code == CodePoison && !r.tainted {
				s.t.Errorf("%s: a sound request was refused at %s: %s", s.day.name, s.elapsed, refusal.Message)
			}
			s.retry(r)
		}
	}
}

func (s *crashSimulation) count(r *crashRequest) {
	if s.deadly(r) {
		s.deadlyRuns = append(s.deadlyRuns, s.elapsed)
	}
	if !r.tainted {
		s.soundRuns++
	}
}

func (s *crashSimulation) deadly(r *crashRequest) bool {
	return (s.day.deadlyUntil == 0 || s.elapsed < s.day.deadlyUntil) &&
		slices.ContainsFunc(r.ticket.Parts, func(part uint64) bool { return slices.Contains(s.day.deadlyParts, part) })
}

// run lets the engines begin and end their answers, and crash when they begin one to a request with a deadly part.
func (s *crashSimulation) run() {
	for _, e := range s.engines {
		for _, id := range slices.Sorted(maps.Keys(e.running)) {
			since := e.running[id]
			c := s.cells[e.cell]
			switch age := s.elapsed - since; {
			case age >= firstEventTime && s.deadly(s.requests[id]):
				s.crashes = append(s.crashes, s.elapsed)
				s.end(e)
			case age >= runTime:
				delete(e.running, id)
				s.countBegun(id)
				c.answer(&protocol.Grant{RequestId: id, Engine: e.name}, 100, 100)
			}
		}
	}
}

func (s *crashSimulation) countBegun(id string) {
	if !s.requests[id].tainted {
		s.begun++
	}
}

// end ends an engine and its runs.
func (s *crashSimulation) end(e *crashEngine) {
	if s.elapsed < e.downTill {
		return
	}
	if c := s.cells[e.cell]; s.day.planned {
		c.SetLeaving(c.now, e.name, true)
	}
	e.downTill = s.elapsed + downTime
	e.instance++
	s.loseRuns(e)
}

// loseRuns breaks the connections of all runs of an engine.
func (s *crashSimulation) loseRuns(e *crashEngine) {
	for _, id := range slices.Sorted(maps.Keys(e.running)) {
		since := e.running[id]
		r := s.requests[id]
		release := &protocol.Release{
			RequestId: id, Engine: e.name, Kind: lost, Fingerprint: r.ticket.Fingerprint, Begun: s.elapsed-since > firstEventTime,
		}
		if release.Begun {
			s.countBegun(id)
		}
		if s.random.IntN(100) < s.day.lostReports {
			release.Kind = protocol.ReleaseKind_RELEASE_KIND_CANCELLED
		}
		at := s.elapsed + tick + time.Duration(s.random.Int64N(int64(s.day.lossDelay)+1))
		s.pending = append(s.pending, func() bool {
			if s.elapsed < at {
				return false
			}
			c := s.cells[e.cell]
			c.Release(c.now, "h", release)
			s.retry(r)
			return true
		})
	}
	e.running = make(map[string]time.Duration)
}

func (s *crashSimulation) poll() {
	for _, e := range s.engines {
		c := s.cells[e.cell]
		switch {
		case s.day.withoutPolls && s.elapsed > 0:
		case s.elapsed < e.downTill:
			c.ObserveLoad(c.now, e.name, kernel.LoadReport{}, errPoll)
		default:
			c.SetLeaving(c.now, e.name, false)
			c.report(e.name, fmt.Sprint(e.instance))
		}
	}
}

func (s *crashSimulation) gossip() {
	for _, from := range s.cells {
		for _, to := range s.cells {
			to.AddConvictions(to.now, from.Convictions(from.now))
		}
	}
}

// takeOver replaces the first scheduler by another one, which adopts the runs.
func (s *crashSimulation) takeOver() {
	old, next := s.cells[0], s.newCell()
	s.cells[0] = next
	if s.day.handover {
		next.AddConvictions(next.now, old.Convictions(old.now))
	}
	for _, e := range s.engines {
		for _, id := range slices.Sorted(maps.Keys(e.running)) {
			since := e.running[id]
			if e.cell == 0 {
				next.Adopt(next.now, "h", s.requests[id].ticket, e.name, s.elapsed-since)
			}
		}
	}
}
