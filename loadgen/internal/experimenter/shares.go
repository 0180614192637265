package experimenter

import (
	"math"
	"slices"
	"time"
)

// shareMix has workspaces of weights 1 to 4 whose requests differ in length, each with as much work in requests as the
// others.
var shareMix = []kind{
	{name: "a", tier: 1, workspace: "w1", prompt: 200, output: 100, share: 0.25, limit: time.Hour},
	{name: "b", tier: 1, workspace: "w2", prompt: 400, output: 200, share: 0.25, limit: time.Hour},
	{name: "c", tier: 1, workspace: "w3", prompt: 600, output: 300, share: 0.25, limit: time.Hour},
	{name: "d", tier: 1, workspace: "w4", prompt: 800, output: 400, share: 0.25, limit: time.Hour},
}

var shareWeights = map[string]float64{"w1": 1, "w2": 2, "w3": 3, "w4": 4}

// equalWork changes the request shares of a mix so that every workspace asks for the same work in tokens.
func equalWork(mix []kind) []kind {
	equal := slices.Clone(mix)
	var sum float64
	for i := range equal {
		equal[i].share = 1 / float64(equal[i].prompt+equal[i].output)
		sum += equal[i].share
	}
	for i := range equal {
		equal[i].share /= sum
	}
	return equal
}

// Time span of the shares, after the queues have filled.
const shareFrom, shareUntil = 60 * time.Second, 240 * time.Second

// shareRun saturates the engines at four times their capacity, so that each workspace asks for more than its share.
func shareRun(seed uint64, mix []kind) plan {
	mix = equalWork(mix)
	engines := pool(fast, slow)
	rate := capacity(engines, mix)
	return plan{seed: seed, engines: engines, calls: arrivals(seed, mix, 4*rate, shareUntil, steady), weights: shareWeights,
		settings: product(int(60 * rate)), lag: 500 * time.Millisecond, length: shareUntil}
}

// shareWork is the tokens that engines computed for answers complete within the time span: prompt tokens that weren't
// cached, and output.
func (w *world) shareWork(of func(*call) bool) float64 {
	var sum int
	for _, c := range w.all {
		if c.done >= shareFrom && c.done < shareUntil && of(c) {
			sum += c.computed + c.produced
		}
	}
	return float64(sum)
}

// deviation is the largest distance of a workspace from its share, relative to the share.
func (w *world) deviation(mix []kind) float64 {
	all := w.shareWork(func(*call) bool { return true })
	var weights, worst float64
	for _, k := range mix {
		weights += w.weights[k.workspace]
	}
	for _, k := range mix {
		share := w.weights[k.workspace] / weights
		got := w.shareWork(func(c *call) bool { return c.kind.workspace == k.workspace }) / all
		worst = max(worst, math.Abs(got/share-1))
	}
	return worst
}

// measureShares compares the shares of the workspaces with FIFO, and the throughput while one of them is idle with that
// while all are busy.
func measureShares(seed uint64) []Row {
	p := shareRun(seed, shareMix)
	own := run(p)
	p.settings = fifo(p.settings.MaxQueue)
	plain := run(p)
	rows := []Row{newRow("distance of a workspace from its share", "of the share", own.deviation(shareMix), "fifo",
		plain.deviation(shareMix)).atMost(0.05)}
	// The idle workspace's share goes to the others; work of the same lengths keeps the throughputs comparable.
	alike := slices.Clone(shareMix)
	for i := range alike {
		alike[i].prompt, alike[i].output = 500, 250
	}
	any := func(*call) bool { return true }
	full, lent := run(shareRun(seed, alike)), run(shareRun(seed, alike[:3]))
	span := (shareUntil - shareFrom).Seconds()
	return append(rows, newRow("throughput with an idle workspace", "tokens/s", lent.shareWork(any)/span,
		"all busy", full.shareWork(any)/span).ratioAtLeast(0.98),
		newRow("distance of a workspace from its share, one idle", "of the share", lent.deviation(alike[:3]), none, 0).atMost(0.05))
}
