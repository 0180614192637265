package experimenter

import (
	"math"
	"slices"
	"time"
)

// shareMix has four workspaces whose requests differ in length. Their weights are in shareWeights, and shareConfig
// changes the request shares so that each asks for the same amount of work.
var shareMix = []workKind{
	{name: "a", tier: 1, workspace: "w1", promptTokens: 200, outputTokens: 100, requestShare: 0.25, limit: time.Hour},
	{name: "b", tier: 1, workspace: "w2", promptTokens: 400, outputTokens: 200, requestShare: 0.25, limit: time.Hour},
	{name: "c", tier: 1, workspace: "w3", promptTokens: 600, outputTokens: 300, requestShare: 0.25, limit: time.Hour},
	{name: "d", tier: 1, workspace: "w4", promptTokens: 800, outputTokens: 400, requestShare: 0.25, limit: time.Hour},
}

var shareWeights = map[string]float64{"w1": 1, "w2": 2, "w3": 3, "w4": 4}

// equalWork returns the mix with request shares that make every workspace ask for the same number of tokens.
func equalWork(mix []workKind) []workKind {
	equal := slices.Clone(mix)
	var sum float64
	for i := range equal {
		equal[i].requestShare = 1 / float64(equal[i].promptTokens+equal[i].outputTokens)
		sum += equal[i].requestShare
	}
	for i := range equal {
		equal[i].requestShare /= sum
	}
	return equal
}

// The shares are measured in this time window, after the queues have filled.
const shareWindowStart, shareWindowEnd = 60 * time.Second, 240 * time.Second

// shareConfig loads the engines with four times their capacity, so that each workspace asks for more than its share.
func shareConfig(seed uint64, mix []workKind) runConfig {
	mix = equalWork(mix)
	engines := enginePool(fast, slow)
	rate := capacity(engines, mix)
	return runConfig{seed: seed, engineKinds: engines,
		calls:    generateCalls(seed, mix, 4*rate, shareWindowEnd, steadyRate),
		weights:  shareWeights,
		settings: productSettings(int(60 * rate)), reportLag: 500 * time.Millisecond, duration: shareWindowEnd}
}

// workInWindow returns the number of tokens that engines computed for matching calls that were answered within the time
// window: prompt tokens that weren't cached, and output tokens.
func (sim *simulation) workInWindow(matches func(*call) bool) float64 {
	var sum int
	for _, c := range sim.allCalls {
		if c.doneAt >= shareWindowStart && c.doneAt < shareWindowEnd && matches(c) {
			sum += c.computedTokens + c.producedTokens
		}
	}
	return float64(sum)
}

// shareDeviation returns the largest deviation of a workspace's work from its configured share, relative to that share.
func (sim *simulation) shareDeviation(mix []workKind) float64 {
	total := sim.workInWindow(func(*call) bool { return true })
	var totalWeight, largest float64
	for _, k := range mix {
		totalWeight += sim.weights[k.workspace]
	}
	for _, k := range mix {
		share := sim.weights[k.workspace] / totalWeight
		got := sim.workInWindow(func(c *call) bool { return c.kind.workspace == k.workspace }) / total
		largest = max(largest, math.Abs(got/share-1))
	}
	return largest
}

// measureShares compares the deviation of workspaces from their shares with that of a FIFO queue, and the throughput
// while one workspace is idle with the throughput while all are busy.
func measureShares(seed uint64) []Row {
	config := shareConfig(seed, shareMix)
	policy := run(config)
	config.settings = fifoSettings(config.settings.MaxQueue)
	baseline := run(config)
	rows := []Row{newRow("distance of a workspace from its share", "of the share", policy.shareDeviation(shareMix), "fifo",
		baseline.shareDeviation(shareMix)).atMost(0.05)}
	// The share of the idle workspace goes to the others. All requests have the same lengths, so that the throughputs
	// can be compared.
	sameLengths := slices.Clone(shareMix)
	for i := range sameLengths {
		sameLengths[i].promptTokens, sameLengths[i].outputTokens = 500, 250
	}
	any := func(*call) bool { return true }
	allBusy, oneIdle := run(shareConfig(seed, sameLengths)), run(shareConfig(seed, sameLengths[:3]))
	seconds := (shareWindowEnd - shareWindowStart).Seconds()
	return append(rows, newRow("throughput with an idle workspace", "tokens/s", oneIdle.workInWindow(any)/seconds,
		"all busy", allBusy.workInWindow(any)/seconds).ratioAtLeast(0.98),
		newRow("distance of a workspace from its share, one idle", "of the share", oneIdle.shareDeviation(sameLengths[:3]), none, 0).atMost(0.05))
}
