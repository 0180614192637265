package generator

import (
	"time"

	"coltsfootplank/internal/kernel"
)

// loadHistory keeps load reports until a newer one has reached the lag. It isn't safe for concurrent use.
type loadHistory struct {
	lag     time.Duration
	reports []timedReport
}

type timedReport struct {
	kernel.LoadReport
	recordedAt time.Time
}

// add records the load after a change.
func (h *loadHistory) add(report kernel.LoadReport) {
	now := time.Now()
	h.reports = append(h.reports, timedReport{LoadReport: report, recordedAt: now})
	h.prune(now)
}

// prune drops the reports older than the newest one that has reached the lag.
func (h *loadHistory) prune(now time.Time) {
	cutoff := now.Add(-h.lag)
	first := 0
	for first+1 < len(h.reports) && !h.reports[first+1].recordedAt.After(cutoff) {
		first++
	}
	if first > 0 {
		h.reports = append(h.reports[:0], h.reports[first:]...)
	}
}

// lagged returns the load as it was one lag ago, with its age. If the load has been unchanged for longer, the age is
// still one lag, because the engine can't report its newer state yet.
func (h *loadHistory) lagged() timedReport {
	now := time.Now()
	h.prune(now)
	report := h.reports[0]
	if cutoff := now.Add(-h.lag); report.recordedAt.Before(cutoff) {
		report.recordedAt = cutoff
	}
	return report
}

// withAge returns the report with its age set.
func (r timedReport) withAge() kernel.LoadReport {
	report := r.LoadReport
	report.AgeMS = time.Since(r.recordedAt).Milliseconds()
	return report
}
