package scheduler

import (
	"time"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

// failedPollsUntilDown is the number of consecutive failed polls after which an engine is considered down. A single
// poll may get lost.
const failedPollsUntilDown = 2

// ObserveLoad handles an engine's load report, or the error of the poll.
func (s *Scheduler) ObserveLoad(now time.Time, engine string, report kernel.LoadReport, err error) {
	s.recordInput(now)
	e := s.engines.byName[engine]
	if e == nil {
		return
	}
	if kernel.Answered(err) {
		// Without a report the engine is judged by its requests alone.
		e.failedPolls = 0
		if e.info.Incarnation != 0 {
			// The reports don't show restarts any more, but the registrations do.
			e.instance = ""
		}
		return
	}
	if err != nil {
		e.failedPolls++
		s.recordCrashEvidence(e, now, evidencePollFailed)
		if e.failedPolls >= failedPollsUntilDown && !e.down {
			e.down = true
			e.pace.RecordOutage(now)
			e.recordReason(now, "load report failed")
			s.engines.refresh()
		}
		return
	}
	e.failedPolls = 0
	if e.instance != "" && report.Instance == e.instance {
		s.recordAlive(e)
	}
	if e.instance != "" && report.Instance != e.instance {
		e.pace.RecordOutage(now)
		s.recordCrashEvidence(e, now, evidenceRestart)
		e.reach = reach{}
		s.engines.prefixes.clear(e)
		clear(e.orphans)
		s.engines.probe(e, now)
		e.recordReason(now, "the engine restarted")
	}
	if e.instance != report.Instance {
		e.instance, e.crash.number = report.Instance, 0
	}
	if e.down {
		e.down, e.reach = false, reach{}
		s.engines.probe(e, now)
	}
	e.draining = report.Draining
	if e.draining {
		e.recordReason(now, "the engine reports that it is leaving")
	}
	e.batchSlots, e.reportedRoom = report.BatchSlots, report.KVTotal
	e.observeForeign(now, report, s.settings.MaxReportAge)
	if e.overdue(now, s.settings.StragglerRatio) {
		s.engines.excludeStraggler(e, now, "requests in flight are overdue")
	}
	e.updateAhead(now)
	s.engines.refreshOne(e)
}

// observeForeign estimates the requests of other schedulers on the engine. A report may be older than this scheduler's
// latest grants and releases, so it is compared with the grants in flight at the time that it describes.
func (e *engine) observeForeign(now time.Time, report kernel.LoadReport, maxAge time.Duration) {
	age := time.Duration(report.AgeMS) * time.Millisecond
	e.foreignInFlight = 0
	if age > maxAge {
		return
	}
	at := now.Add(-age)
	own := 0
	for _, r := range e.granted {
		if !r.grantedAt.After(at) {
			own++
		}
	}
	for _, ended := range e.recentEnds {
		if ended.After(at) {
			own++
		}
	}
	e.foreignInFlight = max(0, report.Running+report.Waiting-own)
}

// maxRecentEnds bounds the recorded end times of requests, which are used to interpret load reports that are a little
// old.
const maxRecentEnds = 64

func (e *engine) recordEnd(now time.Time) {
	if len(e.recentEnds) < maxRecentEnds {
		e.recentEnds = append(e.recentEnds, now)
		return
	}
	e.recentEnds[e.nextRecentEnd] = now
	e.nextRecentEnd = (e.nextRecentEnd + 1) % maxRecentEnds
}

// observeRun learns lengths and speeds from a complete answer. r is nil if another scheduler made the grant.
func (s *Scheduler) observeRun(now time.Time, e *engine, r *request, release *protocol.Release) {
	s.engines.judgePace(e, r, now, release)
	if r != nil {
		s.lengths.Observe(r.lengthKey(), r.declaredOutput, float64(release.GetOutputTokens()))
	}
	factor := e.runFactor(r, release, now)
	firstTokenSeconds := float64(release.GetFirstTokenMs()) / 1000
	uncached := float64(release.GetPromptTokens()) - float64(release.GetCachedTokens())
	if r != nil && uncached >= float64(s.settings.PrefillSample) && firstTokenSeconds > 0 {
		// Subtracts the wait for earlier prefills from the time to first token, but keeps at least a quarter of that
		// time, since the wait is only an estimate.
		e.prefill.Observe(factor*uncached/max(firstTokenSeconds-r.prefillAhead, firstTokenSeconds/4), s.settings.StragglerRatio)
	}
	decodeSeconds := float64(release.GetTotalMs()-release.GetFirstTokenMs()) / 1000
	if output := float64(release.GetOutputTokens()); output >= float64(s.settings.OutputSample) && decodeSeconds > 0 {
		e.decode.Observe(factor*output/decodeSeconds, s.settings.StragglerRatio)
		s.engines.evaluateRun(e, r, now, factor*output/decodeSeconds)
	} else {
		s.engines.evaluateRun(e, r, now, e.decode.Baseline())
	}
}
