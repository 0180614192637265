package generator

import (
	"time"

	"coltsfootplank/internal/kernel"
)

// loadHistory keeps load reports until they are older than the lag. It isn't safe for concurrent use.
type loadHistory struct {
	lag     time.Duration
	reports []timedReport
}

type timedReport struct {
	kernel.LoadReport
	at time.Time
}

// add records the state after a change.
func (h *loadHistory) add(report kernel.LoadReport) {
	now := time.Now()
	h.reports = append(h.reports, timedReport{LoadReport: report, at: now})
	h.prune(now)
}

// prune drops reports that a newer one hides; the newest report that is older than the lag stays.
func (h *loadHistory) prune(now time.Time) {
	horizon := now.Add(-h.lag)
	first := 0
	for first+1 < len(h.reports) && !h.reports[first+1].at.After(horizon) {
		first++
	}
	if first > 0 {
		h.reports = append(h.reports[:0], h.reports[first:]...)
	}
}

// current returns the state as of one lag ago, with its age. A state that hasn't changed since then still
// has the age of the lag, because the engine can't tell its newer state yet.
func (h *loadHistory) current() timedReport {
	now := time.Now()
	h.prune(now)
	report := h.reports[0]
	if horizon := now.Add(-h.lag); report.at.Before(horizon) {
		report.at = horizon
	}
	return report
}

// aged returns the report with its age filled in.
func (r timedReport) aged() kernel.LoadReport {
	report := r.LoadReport
	report.AgeMS = time.Since(r.at).Milliseconds()
	return report
}
