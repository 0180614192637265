package isolator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/protocol"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestIsolator() *Isolator {
	return New(Settings{SuspectRetention: time.Minute, PoisonRetention: time.Hour, MaxEntries: 3, PartCrashLimit: 3})
}

// recordCrash records a crash of its own for a request without parts.
func recordCrash(i *Isolator, at time.Time, id, fingerprint uint64, alone bool) {
	i.RecordCrash(at, Crash{ID: id, At: at}, Run{Traits: Traits{Fingerprint: fingerprint}, GrantedAt: at, Alone: alone})
}

// TestRecordCrash guards against a request becoming poison because of a crash while others ran, against one that stays
// poison forever, and against suspects without a fingerprint.
func TestRecordCrash(t *testing.T) {
	i := newTestIsolator()
	for n := range uint64(3) {
		recordCrash(i, start, n, 1, false)
	}
	recordCrash(i, start, 4, 2, true)
	recordCrash(i, start, 5, 0, true)
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
	i.RecordAnswer(start, start.Add(time.Second), 1)
	i.RecordAnswer(start, start.Add(time.Second), 2)
	assert.Equal(t, i.State(start, 1), Clear)
	assert.Equal(t, i.State(start, 2), Poison)
	assert.Equal(t, len(i.List(start)), 1)
	assert.Equal(t, len(i.List(start.Add(time.Hour))), 0)
	assert.Equal(t, len(i.List(start.Add(2*time.Hour))), 0)
	assert.Equal(t, len(i.suspects), 0)
}

// TestMerge guards against poison entries that are lost, restored after their expiry or made permanent by gossip.
func TestMerge(t *testing.T) {
	from, to := newTestIsolator(), newTestIsolator()
	recordCrash(from, start, 1, 1, true)
	recordCrash(from, start, 2, 2, false)
	list := from.List(start)
	to.Merge(start, list)
	to.Merge(start, nil)
	assert.Equal(t, to.State(start, 1), Poison)
	assert.Equal(t, to.State(start, 2), Suspect)
	to.Merge(start.Add(2*time.Hour), list)
	assert.Equal(t, to.State(start.Add(2*time.Hour), 1), Clear)
	assert.Equal(t, len(mergedIsolator(list, start.Add(2*time.Hour)).suspects), 0)
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
	recordCrash(i, start, 1, 1, true)
	for f := range uint64(20) {
		recordCrash(i, start.Add(30*time.Minute), f+2, f+2, false)
	}
	assert.Equal(t, len(i.suspects), 3)
	assert.Equal(t, i.State(start.Add(30*time.Minute), 1), Poison)
}

// TestLostStream guards against the refusal of a request that was lost in several crashes of other causes while its answer
// was being sent, and against one that crashes each engine late in its answer and is never refused.
func TestLostStream(t *testing.T) {
	for _, c := range []struct {
		begun, unbegun int
		want           State
	}{{0, 2, Clear}, {0, 3, Poison}, {3, 0, Clear}, {3, 2, Clear}, {4, 2, Poison}, {6, 0, Poison}} {
		i := New(Settings{SuspectRetention: time.Minute, PoisonRetention: time.Hour, MaxEntries: 9, CrashLimit: 3})
		for n := range c.begun + c.unbegun {
			i.RecordCrash(start, Crash{uint64(n), start}, Run{Traits: Traits{Fingerprint: 1}, GrantedAt: start, Begun: n < c.begun})
		}
		assert.Equal(t, i.State(start, 1), c.want, "%+v", c)
	}
}

// TestCrashesAtSeveralRouters guards against a request that crashes engines of several routers and is counted by each of them
// on its own.
func TestCrashesAtSeveralRouters(t *testing.T) {
	settings := Settings{SuspectRetention: time.Minute, PoisonRetention: time.Hour, MaxEntries: 9, CrashLimit: 3}
	first, second := New(settings), New(settings)
	for n, i := range []*Isolator{first, first, second, second} {
		recordCrash(i, start, uint64(n), 1, false)
	}
	second.Merge(start, first.List(start))
	assert.Equal(t, second.State(start, 1), Poison)
	assert.Equal(t, first.State(start, 1), Clear)
}

// crashOn records n crashes, a second apart, each of another request with the parts. It returns the time after the last.
func crashOn(i *Isolator, at time.Time, n int, parts ...uint64) time.Time {
	for range n {
		id := uint64(at.UnixNano())
		i.RecordCrash(at, Crash{ID: id, At: at}, Run{Traits: Traits{Fingerprint: id, Parts: parts}, GrantedAt: at})
		at = at.Add(time.Second)
	}
	return at
}

// TestPoisonPart guards against the refusal of requests that have only a part in common with those that crash engines,
// against several trials of a poison part at once, and against a part that stays poison although engines answer requests
// with it again.
func TestPoisonPart(t *testing.T) {
	const harmless, deadly = 7, 8
	admitted := func(i *Isolator, now time.Time, id string, parts ...uint64) bool {
		return i.Admit(now, id, Traits{Fingerprint: 1, Parts: parts}).Trait == 0
	}
	i := New(Settings{SuspectRetention: time.Hour, PoisonRetention: time.Hour, MaxEntries: 100, PartCrashLimit: 3})
	now := crashOn(i, start, 3, harmless, deadly)
	assert.Check(t, !admitted(i, now, "both", harmless, deadly))
	assert.Check(t, admitted(i, now, "one", harmless), "the crashes don't tell the parts apart")
	assert.Check(t, admitted(i, now, "other", deadly), "the crashes don't tell the parts apart")
	i.RecordBegun(now, now, []uint64{harmless})
	assert.Check(t, !admitted(i, now, "other", deadly), "an engine has answered a request with the other part")
	other := mergedIsolator(i.List(now), now)
	assert.Check(t, !admitted(other, now, "other", deadly) && admitted(other, now, "one", harmless), "at another router")
	i.Merge(now, other.List(now))
	assert.Check(t, admitted(i, now, "one", harmless), "an answer outweighs the message of another router")

	for _, retention := range []time.Duration{2 * time.Minute, 4 * time.Minute} {
		assert.Check(t, !admitted(i, now.Add(retention-5*time.Second), "early", deadly), "%s", retention)
		now = now.Add(retention)
		assert.Check(t, admitted(i, now, "trial", deadly), "%s", retention)
		assert.Check(t, !admitted(i, now, "second", deadly), "one trial at a time, %s", retention)
		now = crashOn(i, now, 1, deadly)
		i.EndTrial(now, "trial")
	}
	now = now.Add(8 * time.Minute)
	assert.Check(t, admitted(i, now, "given up", deadly))
	i.EndTrial(now, "given up")
	assert.Check(t, !admitted(i, now, "next", deadly), "the evidence of a crash may still come")
	now = now.Add(trialPause)
	assert.Check(t, admitted(i, now, "next", deadly))
	i.RecordBegun(now, now, []uint64{deadly})
	i.EndTrial(now, "next")
	assert.Check(t, admitted(i, now, "any", deadly) && admitted(i, now, "number", deadly))
}

// TestInsufficientEvidence guards against a part becoming poison because of crashes that have another cause.
func TestInsufficientEvidence(t *testing.T) {
	const part = 7
	at := func(n int) time.Time { return start.Add(time.Duration(n) * 50 * time.Millisecond) }
	run := func(fingerprint uint64, granted time.Time) Run {
		return Run{Traits: Traits{Fingerprint: fingerprint, Parts: []uint64{part}}, GrantedAt: granted}
	}
	cases := []struct {
		name   string
		record func(i *Isolator, n int)
		want   State
	}{
		{"unlike requests", func(i *Isolator, n int) { i.RecordCrash(at(n), Crash{uint64(n), at(n)}, run(uint64(10+n), at(n))) }, Poison},
		{"one request", func(i *Isolator, n int) { i.RecordCrash(at(n), Crash{uint64(n), at(n)}, run(10, at(n))) }, Clear},
		{"one crash", func(i *Isolator, n int) { i.RecordCrash(at(n), Crash{1, at(0)}, run(uint64(10+n), at(n))) }, Clear},
		{"crashes at the same time", func(i *Isolator, n int) { i.RecordCrash(at(n), Crash{uint64(n), at(0)}, run(uint64(10+n), at(n))) }, Clear},
		{"answers had begun", func(i *Isolator, n int) {
			r := run(uint64(10+n), at(n))
			r.Begun = true
			i.RecordCrash(at(n), Crash{uint64(n), at(n)}, r)
		}, Clear},
		{"answered in between", func(i *Isolator, n int) {
			i.RecordCrash(at(n), Crash{uint64(n), at(n)}, run(uint64(10+n), at(n)))
			if n%2 == 1 {
				i.RecordBegun(at(n), at(n), []uint64{part})
			}
		}, Clear},
		{"answered before, too few", func(i *Isolator, n int) {
			i.RecordBegun(at(0), at(0).Add(-time.Second), []uint64{part})
			i.RecordCrash(at(n), Crash{uint64(n), at(n)}, run(uint64(10+n), at(n)))
		}, Clear},
		{"answered before", func(i *Isolator, n int) {
			i.RecordBegun(at(0), at(0).Add(-time.Second), []uint64{part})
			i.RecordCrash(at(20*n), Crash{uint64(n), at(20 * n)}, run(uint64(10+n), at(20*n)))
		}, Poison},
		{"most crashes without it", func(i *Isolator, n int) {
			recordCrash(i, at(20*n), uint64(100+n), 1, false)
			recordCrash(i, at(20*n+10), uint64(200+n), 1, false)
			if n%5 == 0 {
				i.RecordCrash(at(20*n), Crash{uint64(100 + n), at(20 * n)}, run(uint64(10+n), at(20*n)))
			}
		}, Clear},
		{"no crashes after all", func(i *Isolator, n int) {
			i.RecordCrash(at(n), Crash{uint64(n), at(n)}, run(uint64(10+n), at(n)))
			i.Retract(uint64(n))
		}, Clear},
		{"crashes of another part", func(i *Isolator, n int) {
			both := run(uint64(10+n), at(n))
			both.Parts = []uint64{part, 99}
			if n > 4 {
				both.Parts = []uint64{99}
			}
			i.RecordCrash(at(n), Crash{uint64(n), at(n)}, both)
		}, Clear},
	}
	for _, c := range cases {
		i := New(Settings{SuspectRetention: time.Hour, PoisonRetention: time.Hour, MaxEntries: 100, PartCrashLimit: 3})
		for n := range 12 {
			c.record(i, n)
		}
		assert.Check(t, i.State(at(240), part) == c.want, c.name)
	}
}
