package experimenter

import "time"

// lengthMix floods quick questions with drafts that are a hundredfold longer; drafts are most of the work.
var lengthMix = []kind{
	{name: "question", tier: 0, workspace: "phones", prompt: 100, output: 20, share: 0.97, limit: time.Hour},
	{name: "draft", tier: 1, workspace: "drawing", prompt: 1000, output: 2000, share: 0.03, limit: time.Hour},
}

const lengthTime = 2 * time.Minute

// lengthRun has a load of 0.7 in bursts.
func lengthRun(seed uint64, mix []kind, load float64) plan {
	engines := pool(fast, slow)
	return plan{seed: seed, engines: engines, calls: arrivals(seed, mix, load*capacity(engines, mix), lengthTime, bursty),
		settings: product(0), lag: 500 * time.Millisecond, length: lengthTime + 3*time.Minute}
}

// measureLengths compares the quick questions' wait with FIFO, and looks at the throughput of the drafts.
func measureLengths(seed uint64) []Row {
	p := lengthRun(seed, lengthMix, 0.7)
	own := run(p)
	p.settings = fifo(0)
	plain := run(p)
	rows := []Row{newRow("first token of quick questions among drafts, p95", "s", own.firstToken(), "fifo",
		plain.firstToken()).atMost(0.36)}
	// In one tier, only the share of slots for drafts helps.
	flat := append([]kind(nil), lengthMix...)
	flat[1].tier = 0
	p = lengthRun(seed, flat, 0.7)
	ownFlat := run(p)
	p.settings = fifo(0)
	plainFlat := run(p)
	rows = append(rows, newRow("the same with drafts in the questions' tier, p95", "s", ownFlat.firstToken(), "fifo",
		plainFlat.firstToken()).atMost(0.36))
	// At three times the capacity, drafts get their share of the slots and no more.
	p = lengthRun(seed, flat, 3)
	p.settings.MaxQueue = 2000
	used := 0.0
	p.prepare = func(w *world) { sampleDrafts(w, &used) }
	flood := run(p)
	slots := 0
	for _, e := range p.engines {
		slots += e.slots
	}
	tokens := 0
	for _, c := range flood.all {
		if isDraft(c) && c.done > 0 && c.done < lengthTime {
			tokens += c.produced
		}
	}
	return append(rows, newRow("drafts at load 3", "tokens/s", float64(tokens)/lengthTime.Seconds(), none, 0).atLeast(1),
		newRow("slots taken by drafts at load 3", "of all slots", used/float64(slots), none, 0).atMost(p.settings.LongShare))
}

func isDraft(c *call) bool { return c.kind.name == "draft" }

// sampleDrafts keeps the largest number of drafts that run at the same time.
func sampleDrafts(w *world, most *float64) {
	var sample func()
	sample = func() {
		running := 0
		for _, e := range w.engines {
			for _, c := range e.running {
				if isDraft(c) {
					running++
				}
			}
		}
		*most = max(*most, float64(running))
		w.after(time.Second, sample)
	}
	w.after(time.Second, sample)
}
