package scheduler

import (
	"time"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

// failuresToExclude is the number of failed polls after which an engine is down. One poll may be lost.
const failuresToExclude = 2

// ObserveLoad takes an engine's load report, or the error of the poll.
func (s *Scheduler) ObserveLoad(now time.Time, engine string, report kernel.LoadReport, err error) {
	s.at(now)
	e := s.engines.byName[engine]
	if e == nil {
		return
	}
	if err != nil {
		e.failures++
		s.crashEvidence(e, now, false)
		if e.failures >= failuresToExclude && !e.down {
			e.down = true
			e.note(now, "load report failed")
			s.engines.refresh()
		}
		return
	}
	e.failures = 0
	if e.instance != "" && report.Instance != e.instance {
		s.crashEvidence(e, now, true)
		s.engines.prefixes.clear(e)
		s.engines.probe(e, now)
		e.note(now, "the engine restarted")
	}
	e.instance = report.Instance
	if e.down {
		e.down = false
		s.engines.probe(e, now)
	}
	e.draining = report.Draining
	if e.draining {
		e.note(now, "the engine reports that it is leaving")
	}
	e.batchSlots, e.reportedRoom = report.BatchSlots, report.KVTotal
	e.observeForeign(now, report, s.settings.MaxReportAge)
	if e.overdue(now, s.settings.StragglerRatio) {
		s.engines.excludeStraggler(e, now, "requests in flight are overdue")
	}
	e.touch(now)
	s.engines.refreshOne(e)
}

// observeForeign estimates the requests of other schedulers on the engine. The report is compared with the own
// grants at the time that it describes: own observations are newer than a report.
func (e *engine) observeForeign(now time.Time, report kernel.LoadReport, maxAge time.Duration) {
	age := time.Duration(report.AgeMS) * time.Millisecond
	e.foreign = 0
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
	for _, ended := range e.ended {
		if ended.After(at) {
			own++
		}
	}
	e.foreign = max(0, report.Running+report.Waiting-own)
}

// endedKept bounds the remembered ends of requests, which correct stale reports.
const endedKept = 64

func (e *engine) rememberEnd(now time.Time) {
	if len(e.ended) < endedKept {
		e.ended = append(e.ended, now)
		return
	}
	e.ended[e.endedNext] = now
	e.endedNext = (e.endedNext + 1) % endedKept
}

// observeRun learns from a complete answer. r is nil if another scheduler made the grant.
func (s *Scheduler) observeRun(now time.Time, e *engine, r *request, release *protocol.Release) {
	if r != nil {
		s.lengths.Observe(r.lengthKey(), r.declared, float64(release.GetOutputTokens()))
	}
	first := float64(release.GetFirstTokenMs()) / 1000
	uncached := float64(release.GetPromptTokens()) - float64(release.GetCachedTokens())
	if r != nil && uncached >= float64(s.settings.PrefillSample) && first > 0 {
		// Without the wait for earlier prefills; a quarter at least, since the wait is an estimate.
		e.prefill.Observe(uncached/max(first-r.prefillAhead, first/4), s.settings.StragglerRatio)
	}
	decode := float64(release.GetTotalMs()-release.GetFirstTokenMs()) / 1000
	if output := float64(release.GetOutputTokens()); output >= float64(s.settings.OutputSample) && decode > 0 {
		e.decode.Observe(output/decode, s.settings.StragglerRatio)
		s.engines.judge(e, r, now, output/decode)
	} else {
		s.engines.judge(e, r, now, e.decode.Baseline())
	}
}
