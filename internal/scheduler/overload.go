package scheduler

import (
	"math"
	"time"
)

const (
	// rateDecay is the time constant over which the rate of grants is averaged. It covers several runs of short
	// requests and is short compared with bursts of callers.
	rateDecay = time.Second
	// rateSettleTime is how long a bucket must have had queued tickets before its rate of grants is used to predict
	// waits. Until then engines may still have had free slots.
	rateSettleTime = 100 * time.Millisecond
	// rateWaitFactor reduces the wait that is predicted from the rate of grants. The rate of lower tiers varies, and
	// too short a queue would leave slots free when it rises.
	rateWaitFactor = 0.6
	// retryAfterShare bounds Retry-After to a part of the time left until the deadline. The caller needs the rest for
	// the answer.
	retryAfterShare = 1.0 / 3
)

// decayingSum is a sum with exponential decay, with rateDecay as its time constant, as of at.
type decayingSum struct {
	sum float64
	at  time.Time
}

// value decays the sum to now and returns it.
func (d *decayingSum) value(now time.Time) float64 {
	if passed := now.Sub(d.at); passed > 0 {
		d.sum *= math.Exp(-passed.Seconds() / rateDecay.Seconds())
		d.at = now
	}
	return d.sum
}

func (d *decayingSum) add(now time.Time, amount float64) { d.sum = d.value(now) + amount }

// grantStats measures how fast the tickets of a bucket are granted and how many are refused.
type grantStats struct {
	grants   decayingSum
	refusals decayingSum
	// queuedSince is since when tickets have been queued without a break; zero if none are queued.
	queuedSince time.Time
}

// recordGrant counts a grant.
func (g *grantStats) recordGrant(now time.Time) { g.grants.add(now, 1) }

// recordRefusal counts a ticket that was refused for lack of capacity.
func (g *grantStats) recordRefusal(now time.Time) { g.refusals.add(now, 1) }

// grantRate returns the grants per second.
func (g *grantStats) grantRate(now time.Time) float64 {
	return g.grants.value(now) / rateDecay.Seconds()
}

// grantsOwed returns the number of grants that are missing until the given share of the bucket's recent tickets has
// been granted.
func (g *grantStats) grantsOwed(now time.Time, floor float64) int {
	grants := g.grants.value(now)
	return int((floor*(grants+g.refusals.value(now)) - grants) / (1 - floor))
}

// recordQueue records whether tickets are still queued after the grants of a step.
func (g *grantStats) recordQueue(now time.Time, queued bool) {
	switch {
	case !queued:
		g.queuedSince = time.Time{}
	case g.queuedSince.IsZero():
		g.queuedSince = now
	}
}

// tierFloorCap is the part of the pool's capacity that the tier floors may take from the tiers above. It is plenty for
// short requests, but little for the many long ones of a workspace that sends more than usual.
const tierFloorCap = 0.04

// fillTierFloors grants tickets of tiers that have had less than their floor, within tierFloorCap.
func (s *Scheduler) fillTierFloors(now time.Time) {
	if s.settings.TierFloor <= 0 {
		return
	}
	for _, b := range s.buckets {
		for b.queued > 0 && s.engines.anyOpen() && b.stats.grantsOwed(now, s.settings.TierFloor) > 0 &&
			s.floorWork.value(now) < tierFloorCap*float64(s.engines.slots)*rateDecay.Seconds() {
			before, seconds := b.queued, b.slotSeconds
			s.fillBucket(b, now, 1)
			if b.queued == before {
				break
			}
			s.floorWork.add(now, seconds-b.slotSeconds)
		}
	}
}

// waitAtGrantRate returns how long the ticket would wait behind those of its bucket at the bucket's current rate of
// grants, in seconds. The rate reflects what higher tiers leave over, so it also accounts for their future tickets.
func (s *Scheduler) waitAtGrantRate(r *request, now time.Time) float64 {
	b, a := s.buckets[r.bucket], r.account
	stats := &b.stats
	if stats.queuedSince.IsZero() || now.Sub(stats.queuedSince) < rateSettleTime {
		return 0
	}
	queued := a.queue.len()
	if r.returning {
		queued = a.returning
	}
	ahead := math.Min(float64(b.queued), float64(queued)*b.activeWeight/a.weight)
	return rateWaitFactor * ahead / math.Max(stats.grantRate(now), 1/rateDecay.Seconds())
}

// refuseOverloaded refuses a ticket that can't be served in time, with the time after which a retry may succeed.
func (s *Scheduler) refuseOverloaded(r *request, code, message string) {
	now := s.engines.now
	s.buckets[r.bucket].stats.recordRefusal(now)
	s.refuse(r, code, message, s.retryAfter(r, now))
}
