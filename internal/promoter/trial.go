package promoter

import (
	"fmt"
	"time"
)

// trial judges the new version while it gets requests under leases only. The first finding withholds the leases for
// pauseTime and moves the requests to other engines: an engine that crashes or sends wrong answers isn't a bad version. A
// second finding condemns the version.
type trial struct {
	finding     Finding
	strikes     int
	pausedUntil time.Time
	// base is the evidence when the leases were last resumed; resuming is set until it is taken.
	base     Evidence
	resuming bool
	// firstAt is when the first answers of the new version were known. warmBase is the evidence coldTime later.
	firstAt  time.Time
	warmBase Evidence
	// recent holds the evidence at regular intervals, oldest first.
	recent   []Evidence
	recentAt time.Time
}

func newTrial() trial { return trial{base: make(Evidence)} }

// judge returns why the version is condemned; empty if it isn't.
func (t *trial) judge(now time.Time, pooled Evidence, to string) string {
	if t.resuming && !now.Before(t.pausedUntil) {
		t.resuming, t.base, t.recent = false, pooled, nil
		if t.warmBase != nil {
			t.warmBase = pooled
		}
	}
	whole := judge(pooled, to, strictness{factor: 1})
	if t.firstAt.IsZero() && whole.Answers > 0 {
		t.firstAt = now
	}
	warm := !t.firstAt.IsZero() && now.Sub(t.firstAt) >= coldTime
	if warm && t.warmBase == nil {
		t.warmBase = pooled
	}
	finding := judge(pooled.since(t.base), to, strictness{factor: 1})
	bad := whole.Bad
	if warm {
		slow := judge(pooled.since(t.warmBase), to, strictness{factor: 1, slow: true})
		bad = max(bad, slow.Bad)
		if finding.Reason == "" {
			finding.Reason = slow.Reason
		}
	}
	if len(t.recent) > 0 && finding.Reason == "" {
		finding.Reason = judge(pooled.since(t.recent[0]), to, strictness{factor: 1, slow: warm}).Reason
	}
	t.remember(now, pooled)
	t.finding = Finding{Reason: finding.Reason, Answers: whole.Answers, Bad: bad}
	switch {
	case bad >= maxBad:
		return fmt.Sprintf("%.0f bad answers of %.0f: %s", bad, whole.Answers, finding.Reason)
	case finding.Reason == "" || t.resuming:
		return ""
	case t.strikes > 0:
		return "found again after a pause: " + finding.Reason
	}
	t.strikes++
	t.resuming, t.pausedUntil = true, now.Add(pauseTime)
	return ""
}

// remember keeps the evidence of the last snapshotCount intervals.
func (t *trial) remember(now time.Time, pooled Evidence) {
	if now.Sub(t.recentAt) < snapshotInterval {
		return
	}
	t.recentAt = now
	if t.recent = append(t.recent, pooled); len(t.recent) > snapshotCount {
		t.recent = t.recent[1:]
	}
}
