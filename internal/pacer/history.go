package pacer

import (
	"math"
	"time"
)

const (
	// historyHalfLife is the time in which half of an engine's outages is forgotten. An engine that had one counts as
	// sound again half a minute later, one that flaps for minutes in some minutes.
	historyHalfLife = 30 * time.Second
	// maxOutages bounds what an engine has to make up for.
	maxOutages = 4
)

// History counts the recent outages of an engine, with exponential decay.
type History struct {
	score float64
	at    time.Time
}

// Add counts an outage.
func (h *History) Add(now time.Time) {
	h.score = min(maxOutages, h.value(now)+1)
	h.at = now
}

func (h *History) value(now time.Time) float64 {
	passed := max(0, now.Sub(h.at))
	return h.score * math.Exp2(-passed.Seconds()/historyHalfLife.Seconds())
}

// outages returns the number of outages that still count. Half an outage doesn't.
func (h *History) outages(now time.Time) int { return int(math.Ceil(h.value(now) - 0.5)) }

// Forgotten reports whether the history has no effect any more.
func (h *History) Forgotten(now time.Time) bool { return h.outages(now) == 0 }
