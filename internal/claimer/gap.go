package claimer

import "time"

// gap describes records that retention removed before this router read them. Such a record may have claimed a scope
// that no known claim holds, so the scope must not be treated as unclaimed until every lost record is older than the
// retention.
type gap struct {
	exists bool
	// open is true until the first record after the gap has been read. The time of that record is an upper bound for
	// the times of the lost records.
	open bool
	// before is an upper bound for the append times of the lost records.
	before time.Time
}

func (g *gap) trimmed(now time.Time) {
	g.exists, g.open, g.before = true, true, now
}

// firstKept lowers the upper bound to the time of the first record after the gap.
func (g *gap) firstKept(appended time.Time, skew time.Duration) {
	if !g.open {
		return
	}
	g.open = false
	if bound := appended.Add(skew); bound.Before(g.before) {
		g.before = bound
	}
}

// mayHideClaim reports whether a claim with this key may be among the lost records. keyTime is the time in a UUIDv7
// key, which no claim with the key can precede, or the zero time for other keys.
func (g *gap) mayHideClaim(now, keyTime time.Time, retention, skew time.Duration) bool {
	if !g.exists || now.Sub(g.before) > retention+skew {
		return false
	}
	return keyTime.IsZero() || !keyTime.Add(-skew).After(g.before)
}
