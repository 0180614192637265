package scheduler

import (
	"maps"
	"time"

	"coltsfootplank/internal/protocol"
)

const (
	// lifeWindow is the time for which an answer to another holder shows that an engine is alive when one holder fails to
	// connect. A holder gives up connecting after 0.5 s, and an engine may have stopped in that time.
	lifeWindow = 500 * time.Millisecond
	// failedPauses is the longest time for which a holder that fails again and again avoids the engine, in multiples of the
	// first time. Each attempt takes a slot for up to 0.5 s; a longer time would outlast a cut of some seconds by as much.
	failedPauses = 8
	// unreachableCap bounds the share of the pool's engines that are excluded or returning when one is excluded because
	// holders could not connect. If more fail, the cause is elsewhere, and the remaining engines couldn't take the load.
	unreachableCap = 0.5
)

// reach is what holders report about connecting to an engine.
type reach struct {
	// failed holds the holders that could not connect lately.
	failed map[string]failedReach
	// failingSince is the time of the first failed connection since the last answer to any holder; zero if there is none.
	failingSince time.Time
	// answeredHolder is the holder that had the last answer, at answeredAt. othersAnsweredAt is the last answer to any other.
	answeredHolder               string
	answeredAt, othersAnsweredAt time.Time
}

// failedReach is a holder's last failure to connect, and until when its grants avoid the engine.
type failedReach struct {
	at, until time.Time
	pause     time.Duration
	// probing is set while the first grant after the pause shows whether the holder reaches the engine again.
	probing bool
}

// recordGrant makes the first grant to a holder after its pause the only one until it has reached the engine or given up.
func (c *reach) recordGrant(holder string, now time.Time) {
	if f, ok := c.failed[holder]; ok && !now.Before(f.until) {
		f.until, f.probing = now.Add(lifeWindow), true
		c.failed[holder] = f
	}
}

// recordAnswer records that the engine answered a holder.
func (c *reach) recordAnswer(holder string, now time.Time) {
	if c.answeredHolder != holder {
		c.answeredHolder, c.othersAnsweredAt = holder, c.answeredAt
	}
	c.answeredAt, c.failingSince = now, time.Time{}
	delete(c.failed, holder)
}

// answeredOthers returns when the engine last answered another holder.
func (c *reach) answeredOthers(holder string) time.Time {
	if c.answeredHolder == holder {
		return c.othersAnsweredAt
	}
	return c.answeredAt
}

// recordFailure records that a holder could not connect, and reports whether the engine seems unreachable for all: another
// holder failed too, or none had an answer lately. An answer to another holder since a failure outweighs that failure.
func (c *reach) recordFailure(holder string, now time.Time, pause, maxPause time.Duration) bool {
	maps.DeleteFunc(c.failed, func(_ string, f failedReach) bool { return now.After(f.until.Add(f.pause)) })
	if c.failed == nil {
		c.failed = make(map[string]failedReach)
	}
	// Grants made before the first failure was known fail too, and don't count as further attempts.
	if before, ok := c.failed[holder]; !ok || before.probing || !now.Before(before.until) {
		pause = min(max(2*before.pause, pause), maxPause, failedPauses*pause)
		c.failed[holder] = failedReach{at: now, until: now.Add(pause), pause: pause}
	}
	if c.failingSince.IsZero() {
		c.failingSince = now
	}
	answered := c.answeredOthers(holder)
	if now.Sub(answered) > lifeWindow {
		return true
	}
	for other, f := range c.failed {
		if other != holder && !f.at.Before(answered) {
			return true
		}
	}
	return false
}

// pauses returns until when each holder that could not connect avoids the engine.
func (c *reach) pauses() map[string]time.Time {
	pauses := make(map[string]time.Time, len(c.failed))
	for holder, f := range c.failed {
		pauses[holder] = f.until
	}
	return pauses
}

// pausedUntil returns until when a holder gets no grants of the engine, because the engine asked for it or because the holder
// could not connect.
func (e *engine) pausedUntil(holder string) time.Time {
	until := e.asked.pauses[holder]
	if failed := e.reach.failed[holder].until; failed.After(until) {
		return failed
	}
	return until
}

// pausedFor reports whether a holder gets no grants of the engine now.
func (e *engine) pausedFor(holder string, now time.Time) bool {
	return now.Before(e.pausedUntil(holder))
}

// observeReach learns from a release whether its holder reaches the engine. One holder's failure binds that holder only: a
// cut or lossy path from one VM would otherwise take a third of a pool of three engines from all others.
func (s *engineSet) observeReach(e *engine, holder string, release *protocol.Release, now time.Time) {
	switch release.GetKind() {
	case protocol.ReleaseKind_RELEASE_KIND_ANSWERED, protocol.ReleaseKind_RELEASE_KIND_FAILED, protocol.ReleaseKind_RELEASE_KIND_SHED:
		e.reach.recordAnswer(holder, now)
	case protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE:
		const reason = "a holder could not connect"
		if !e.reach.recordFailure(holder, now, s.settings.ProbeAfter, s.settings.ProbeAfterMax) || e.excluded {
			return
		}
		if !e.pace.Active() && float64(s.excludedOrReturning()+1) > unreachableCap*float64(len(s.list)) {
			e.recordReason(now, reason+", kept in use because half of the pool is out of use")
			return
		}
		s.exclude(e, now, reason)
	}
}

// unreachableSince returns since when no engine of the pool is usable, as far as holders can tell; zero if one is.
func (s *engineSet) unreachableSince() time.Time {
	since := s.noUsableSince
	for _, e := range s.list {
		if !e.usable() {
			continue
		}
		if e.reach.failingSince.IsZero() {
			return time.Time{}
		}
		if e.reach.failingSince.After(since) {
			since = e.reach.failingSince
		}
	}
	return since
}
