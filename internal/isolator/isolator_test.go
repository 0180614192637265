package isolator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/protocol"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestIsolator() *Isolator {
	return New(Settings{SuspectRetention: time.Minute, PoisonRetention: time.Hour, MaxEntries: 3})
}

// TestRecordCrash guards against a request becoming poison because of a crash while others ran, against one that stays
// poison forever, and against suspects without a fingerprint.
func TestRecordCrash(t *testing.T) {
	i := newTestIsolator()
	for range 3 {
		i.RecordCrash(start, 1, false)
	}
	i.RecordCrash(start, 2, true)
	i.RecordCrash(start, 0, true)
	cases := []struct {
		fingerprint uint64
		after       time.Duration
		want        State
	}{
		{1, 59 * time.Second, Suspect},
		{1, time.Minute, Clear},
		{2, 59 * time.Minute, Poison},
		{2, time.Hour, Clear},
		{0, 0, Clear},
		{3, 0, Clear},
	}
	for _, c := range cases {
		assert.Equal(t, i.State(start.Add(c.after), c.fingerprint), c.want, "%+v", c)
	}
	i.ClearSuspicion(1)
	i.ClearSuspicion(2)
	assert.Equal(t, i.State(start, 1), Clear)
	assert.Equal(t, i.State(start, 2), Poison)
	assert.Equal(t, len(i.List(start)), 1)
	assert.Equal(t, len(i.List(start.Add(time.Hour))), 0)
	assert.Equal(t, len(i.entries), 0)
}

// TestMerge guards against poison entries that are lost, restored after their expiry or made permanent by gossip.
func TestMerge(t *testing.T) {
	from, to := newTestIsolator(), newTestIsolator()
	from.RecordCrash(start, 1, true)
	from.RecordCrash(start, 2, false)
	list := from.List(start)
	to.Merge(start, list)
	to.Merge(start, nil)
	assert.Equal(t, to.State(start, 1), Poison)
	assert.Equal(t, to.State(start, 2), Suspect)
	to.Merge(start.Add(2*time.Hour), list)
	assert.Equal(t, to.State(start.Add(2*time.Hour), 1), Clear)
	assert.Equal(t, len(mergedIsolator(list, start.Add(2*time.Hour)).entries), 0)
	far := start.Add(1000 * time.Hour).UnixMilli()
	to.Merge(start, []*protocol.Conviction{{Fingerprint: 4, Convicted: true, ExpiresUnixMs: far}})
	assert.Equal(t, to.State(start.Add(time.Hour), 4), Clear)
}

func mergedIsolator(list []*protocol.Conviction, now time.Time) *Isolator {
	i := newTestIsolator()
	i.Merge(now, list)
	return i
}

// TestMaxEntries guards against a table that grows without bound, and against suspects evicting poison requests.
func TestMaxEntries(t *testing.T) {
	i := newTestIsolator()
	i.RecordCrash(start, 1, true)
	for f := range uint64(20) {
		i.RecordCrash(start.Add(30*time.Minute), f+2, false)
	}
	assert.Equal(t, len(i.entries), 3)
	assert.Equal(t, i.State(start.Add(30*time.Minute), 1), Poison)
}
