package scheduler

import (
	"time"

	"coltsfootplank/internal/limiter"
)

// SetLimitShare sets the part of the limits and of max_queue that this cell enforces: 1 divided by the number of cells
// of its pool.
func (s *Scheduler) SetLimitShare(share float64) {
	s.limitShare = share
	s.dirty = true
}

// limits returns the cell's part of the limits of a request's kind of work.
func (s *Scheduler) limits(r *request) limiter.Limits {
	work := s.works[r.ticket.GetWork()]
	return limiter.Limits{
		Concurrency:     float64(work.Limits.Concurrency) * s.limitShare,
		TokensPerMinute: float64(work.Limits.TokensPerMinute) * s.limitShare,
	}
}

func (r *request) limitKey() limiter.Key {
	return limiter.Key{Workspace: r.ticket.GetWorkspace(), Work: r.ticket.GetWork()}
}

// capacityWait is how long a work queue may stay unthrottled before its wait is attributed to a lack of capacity and no
// longer to its limit.
const capacityWait = time.Second

// withinLimits reports whether the limits allow the first ticket of a flow. If they don't, it throttles the ticket's
// work queue.
func (s *Scheduler) withinLimits(r *request, now time.Time) bool {
	verdict, wait := s.limiter.Check(now, r.limitKey(), s.limits(r), r.cost())
	if verdict == limiter.Allowed {
		return true
	}
	q := r.workQueue
	// A work queue that was unthrottled for this long waited for capacity, not for the limit.
	if q.limitedSince.IsZero() || now.Sub(q.unthrottledAt) > capacityWait {
		q.limitedSince = now
	}
	q.verdict = verdict
	q.wakeAt = s.limitExpiry(q, r)
	if verdict == limiter.TokensReached && now.Add(wait).Before(q.wakeAt) {
		q.wakeAt = now.Add(wait)
	}
	s.throttled.push(q)
	q.flow.reorder()
	return false
}

// limitExpiry returns when the oldest ticket of a work queue has waited for a limit as long as the settings allow.
func (s *Scheduler) limitExpiry(q *workQueue, r *request) time.Time {
	from := q.limitedSince
	if r.arrivedAt.After(from) {
		from = r.arrivedAt
	}
	return from.Add(s.settings.LimitWait)
}

// unthrottleDue unthrottles the work queues whose tokens may suffice by now, and refuses tickets that have waited for a
// limit for too long.
func (s *Scheduler) unthrottleDue(now time.Time) {
	for {
		q, ok := s.throttled.top()
		if !ok || q.wakeAt.After(now) {
			return
		}
		s.unthrottle(q)
		for {
			r, ok := q.tickets.top()
			if !ok || s.limitExpiry(q, r).After(now) {
				break
			}
			verdict, wait := s.limiter.Check(now, r.limitKey(), s.limits(r), r.cost())
			if verdict == limiter.Allowed {
				break
			}
			message := "the workspace's requests in flight of this work are at their limit"
			if verdict == limiter.TokensReached {
				message = "the workspace's tokens per minute of this work are at their limit"
			}
			s.refuse(r, CodeLimitExceeded, message, max(s.jitter(wait), s.retryAfter(r, s.engines.now)))
		}
	}
}

// unthrottle makes the tickets of a work queue eligible for grants again.
func (s *Scheduler) unthrottle(q *workQueue) {
	s.throttled.remove(q)
	q.unthrottledAt = s.engines.now
	q.flow.reorder()
}

// startLimits and endLimits count a grant against the limits. Requests without limits are counted too, because a limit
// may be added while they run.
func (s *Scheduler) startLimits(r *request, now time.Time) {
	s.limiter.Start(now, r.limitKey(), s.limits(r), r.cost())
}

func (s *Scheduler) endLimits(r *request, now time.Time) {
	s.limiter.End(now, r.limitKey(), s.limits(r), r.workDone-r.cost())
	work := r.ticket.GetWork()
	for _, f := range r.account.flows {
		if q := f.workQueues[work]; q != nil && q.throttledIndex >= 0 {
			s.unthrottle(q)
		}
	}
}
