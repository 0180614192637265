package scheduler

import (
	"time"
)

// connectionIndex estimates to which engines each holder has idle connections. It derives them from the ends of the
// holder's requests.
type connectionIndex struct {
	settings *Settings
	// idle holds, by holder and engine, when each idle connection was last used, the most recent at the end.
	idle map[string]map[*engine][]time.Time
}

func newConnectionIndex(settings *Settings) *connectionIndex {
	return &connectionIndex{settings: settings, idle: make(map[string]map[*engine][]time.Time)}
}

// recordIdle records that a holder's connection to an engine became idle.
func (c *connectionIndex) recordIdle(holder string, e *engine, now time.Time) {
	if c.settings.ConnectionCost <= 0 {
		return
	}
	engines := c.idle[holder]
	if engines == nil {
		engines = make(map[*engine][]time.Time)
		c.idle[holder] = engines
	}
	engines[e] = append(c.unexpired(engines[e], now), now)
}

// recordUse records that a holder uses one of its idle connections to an engine, if it has any.
func (c *connectionIndex) recordUse(holder string, e *engine, now time.Time) {
	engines := c.idle[holder]
	if times := c.unexpired(engines[e], now); len(times) > 1 {
		engines[e] = times[:len(times)-1]
		return
	}
	delete(engines, e)
}

// unexpired returns the times without those of connections that were idle for so long that the holder has closed them.
func (c *connectionIndex) unexpired(times []time.Time, now time.Time) []time.Time {
	for len(times) > 0 && now.Sub(times[0]) >= c.settings.ConnectionIdle {
		times = times[1:]
	}
	return times
}

// cost returns the penalty in seconds for an engine to which the holder has no idle connection; 0 if it has one.
func (c *connectionIndex) cost(holder string, e *engine, now time.Time) float64 {
	if c.settings.ConnectionCost <= 0 || len(c.unexpired(c.idle[holder][e], now)) > 0 {
		return 0
	}
	return c.settings.ConnectionCost.Seconds()
}

// candidates calls consider with the engines to which a holder probably has idle connections.
func (c *connectionIndex) candidates(holder string, now time.Time, consider func(e *engine)) {
	engines := c.idle[holder]
	for e, times := range engines {
		if len(c.unexpired(times, now)) == 0 || e.removed {
			delete(engines, e)
			continue
		}
		consider(e)
	}
}

// dropHolder removes the connections of a holder that has stopped.
func (c *connectionIndex) dropHolder(holder string) { delete(c.idle, holder) }
