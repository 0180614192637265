package claimer

import "time"

// gap notes that records of the stream were lost to retention. A scope without a known holder may have been
// claimed by a lost record, so it must not be called fresh until every lost record is older than the
// retention.
type gap struct {
	exists bool
	// open is true until the first kept record is read, which bounds the time of the lost ones.
	open bool
	// before is a time after the append of every lost record.
	before time.Time
}

func (g *gap) trimmed(now time.Time) {
	g.exists, g.open, g.before = true, true, now
}

// firstKept narrows the gap by the time of the first record after it.
func (g *gap) firstKept(made time.Time, skew time.Duration) {
	if !g.open {
		return
	}
	g.open = false
	if bound := made.Add(skew); bound.Before(g.before) {
		g.before = bound
	}
}

// hides tells whether a claim of a scope may be among the lost records. keyMade is the time in a UUIDv7 key, or
// the zero time: no claim with such a key is older than the key.
func (g *gap) hides(now, keyMade time.Time, retention, skew time.Duration) bool {
	if !g.exists || now.Sub(g.before) > retention+skew {
		return false
	}
	return keyMade.IsZero() || !keyMade.Add(-skew).After(g.before)
}
