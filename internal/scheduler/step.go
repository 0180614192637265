package scheduler

import (
	"math"
	"time"
)

// Step returns the decisions that are due at now.
func (s *Scheduler) Step(now time.Time) []Decision {
	s.engines.now = now
	s.engines.expireVersions()
	if s.engines.speedsDue(now) {
		s.engines.refreshSpeeds()
	}
	s.engines.expireUrgentReserve()
	s.engines.probeDue(now)
	s.engines.expire(now)
	s.refuseTooLate(now)
	s.unthrottleDue(now)
	s.refuseWithoutUpstream(now)

	s.fill(now)
	for _, b := range s.buckets {
		b.stats.recordQueue(now, b.queued > 0)
	}
	s.shed()
	s.logPace(now)
	s.dirty = false
	decisions := s.decisions
	s.decisions = nil
	return decisions
}

// NextWake returns when Step has something to do without new input; zero if never.
func (s *Scheduler) NextWake(now time.Time) time.Time {
	if s.dirty || len(s.decisions) > 0 {
		return now
	}
	var wake time.Time
	wakeBy := func(at time.Time) {
		if wake.IsZero() || at.Before(wake) {
			wake = at
		}
	}
	if r, ok := s.deadlines.top(); ok {
		wakeBy(r.latestStart)
	}
	if q, ok := s.throttled.top(); ok {
		wakeBy(q.wakeAt)
	}
	if s.recheckAt.After(now) {
		wakeBy(s.recheckAt)
	}
	if at := s.engines.expireAt; !at.IsZero() {
		wakeBy(at)
	}
	if at := s.engines.nextProbe(); !at.IsZero() {
		wakeBy(at)
	}
	if s.queued() > 0 {
		if since := s.engines.unreachableSince(); !since.IsZero() {
			wakeBy(since.Add(s.settings.NoUpstreamAfter))
		}
	}
	return wake
}

// refuseWithoutUpstream refuses all queued tickets once the pool has had no usable engine for NoUpstreamAfter. An
// engine that holders fail to connect to doesn't count as usable until it answers.
func (s *Scheduler) refuseWithoutUpstream(now time.Time) {
	if since := s.engines.unreachableSince(); since.IsZero() || now.Sub(since) < s.settings.NoUpstreamAfter {
		return
	}
	for _, r := range s.requests {
		if r.workQueue != nil {
			s.refuse(r, CodeNoUpstream, "the pool has no usable engine", s.jitter(s.settings.NoUpstreamAfter))
		}
	}
}

// fill grants queued tickets, bucket by bucket, as long as engines have room. The tier floors come first.
func (s *Scheduler) fill(now time.Time) {
	s.fillTierFloors(now)
	for _, b := range s.buckets {
		if b.queued == 0 {
			continue
		}
		if !s.engines.anyOpen() {
			return
		}
		s.fillBucket(b, now, math.MaxInt)
	}
}

// prefillRecheckInterval is the delay until tickets that wait for prefills of other requests are checked again.
const prefillRecheckInterval = 10 * time.Millisecond

// maxSkippedFlows bounds the flows of a bucket whose first ticket is passed over in one step for lack of room. With
// hundreds of backlogged workspaces and full engines, each step would otherwise look at all of them.
const maxSkippedFlows = 16

// fillBucket grants at most limit tickets of one bucket. A length class is left out for the rest of the step once its
// first ticket finds no free slot. A ticket that only lacks token room, or an idle engine to run alone on, blocks only
// its own flow and gets an engine reserved.
func (s *Scheduler) fillBucket(b *bucket, now time.Time, limit int) {
	var blocked [classCount]bool
	var skipped []*flow
	var deferred deferredTickets
	// skip leaves a flow out for the rest of the step, postpone only its first ticket if there is room to remember it.
	skip := func(f *flow) {
		b.flows[f.class].remove(f)
		skipped = append(skipped, f)
	}
	postpone := func(f *flow, r *request) {
		if !deferred.add(r) {
			skip(f)
		}
	}
	for limit > 0 && s.engines.spareSlots() > 0 {
		f := s.nextFlow(b, &blocked)
		if f == nil {
			break
		}
		r := f.head
		if !s.withinLimits(r, now) {
			continue
		}
		s.engines.updateAlternative(r, now)
		if s.engines.fitsNowhere(r) {
			s.engines.reserve(r)
			if skip(f); len(skipped) >= maxSkippedFlows {
				break
			}
			continue
		}
		if e := s.chooseVersion(r); e != nil {
			if e = s.engineInTime(r, e, now); e != nil {
				s.grant(r, e, now)
				limit--
				continue
			}
			// Only engines without a free slot are fast enough; the ticket waits for one of them until its latest
			// start, or until an engine that is slow now recovers, which no message tells.
			if s.engines.anySlow() {
				s.recheckBy(now, now.Add(prefillRecheckInterval))
			}
			postpone(f, r)
			continue
		}
		switch s.engines.blockOf(r) {
		case blockStall, blockTakeover, blockPace:
			// The prefills in progress, or the wait for the reports of the holders, end soon, but no message tells when.
			// Shorter prompts may still be granted.
			s.recheckBy(now, now.Add(prefillRecheckInterval))
			postpone(f, r)
		case blockPaused:
			// Other holders' tickets may still be granted.
			s.recheckBy(now, s.engines.nextPauseEnd(r.holder, now))
			postpone(f, r)
		case blockAvoided:
			// Engines that haven't failed the request are in use.
			if r.avoidUntil.After(now) {
				s.recheckBy(now, r.avoidUntil)
			}
			postpone(f, r)
		case blockRoom, blockIsolation:
			s.engines.reserve(r)
			skip(f)
		default:
			blocked[f.class] = true
		}
	}
	deferred.restore()
	for _, f := range skipped {
		f.reorder()
	}
}

// recheckBy makes the next step come by a time.
func (s *Scheduler) recheckBy(now, at time.Time) {
	if !s.recheckAt.After(now) || at.Before(s.recheckAt) {
		s.recheckAt = at
	}
}

// nextFlow returns the flow to serve first among the length classes that aren't blocked.
func (s *Scheduler) nextFlow(b *bucket, blocked *[classCount]bool) *flow {
	var first *flow
	for class, flows := range b.flows {
		if blocked[class] {
			continue
		}
		if f, ok := flows.top(); ok && (first == nil || s.order.Before(f, first)) {
			first = f
		}
	}
	return first
}

func (s *Scheduler) grant(r *request, e *engine, now time.Time) {
	a := r.account
	a.bucket.virtualTime = max(a.bucket.virtualTime, a.counter)
	s.dequeue(r)
	r.charged, r.workDone = r.cost(), r.cost()
	a.charge(r.charged)
	a.bucket.stats.recordGrant(now)
	s.engines.start(e, r, now)
	s.startLimits(r, now)
	s.grantDecision(r)
}

// shed refuses tickets while the queue is over its limit: from the lowest tier present, there from the workspace that
// exceeds its share the most, and of that workspace the newest ticket.
func (s *Scheduler) shed() {
	limit := max(1, int(float64(s.settings.MaxQueue)*s.limitShare))
	for s.settings.MaxQueue > 0 && s.queued() > limit {
		for i := len(s.buckets) - 1; i >= 0; i-- {
			if a, ok := s.buckets[i].shedOrder.top(); ok {
				victim, _ := a.queue.top()
				s.refuseOverloaded(victim, CodeOverloaded, "the queue of the pool is full")
				break
			}
		}
	}
}
