package scheduler

import (
	"maps"
	"time"

	"coltsfootplank/internal/protocol"
)

// asked is what an engine asks of the holders in its answers, as they report it with their releases. It ends with the
// process of the engine.
type asked struct {
	// leaving is set once the engine said to any holder that it is leaving.
	leaving bool
	// pauses holds until when the engine wants no requests from a holder. Other holders may send it requests.
	pauses map[string]time.Time
}

// expire drops the pauses that are over.
func (a *asked) expire(now time.Time) {
	maps.DeleteFunc(a.pauses, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// statedByOther reports whether a release is about another process of the engine.
func (e *engine) statedByOther(release *protocol.Release) bool {
	return e.info.Incarnation != 0 && release.GetIncarnation() != 0 && e.info.Incarnation != release.GetIncarnation()
}

// recordAsked records what an engine asks of a holder.
func (s *engineSet) recordAsked(e *engine, holder string, release *protocol.Release, now time.Time) {
	if e.statedByOther(release) {
		return
	}
	if release.GetLeaving() && !e.asked.leaving {
		e.asked.leaving = true
		e.recordReason(now, "the engine says in its answers that it is leaving")
		s.refresh()
	}
	if release.GetPausedMs() <= 0 {
		return
	}
	e.asked.expire(now)
	if e.asked.pauses == nil {
		e.asked.pauses = make(map[string]time.Time)
	}
	until := now.Add(secondsToDuration(float64(release.GetPausedMs()) / 1000))
	if until.After(e.asked.pauses[holder]) {
		e.asked.pauses[holder] = until
	}
}

// nextPauseEnd returns when the first of the engines that a holder gets no grants of is granted to it again; zero if there is
// none.
func (s *engineSet) nextPauseEnd(holder string, now time.Time) time.Time {
	var first time.Time
	for _, e := range s.list {
		if end := e.pausedUntil(holder); now.Before(end) && (first.IsZero() || end.Before(first)) {
			first = end
		}
	}
	return first
}

// refuseIfPaused refuses a ticket if its holder gets no grants of any engine for longer than the ticket can wait, and reports
// whether it did. The caller is told when that ends for the first of them.
func (s *Scheduler) refuseIfPaused(r *request, now time.Time) bool {
	if r.latestStart.IsZero() {
		return false
	}
	var code, message string
	for _, e := range s.engines.list {
		switch {
		case e.gone():
		case !e.pausedUntil(r.holder).After(r.latestStart):
			return false
		case !e.asked.pauses[r.holder].After(r.latestStart):
			code, message = CodeNoUpstream, "this router could not connect to the engines"
		case code == "":
			code, message = CodeOverloaded, "all engines have turned this router away for some time"
		}
	}
	if code == "" {
		// A pool without engines may have some again in time.
		return false
	}
	end := s.engines.nextPauseEnd(r.holder, now)
	if end.IsZero() {
		return false
	}
	s.buckets[r.bucket].stats.recordRefusal(now)
	s.refuse(r, code, message, end.Sub(now))
	return true
}
