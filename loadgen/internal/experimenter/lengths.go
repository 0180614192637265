package experimenter

import "time"

// lengthMix mixes short questions with drafts that have a hundred times the output and are most of the work.
var lengthMix = []workKind{
	{name: "question", tier: 0, workspace: "phones", promptTokens: 100, outputTokens: 20, requestShare: 0.97, limit: time.Hour},
	{name: "draft", tier: 1, workspace: "drawing", promptTokens: 1000, outputTokens: 2000, requestShare: 0.03, limit: time.Hour},
}

const lengthArrivalTime = 2 * time.Minute

// lengthConfig returns a run with bursty arrivals; load is relative to the capacity of the engines.
func lengthConfig(seed uint64, mix []workKind, load float64) runConfig {
	engines := enginePool(fast, slow)
	return runConfig{seed: seed, engineKinds: engines,
		calls:    generateCalls(seed, mix, load*capacity(engines, mix), lengthArrivalTime, burstyRate),
		settings: productSettings(0), reportLag: 500 * time.Millisecond, duration: lengthArrivalTime + 3*time.Minute}
}

// measureLengths compares the first-token latency of short questions with that of a FIFO queue, and measures the
// throughput of the drafts and their peak share of the slots.
func measureLengths(seed uint64) []Row {
	config := lengthConfig(seed, lengthMix, 0.7)
	policy := run(config)
	config.settings = fifoSettings(0)
	baseline := run(config)
	rows := []Row{newRow("first token of quick questions among drafts, p95", "s", policy.firstTokenP95(), "fifo",
		baseline.firstTokenP95()).atMost(0.36)}
	// With both kinds in one tier, only the limit on the share of slots for long requests protects the questions.
	oneTier := append([]workKind(nil), lengthMix...)
	oneTier[1].tier = 0
	config = lengthConfig(seed, oneTier, 0.7)
	policyOneTier := run(config)
	config.settings = fifoSettings(0)
	baselineOneTier := run(config)
	rows = append(rows, newRow("the same with drafts in the questions' tier, p95", "s", policyOneTier.firstTokenP95(), "fifo",
		baselineOneTier.firstTokenP95()).atMost(0.36))
	// At three times the capacity, drafts must make progress, but take no more than their share of the slots.
	config = lengthConfig(seed, oneTier, 3)
	config.settings.MaxQueue = 2000
	peakDrafts := 0.0
	config.prepare = func(sim *simulation) { trackPeakDrafts(sim, &peakDrafts) }
	overloaded := run(config)
	slots := 0
	for _, e := range config.engineKinds {
		slots += e.slots
	}
	tokens := 0
	for _, c := range overloaded.allCalls {
		if isDraft(c) && c.doneAt > 0 && c.doneAt < lengthArrivalTime {
			tokens += c.producedTokens
		}
	}
	return append(rows, newRow("drafts at load 3", "tokens/s", float64(tokens)/lengthArrivalTime.Seconds(), none, 0).atLeast(1),
		newRow("slots taken by drafts at load 3", "of all slots", peakDrafts/float64(slots), none, 0).atMost(config.settings.LongShare))
}

func isDraft(c *call) bool { return c.kind.name == "draft" }

// trackPeakDrafts sets peak to the largest number of drafts that run at the same time, sampled every second.
func trackPeakDrafts(sim *simulation, peak *float64) {
	var sample func()
	sample = func() {
		runningDrafts := 0
		for _, e := range sim.engines {
			for _, c := range e.running {
				if isDraft(c) {
					runningDrafts++
				}
			}
		}
		*peak = max(*peak, float64(runningDrafts))
		sim.after(time.Second, sample)
	}
	sim.after(time.Second, sample)
}
