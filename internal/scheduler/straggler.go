package scheduler

import (
	"slices"
	"time"
)

// note keeps the last reason for an exclusion.
func (e *engine) note(now time.Time, reason string) { e.reason, e.reasonAt = reason, now }

// judge compares a run's decoding speed with the engine's own baseline: it excludes a straggler, and readmits an
// excluded engine by doubling its allowance with each good run.
func (s *engineSet) judge(e *engine, r *request, now time.Time, speed float64) {
	good := speed >= s.settings.StragglerRatio*e.decode.Baseline()
	switch {
	case e.excluded:
	case e.allowance == 0:
		ratio := e.decode.Ratio()
		if ratio < s.settings.StragglerRatio && ratio < s.settings.StragglerRatio*s.peerRatio(e) {
			s.excludeStraggler(e, now, "speed below its own baseline")
		}
	case r == nil || r.grantedAt.Before(e.probedAt):
		// The run began before the probe and says nothing about the engine now.
	case !good:
		s.excludeStraggler(e, now, "speed still below its own baseline")
	default:
		e.allowance *= 2
		if e.allowance >= e.info.Slots {
			e.allowance, e.backoff = 0, 0
			e.decode.Reset()
		}
		s.refreshOne(e)
	}
}

// peerRatio is the mean ratio of speed to baseline of the other engines: load that slows the whole pool makes no
// engine a straggler.
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

// overdue says whether most requests in flight have run far longer than expected, which shows a straggler that
// answers nothing at all. The factor allows for wrong length estimates.
func (e *engine) overdue(now time.Time, ratio float64) bool {
	const estimateError = 2
	late := 0
	for _, r := range e.granted {
		if now.Sub(r.grantedAt).Seconds() > 1+r.expectedRun*estimateError/ratio {
			late++
		}
	}
	return late >= 2 && 2*late >= len(e.granted)
}

// excludeStraggler takes an engine out until its next probe, unless the cap is reached.
func (s *engineSet) excludeStraggler(e *engine, now time.Time, reason string) {
	if e.excluded {
		return
	}
	if e.allowance == 0 && s.stragglers()+1 > int(s.settings.StragglerCap*float64(len(s.list))) {
		e.note(now, reason+", kept because of the straggler cap")
		return
	}
	s.exclude(e, now, reason)
}

const (
	// lossesToExclude is the number of answers lost in a row after which an engine is excluded. Single losses are common.
	lossesToExclude = 3
	// lossCap bounds the share of the pool's engines that are out when one is excluded for its losses: where most lose answers,
	// the cause is elsewhere, and the rest can't take the load.
	lossCap = 0.5
)

// noteLoss counts a lost answer. An engine that resets its connections ends requests so fast that it always has free slots,
// and would get most of those to come.
func (s *engineSet) noteLoss(e *engine, now time.Time) {
	e.losses++
	if e.losses < lossesToExclude || e.excluded || e.allowance == 0 && float64(s.stragglers()+1) > lossCap*float64(len(s.list)) {
		return
	}
	s.exclude(e, now, "answers were lost in a row")
}

// exclude takes an engine out until its next probe.
func (s *engineSet) exclude(e *engine, now time.Time, reason string) {
	e.backoff = min(max(2*e.backoff, s.settings.ProbeAfter), s.settings.ProbeAfterMax)
	s.excludeFor(e, now, e.backoff, reason)
}

// excludeFor takes an engine out for a time.
func (s *engineSet) excludeFor(e *engine, now time.Time, pause time.Duration, reason string) {
	e.excluded, e.allowance = true, 1
	e.probeAt = now.Add(pause)
	e.note(now, reason)
	s.out = append(s.out, e)
	s.refresh()
}

// stragglers counts the engines that are excluded or return gradually.
func (s *engineSet) stragglers() int {
	var n int
	for _, e := range s.list {
		if e.excluded || e.allowance > 0 {
			n++
		}
	}
	return n
}

// probe lets an engine return with one request at a time.
func (s *engineSet) probe(e *engine, now time.Time) {
	e.excluded, e.allowance, e.probedAt = false, 1, now
	s.refresh()
}

// probeDue starts the probes that are due.
func (s *engineSet) probeDue(now time.Time) {
	s.out = slices.DeleteFunc(s.out, func(e *engine) bool {
		if e.excluded && e.probeAt.After(now) {
			return false
		}
		if e.excluded {
			s.probe(e, now)
		}
		return true
	})
}

// nextProbe returns when the next probe is due; zero if none is.
func (s *engineSet) nextProbe() time.Time {
	var first time.Time
	for _, e := range s.out {
		if first.IsZero() || e.probeAt.Before(first) {
			first = e.probeAt
		}
	}
	return first
}
