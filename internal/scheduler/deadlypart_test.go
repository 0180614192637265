package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	deadly, shared, rare = 0xdead, 0x5a, 0x1000
	// maxLateRuns is the number of runs on the deadly part that may begin later than contactTime after the fifth crash.
	maxLateRuns = 3
	contactTime = 3 * time.Second
	// firstRetention is how long a part is refused at first.
	firstRetention = 2 * time.Minute
)

// parts returns a function that gives all requests the same parts.
func parts(list ...uint64) func(int) []uint64 { return func(int) []uint64 { return list } }

// rareParts gives each request a part that only three others have, besides the one that all share.
func rareParts(n int) []uint64 { return []uint64{shared, rare + uint64(n/4)} }

// some returns a function that names n engines every interval.
func some(n int, interval time.Duration) func(time.Duration) []int {
	random := rand.New(rand.NewPCG(3, 4))
	return func(at time.Duration) []int {
		if at == 0 || at%interval != 0 {
			return nil
		}
		return random.Perm(enginesOfCell)[:n]
	}
}

// TestDeadlyParts guards against a part of prompts that crashes one engine after the other, and against the refusal of
// requests that share their workspace or other parts with those that crash, or that were running when an engine ended for
// another reason.
func TestDeadlyParts(t *testing.T) {
	day := func(name string, change func(*crashDay)) crashDay {
		d := crashDay{name: name, length: 20 * time.Second, tainted: parts(shared, deadly), sound: parts(shared),
			deadlyParts: []uint64{deadly}, taintedEvery: 300 * time.Millisecond, served: 0.8}
		change(&d)
		return d
	}
	// untainted returns a day without deadly parts.
	untainted := func(name string, change func(*crashDay)) crashDay {
		return day(name, func(d *crashDay) {
			d.taintedEvery, d.sound, d.served, d.retries = 0, rareParts, 0, 2
			change(d)
		})
	}
	alternating := func(n int) []uint64 { return []uint64{shared, deadly + uint64(n%2)} }
	separateLater := func(n int) []uint64 {
		if n < 8 {
			return []uint64{rare, deadly}
		}
		return []uint64{deadly}
	}
	lateUse := func(n int) []uint64 { return []uint64{shared + uint64(min(1, n/300))} }
	for _, d := range []crashDay{
		day("middle part", func(*crashDay) {}),
		day("first part", func(d *crashDay) { d.tainted = parts(deadly, shared) }),
		day("only shared part", func(d *crashDay) { d.tainted = parts(deadly) }),
		day("with several other parts", func(d *crashDay) {
			d.tainted = func(n int) []uint64 { return []uint64{shared + uint64(n%3), deadly, rare + uint64(n)} }
			d.sound = func(n int) []uint64 { return []uint64{shared + uint64(n%3)} }
		}),
		day("beside rare parts", func(d *crashDay) { d.sound, d.retries = rareParts, 1 }),
		day("two deadly parts", func(d *crashDay) {
			d.tainted, d.deadlyParts, d.maxCrashes = alternating, []uint64{deadly, deadly + 1}, 9
		}),
		day("other part used by sound requests later", func(d *crashDay) { d.tainted, d.sound = parts(shared+1, deadly), lateUse }),
		day("with the same other part at first", func(d *crashDay) { d.tainted = separateLater }),
		day("retried", func(d *crashDay) { d.retries = 3 }),
		day("seldom", func(d *crashDay) { d.taintedEvery, d.length, d.maxCrashes = 5*time.Second, 2*time.Minute, 5 }),
		day("often", func(d *crashDay) { d.taintedEvery, d.maxCrashes = 40*time.Millisecond, 7 }),
		day("losses reported late", func(d *crashDay) { d.lossDelay = 800 * time.Millisecond }),
		day("many losses not reported", func(d *crashDay) { d.lostReports = 40 }),
		day("without load reports", func(d *crashDay) { d.withoutPolls = true }),
		day("several cells", func(d *crashDay) { d.cells, d.gossipEvery = 4, 500*time.Millisecond }),
		day("takeover", func(d *crashDay) { d.takeover, d.handover = time.Second, true }),
		day("takeover without a handover", func(d *crashDay) { d.takeover = time.Second }),
		day("engines that end beside it", func(d *crashDay) { d.kill, d.served = some(2, 2*time.Second), 0 }),
		day("no longer deadly", func(d *crashDay) { d.deadlyUntil, d.length, d.maxCrashes = 10*time.Second, 3*time.Minute, 5 }),
		day("still deadly after its retention", func(d *crashDay) { d.length, d.maxCrashes = 6*time.Minute+10*time.Second, 6 }),
		untainted("all engines end at once", func(d *crashDay) { d.kill = some(6, 4*time.Second) }),
		untainted("engines end one after the other", func(d *crashDay) { d.kill = some(1, 400*time.Millisecond) }),
		untainted("engines end two at a time", func(d *crashDay) { d.kill = some(2, time.Second) }),
		untainted("connections break", func(d *crashDay) { d.cut = some(3, 300*time.Millisecond) }),
		untainted("connections break, reported late", func(d *crashDay) { d.cut, d.lossDelay = some(3, 300*time.Millisecond), 800*time.Millisecond }),
		untainted("engines leave as planned", func(d *crashDay) { d.kill, d.planned = some(1, 600*time.Millisecond), true }),
	} {
		s := newCrashSimulation(t, d)
		s.play()
		late := 0
		for _, at := range s.deadlyRuns {
			if len(s.crashes) >= 5 && at > s.crashes[4]+contactTime && d.length < firstRetention {
				late++
			}
		}
		t.Logf("%s: %d crashes, %d runs on deadly parts, %d of them late; %d of %d sound runs began", d.name, len(s.crashes),
			len(s.deadlyRuns), late, s.begun, s.soundRuns)
		assert.Check(t, late <= maxLateRuns, "%s: %d late runs", d.name, late)
		assert.Check(t, d.maxCrashes == 0 || len(s.crashes) <= d.maxCrashes, "%s: %d crashes", d.name, len(s.crashes))
		assert.Check(t, float64(s.begun) >= d.served*float64(s.soundRuns), "%s: %d of %d sound runs began", d.name, s.begun, s.soundRuns)
		assert.Check(t, d.taintedEvery == 0 || len(s.crashes) >= 3, "%s: too few crashes", d.name)
	}
}
