package scheduler

import (
	"slices"
	"time"
)

// recordReason sets the reason that the state dump shows for the engine.
func (e *engine) recordReason(now time.Time, reason string) { e.reason, e.reasonAt = reason, now }

// evaluateRun compares the decoding speed of a run with the engine's own baseline. It excludes a straggler, and
// readmits an engine step by step after a probe: each run at a good speed doubles its window.
func (s *engineSet) evaluateRun(e *engine, r *request, now time.Time, speed float64) {
	good := speed >= s.settings.StragglerRatio*e.decode.Baseline()
	switch {
	case e.excluded:
	case !e.pace.Active():
		ratio := e.decode.Ratio()
		if ratio < s.settings.StragglerRatio && ratio < s.settings.StragglerRatio*s.peerRatio(e) {
			s.excludeStraggler(e, now, "speed below its own baseline")
		}
	case s.settings.Pace:
		// The window closes instead.
	case r == nil || r.grantedAt.Before(e.pace.Since()):
		// The run began before the probe and says nothing about the engine's present speed.
	case !good:
		s.excludeStraggler(e, now, "speed still below its own baseline")
	default:
		s.recordPace(e, e.pace.Answered(now, e.paceRun(r)))
	}
}

// peerRatio returns the mean ratio of speed to baseline over the other engines. With it, load that slows the whole pool
// makes no engine a straggler.
func (s *engineSet) peerRatio(e *engine) float64 {
	var sum, count float64
	for _, other := range s.list {
		if other != e && other.usable() {
			sum += other.decode.Ratio()
			count++
		}
	}
	if count == 0 {
		return 1
	}
	return sum / count
}

// overdue reports whether most requests in flight have run far longer than expected, which reveals a straggler that
// doesn't answer at all. estimateError allows for wrong length estimates.
func (e *engine) overdue(now time.Time, stragglerRatio float64) bool {
	const estimateError = 2
	late := 0
	for _, r := range e.granted {
		if now.Sub(r.grantedAt).Seconds() > 1+r.expectedRun*estimateError/stragglerRatio {
			late++
		}
	}
	return late >= 2 && 2*late >= len(e.granted)
}

// excludeStraggler excludes an engine until its next probe, unless the cap is reached.
func (s *engineSet) excludeStraggler(e *engine, now time.Time, reason string) {
	if e.excluded {
		return
	}
	if !e.pace.Returning() && s.excludedOrReturning()+1 > int(s.settings.StragglerCap*float64(len(s.list))) {
		e.recordReason(now, reason+", kept in use because of the straggler cap")
		return
	}
	s.exclude(e, now, reason)
}

const (
	// lossesToExclude is the number of consecutive lost answers after which an engine is excluded. Single losses are
	// common.
	lossesToExclude = 3
	// lossCap bounds the share of the pool's engines that are excluded or returning when one is excluded for its
	// losses. If most engines lose answers, the cause is elsewhere, and the remaining engines couldn't take the load.
	lossCap = 0.5
)

// recordLoss counts a lost answer and excludes the engine after too many in a row. An engine that resets its
// connections ends requests so fast that it always has free slots, and would get most of the following requests.
func (s *engineSet) recordLoss(e *engine, now time.Time) {
	e.consecutiveLosses++
	if e.consecutiveLosses < lossesToExclude || e.excluded ||
		!e.pace.Returning() && float64(s.excludedOrReturning()+1) > lossCap*float64(len(s.list)) {
		return
	}
	s.exclude(e, now, "several answers in a row were lost")
}

// exclude excludes an engine until its next probe. The time doubles with each exclusion up to ProbeAfterMax, until the
// engine is back at full use.
func (s *engineSet) exclude(e *engine, now time.Time, reason string) {
	e.probeBackoff = min(max(2*e.probeBackoff, s.settings.ProbeAfter), s.settings.ProbeAfterMax)
	e.pace.RecordOutage(now)
	s.excludeFor(e, now, e.probeBackoff, reason)
}

// excludeFor excludes an engine for the given time.
func (s *engineSet) excludeFor(e *engine, now time.Time, pause time.Duration, reason string) {
	e.excluded = true
	s.beginReturn(e, now)
	e.probeAt = now.Add(pause)
	e.recordReason(now, reason)
	s.excludedEngines = append(s.excludedEngines, e)
	s.refresh()
}

// excludedOrReturning returns the number of engines that are excluded or return to use step by step.
func (s *engineSet) excludedOrReturning() int {
	var n int
	for _, e := range s.list {
		if e.excluded || e.pace.Returning() {
			n++
		}
	}
	return n
}

// probe returns an engine to use with one request at a time.
func (s *engineSet) probe(e *engine, now time.Time) {
	e.excluded, e.reach.failingSince = false, time.Time{}
	s.notePace(e, s.beginReturn(e, now))
	s.refresh()
}

// probeDue starts the probes that are due.
func (s *engineSet) probeDue(now time.Time) {
	s.excludedEngines = slices.DeleteFunc(s.excludedEngines, func(e *engine) bool {
		if e.excluded && e.probeAt.After(now) {
			return false
		}
		if e.excluded {
			s.probe(e, now)
		}
		return true
	})
}

// nextProbe returns when the next probe is due; zero if no engine is excluded.
func (s *engineSet) nextProbe() time.Time {
	var first time.Time
	for _, e := range s.excludedEngines {
		if first.IsZero() || e.probeAt.Before(first) {
			first = e.probeAt
		}
	}
	return first
}
