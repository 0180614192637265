package scheduler

import (
	"slices"
	"time"
)

const (
	// avoidWait is the longest time that a repeated request waits for an engine that hasn't failed it. It is several times
	// the run of a plain service, and less than the time after which an excluded engine is probed.
	avoidWait = 500 * time.Millisecond
	// avoidShare is the part of the time left for its start that a repeated request waits for one.
	avoidShare = 0.5
	// maxFailures is the number of failures of one request after which an engine isn't asked for it again.
	maxFailures = 2
)

// failuresOf returns how often an engine failed or lost the request.
func (r *request) failuresOf(e *engine) int {
	failures := 0
	for _, name := range r.ticket.GetAvoid() {
		if name == e.info.Name {
			failures++
		}
	}
	return failures
}

// avoids reports whether the request isn't granted the engine because it failed or lost it. An engine that fails at once always has
// a free slot, so that a repeat would go to the same engine a few milliseconds later and fail again.
func (e *engine) avoids(r *request) bool {
	if len(r.ticket.GetAvoid()) == 0 {
		return false
	}
	failures := r.failuresOf(e)
	return failures >= maxFailures || failures > 0 && r.hasAlternative
}

// updateAlternative records whether a repeated request may wait for an engine that hasn't failed it.
func (s *engineSet) updateAlternative(r *request, now time.Time) {
	if len(r.ticket.GetAvoid()) == 0 {
		return
	}
	r.hasAlternative = now.Before(r.avoidUntil) && slices.ContainsFunc(s.list, func(e *engine) bool {
		return e.usable() && r.failuresOf(e) == 0 && !e.pausedUntil(r.holder).After(r.avoidUntil)
	})
}

// setAvoidUntil sets how long a repeated request waits for an engine that hasn't failed it.
func (r *request) setAvoidUntil(now time.Time) {
	wait := avoidWait
	if !r.latestStart.IsZero() {
		wait = min(wait, time.Duration(avoidShare*float64(r.latestStart.Sub(now))))
	}
	r.avoidUntil = now.Add(wait)
}

// refuseIfFailedEverywhere refuses a request that each engine has failed as often as it may, and reports whether it did. A
// service whose engines all fail isn't asked again and again for the same request.
func (s *Scheduler) refuseIfFailedEverywhere(r *request) bool {
	if len(r.ticket.GetAvoid()) == 0 {
		return false
	}
	failed := false
	for _, e := range s.engines.list {
		if e.gone() {
			continue
		}
		if r.failuresOf(e) < maxFailures {
			return false
		}
		failed = true
	}
	if failed {
		s.refuse(r, CodeNoUpstream, "all engines have failed this request", s.jitter(s.settings.ProbeAfter))
	}
	return failed
}
