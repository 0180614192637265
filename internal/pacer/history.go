package pacer

import (
	"math"
	"time"
)

const (
	// historyHalfLife is the time in which half of an engine's falls is forgotten. An engine that fell once counts as
	// sound again half a minute later, one that flaps for minutes in some minutes.
	historyHalfLife = 30 * time.Second
	// maxFalls bounds what an engine has to make up for.
	maxFalls = 4
)

// History counts how often an engine fell recently, with exponential decay.
type History struct {
	score float64
	at    time.Time
}

// Add counts a fall.
func (h *History) Add(now time.Time) {
	h.score = min(maxFalls, h.value(now)+1)
	h.at = now
}

func (h *History) value(now time.Time) float64 {
	passed := max(0, now.Sub(h.at))
	return h.score * math.Exp2(-passed.Seconds()/historyHalfLife.Seconds())
}

// falls returns the number of falls that still count. Half a fall doesn't.
func (h *History) falls(now time.Time) int { return int(math.Ceil(h.value(now) - 0.5)) }

// Forgotten reports whether the history has no effect any more.
func (h *History) Forgotten(now time.Time) bool { return h.falls(now) == 0 }
