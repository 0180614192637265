package scheduler

import (
	"math"
	"time"
)

const (
	// paceMemory is the time over which the pace of grants is averaged: some runs of a short request, and short against
	// the bursts of callers.
	paceMemory = time.Second
	// paceSettle is how long tickets have to wait before the pace of grants says how long others will. Until then the
	// engines may have free slots.
	paceSettle = 100 * time.Millisecond
	// paceCaution is the part of the wait by the pace of grants that counts: the pace of lower tiers varies, and a queue that
	// is too short leaves slots free when it rises.
	paceCaution = 0.6
	// returnShare is the part of its time left for which a refused caller is asked to wait at most: it needs the rest for
	// the answer.
	returnShare = 1.0 / 3
)

// decaying is a sum with exponential decay over paceMemory, as of at.
type decaying struct {
	sum float64
	at  time.Time
}

// value returns the sum at now.
func (d *decaying) value(now time.Time) float64 {
	if passed := now.Sub(d.at); passed > 0 {
		d.sum *= math.Exp(-passed.Seconds() / paceMemory.Seconds())
		d.at = now
	}
	return d.sum
}

func (d *decaying) add(now time.Time, amount float64) { d.sum = d.value(now) + amount }

// pressure tells how fast the tickets of a bucket are granted, and which part of them is refused.
type pressure struct {
	grants   decaying
	refusals decaying
	// waitingSince is since when there are waiting tickets all the time; zero if there are none.
	waitingSince time.Time
}

// granted counts a grant.
func (p *pressure) granted(now time.Time) { p.grants.add(now, 1) }

// refused counts a ticket that was refused for lack of capacity.
func (p *pressure) refused(now time.Time) { p.refusals.add(now, 1) }

// pace is in grants a second.
func (p *pressure) pace(now time.Time) float64 { return p.grants.value(now) / paceMemory.Seconds() }

// owed is the number of grants until a part of the bucket's tickets has been served.
func (p *pressure) owed(now time.Time, floor float64) int {
	grants := p.grants.value(now)
	return int((floor*(grants+p.refusals.value(now)) - grants) / (1 - floor))
}

// noteQueue notes whether tickets wait after the grants of a step.
func (p *pressure) noteQueue(now time.Time, waiting bool) {
	switch {
	case !waiting:
		p.waitingSince = time.Time{}
	case p.waitingSince.IsZero():
		p.waitingSince = now
	}
}

// owedShare is the part of the pool that grants to starved tiers may take from the tiers above them: much for short requests,
// little for the many long ones of a workspace that sends more than it usually does.
const owedShare = 0.04

// fillOwed grants what starved tiers are owed, within owedShare.
func (s *Scheduler) fillOwed(now time.Time) {
	if s.settings.TierFloor <= 0 {
		return
	}
	for _, b := range s.buckets {
		for b.queued > 0 && s.engines.anyOpen() && b.pressure.owed(now, s.settings.TierFloor) > 0 &&
			s.owed.value(now) < owedShare*float64(s.engines.slots)*paceMemory.Seconds() {
			before, seconds := b.queued, b.seconds
			s.fillBucket(b, now, 1)
			if b.queued == before {
				break
			}
			s.owed.add(now, seconds-b.seconds)
		}
	}
}

// pacedWait is how long the ticket would wait behind those of its bucket at the pace at which these are granted, in seconds.
// That pace holds what the tickets of higher tiers leave, those to come too.
func (s *Scheduler) pacedWait(r *request, now time.Time) float64 {
	b, a := s.buckets[r.bucket], r.account
	p := &b.pressure
	if p.waitingSince.IsZero() || now.Sub(p.waitingSince) < paceSettle {
		return 0
	}
	ahead := math.Min(float64(b.queued), float64(a.queued.len())*b.activeWeight/a.weight)
	return paceCaution * ahead / math.Max(p.pace(now), 1/paceMemory.Seconds())
}

// refuseOverloaded refuses a ticket that can't be served in time, and tells its caller when to come back.
func (s *Scheduler) refuseOverloaded(r *request, code, message string) {
	now := s.engines.now
	s.buckets[r.bucket].pressure.refused(now)
	s.refuse(r, code, message, s.retryAfter(r, now))
}

// retryAfter is the expected time until the queue of the ticket's tier and those above it has drained, with jitter so that
// refused callers don't return together.
func (s *Scheduler) retryAfter(r *request, now time.Time) time.Duration {
	wait := s.jitter(seconds(s.drainSeconds(r.bucket)))
	if r.deadline.IsZero() {
		return wait
	}
	return max(s.settings.RetryAfterMin, min(wait, time.Duration(float64(r.deadline.Sub(now))*returnShare)))
}
