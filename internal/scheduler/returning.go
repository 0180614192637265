package scheduler

import (
	"math"
	"time"
)

const (
	// returnShare is the part of a tier's grants that is promised to callers that come back. In an overload that lasts, more
	// would leave nothing to new requests, all of which would then be served late instead.
	returnShare = 0.5
	// returnSlot is the shortest interval for which promised returns are counted, and returnSlots the largest number of
	// intervals that are looked at for one refusal. Intervals are four times as long on each further level.
	returnSlot  = 10 * time.Millisecond
	returnSlots = 128
	// minReturnsPerSlot is the smallest number of promised returns of an interval, so that intervals of tiers with few
	// grants aren't rounded to none.
	minReturnsPerSlot = 2
	// returnGrace is how long after its promised return a request still counts as returning.
	returnGrace = time.Second
	// maxReturning bounds the refused requests that are remembered: several seconds of the refusals of an overload.
	maxReturning = 4096
)

// returnSchedule holds the times at which the refused callers of a tier were told to return. Without it, the callers that a
// burst makes a tier refuse come back while the burst lasts, and are refused for good.
type returnSchedule struct {
	promised map[returnInterval]int
	sweptAt  time.Time
}

// returnInterval is the interval number index of a level.
type returnInterval struct {
	level int
	index int64
}

func (i returnInterval) width() time.Duration { return returnSlot << (2 * i.level) }

func (i returnInterval) start() time.Time { return time.Unix(0, i.index*int64(i.width())) }

// promise returns the first interval between two times in which the rate of grants leaves room for one more caller, and whether
// there is one; otherwise that with the fewest callers. It counts the caller there.
func (s *returnSchedule) promise(now, earliest, latest time.Time, grantRate float64) (returnInterval, bool) {
	s.sweep(now)
	level := 0
	for level < 16 && (latest.Sub(earliest) > returnSlots*(returnInterval{level: level}).width() ||
		grantRate*returnShare*(returnInterval{level: level}).width().Seconds() < minReturnsPerSlot) {
		level++
	}
	width := returnInterval{level: level}.width()
	room := int(grantRate * returnShare * width.Seconds())
	first := returnInterval{level, earliest.UnixNano() / int64(width)}
	best := first
	for i := first; i.start().Before(latest); i.index++ {
		if s.promised[i] < s.promised[best] {
			best = i
		}
		if s.promised[i] < room {
			best = i
			break
		}
	}
	found := s.promised[best] < room
	s.promised[best]++
	return best, found
}

// sweep drops the intervals that are over, once a second.
func (s *returnSchedule) sweep(now time.Time) {
	if s.promised == nil {
		s.promised = make(map[returnInterval]int)
	}
	if now.Sub(s.sweptAt) < time.Second {
		return
	}
	s.sweptAt = now
	for i := range s.promised {
		if i.start().Add(i.width()).Before(now) {
			delete(s.promised, i)
		}
	}
}

// returning holds the refused requests whose callers were promised room at a time, by their fingerprints.
type returning struct {
	promises map[uint64]returnPromise
	// order holds the promises in the order in which they were made.
	order []returnPromise
}

type returnPromise struct {
	fingerprint uint64
	bucket      int
	at          time.Time
}

// add remembers a promise, and drops those that are over or too many.
func (t *returning) add(now time.Time, p returnPromise) {
	if p.fingerprint == 0 {
		return
	}
	if t.promises == nil {
		t.promises = make(map[uint64]returnPromise)
	}
	t.promises[p.fingerprint] = p
	t.order = append(t.order, p)
	n := 0
	for n < len(t.order) && (len(t.order)-n > maxReturning || now.After(t.order[n].at.Add(returnGrace))) {
		if t.promises[t.order[n].fingerprint] == t.order[n] {
			delete(t.promises, t.order[n].fingerprint)
		}
		n++
	}
	t.order = t.order[n:]
}

// take reports whether a request returns as promised, not earlier, and forgets the promise.
func (t *returning) take(now time.Time, fingerprint uint64, bucket int) bool {
	p, ok := t.promises[fingerprint]
	if !ok || p.bucket != bucket || now.Before(p.at) {
		return false
	}
	delete(t.promises, fingerprint)
	return !now.After(p.at.Add(returnGrace))
}

// retryAfter returns when the caller of a refused ticket should return: the first time after the queues of its tier and of those
// above have drained at which the tier's rate of grants leaves room for it, at most retryAfterShare of the time left.
func (s *Scheduler) retryAfter(r *request, now time.Time) time.Duration {
	b := s.buckets[r.bucket]
	rate := math.Max(b.stats.grantRate(now), 1/rateDecay.Seconds())
	drain := secondsToDuration(math.Max(s.drainSeconds(r.bucket), float64(b.queued)/rate))
	earliest := min(max(drain, s.settings.RetryAfterMin), s.settings.RetryAfterMax)
	latest := max(s.settings.RetryAfterMax, earliest+earliest/2)
	if !r.deadline.IsZero() {
		latest = max(s.settings.RetryAfterMin, min(latest, time.Duration(float64(r.deadline.Sub(now))*retryAfterShare)))
		if earliest >= latest {
			// The caller can't wait until the queues have drained; the last part of its time is the best.
			earliest = max(s.settings.RetryAfterMin, latest/2)
		}
	}
	interval, found := b.returns.promise(now, now.Add(earliest), now.Add(latest), rate)
	begin := max(earliest, interval.start().Sub(now))
	end := max(begin, min(latest, begin+interval.width(), interval.start().Add(interval.width()).Sub(now)))
	wait := (begin + time.Duration(s.random.Float64()*float64(end-begin))).Truncate(time.Millisecond)
	if found {
		s.returning.add(now, returnPromise{fingerprint: r.ticket.GetFingerprint(), bucket: r.bucket, at: now.Add(wait)})
	}
	return wait
}
