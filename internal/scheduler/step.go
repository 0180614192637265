package scheduler

import (
	"math"
	"time"
)

// Step returns the decisions that are due at now.
func (s *Scheduler) Step(now time.Time) []Decision {
	s.engines.now = now
	if now.Sub(s.engines.speeds.at) >= surveyInterval {
		s.engines.survey()
	}
	s.engines.urgentDue()
	s.engines.probeDue(now)
	s.expire(now)
	s.unparkDue(now)
	s.refuseWithoutUpstream(now)

	s.fill(now)
	for _, b := range s.buckets {
		b.pressure.noteQueue(now, b.queued > 0)
	}
	s.shed()
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
	sooner := func(at time.Time) {
		if wake.IsZero() || at.Before(wake) {
			wake = at
		}
	}
	if r, ok := s.deadlines.top(); ok {
		sooner(r.latestStart)
	}
	if l, ok := s.parked.top(); ok {
		sooner(l.wakeAt)
	}
	if s.recheck.After(now) {
		sooner(s.recheck)
	}
	if at := s.engines.nextProbe(); !at.IsZero() {
		sooner(at)
	}
	if s.engines.slots == 0 && s.queued() > 0 {
		sooner(s.engines.noneSince.Add(s.settings.NoUpstreamAfter))
	}
	return wake
}

// refuseWithoutUpstream empties the queue after the pool has had no usable engine for a while.
func (s *Scheduler) refuseWithoutUpstream(now time.Time) {
	if s.engines.slots > 0 || now.Sub(s.engines.noneSince) < s.settings.NoUpstreamAfter {
		return
	}
	for _, r := range s.requests {
		if r.lane != nil {
			s.refuse(r, CodeNoUpstream, "the pool has no usable engine", s.jitter(s.settings.NoUpstreamAfter))
		}
	}
}

// fill grants queued tickets, bucket by bucket, as long as engines have room; first what lower tiers are owed.
func (s *Scheduler) fill(now time.Time) {
	s.fillOwed(now)
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

// recheckAfter is the pause until tickets that wait for the prefills of others are looked at again.
const recheckAfter = 10 * time.Millisecond

// skipLimit bounds the workspaces of a bucket whose first ticket is passed over in one step for lack of room. With
// hundreds of backlogged workspaces and full engines, each step would otherwise look at all of them.
const skipLimit = 16

// fillBucket grants at most limit tickets of one bucket. A length class whose first ticket finds no slot is left out for the
// rest of the step. A ticket that only lacks room holds up its own flow and gets an engine reserved.
func (s *Scheduler) fillBucket(b *bucket, now time.Time, limit int) {
	var blocked [classCount]bool
	var skipped []*flow
	var late aside
	for limit > 0 && s.engines.spare() > 0 {
		f := s.next(b, &blocked)
		if f == nil {
			break
		}
		r := f.first
		if !s.withinLimits(r, now) {
			continue
		}
		if s.engines.fitsNowhere(r) {
			s.engines.reserve(r)
			b.flows[f.class].remove(f)
			if skipped = append(skipped, f); len(skipped) >= skipLimit {
				break
			}
			continue
		}
		if e := s.choose(s.engines, r); e != nil {
			if e = s.inTime(r, e, now); e != nil {
				s.grant(r, e, now)
				limit--
				continue
			}
			// Only busy engines are fast enough; the ticket waits for one until its latest start.
			if !late.add(r) {
				b.flows[f.class].remove(f)
				skipped = append(skipped, f)
			}
			continue
		}
		switch s.engines.blockOf(r) {
		case blockStall:
			// Prefills that are under way end soon, without a message.
			s.recheck = now.Add(recheckAfter)
			if !late.add(r) {
				b.flows[f.class].remove(f)
				skipped = append(skipped, f)
			}
		case blockRoom, blockIsolation:
			s.engines.reserve(r)
			b.flows[f.class].remove(f)
			skipped = append(skipped, f)
		default:
			blocked[f.class] = true
		}
	}
	late.restore()
	for _, f := range skipped {
		f.reorder()
	}
}

// next returns the flow to serve first among the length classes that aren't blocked.
func (s *Scheduler) next(b *bucket, blocked *[classCount]bool) *flow {
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
	a.bucket.virtual = max(a.bucket.virtual, a.counter)
	s.dequeue(r)
	r.charged, r.done = r.cost(), r.cost()
	a.charge(r.charged)
	a.bucket.pressure.granted(now)
	s.engines.start(e, r, now)
	s.startLimits(r, now)
	r.prepaid = 0
	s.grantDecision(r)
}

// shed refuses tickets while the queue is over its limit: from the lowest tier present, within it from the
// workspace furthest over its share, and within that the newest.
func (s *Scheduler) shed() {
	limit := max(1, int(float64(s.settings.MaxQueue)*s.limitShare))
	for s.settings.MaxQueue > 0 && s.queued() > limit {
		for i := len(s.buckets) - 1; i >= 0; i-- {
			if a, ok := s.buckets[i].surplus.top(); ok {
				victim, _ := a.queued.top()
				s.refuseOverloaded(victim, CodeOverloaded, "the queue of the pool is full")
				break
			}
		}
	}
}
