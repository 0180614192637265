package scheduler

import (
	"time"
)

// connectionIndex knows to which engines each holder probably keeps idle connections, from the ends of its requests.
type connectionIndex struct {
	settings *Settings
	// idle holds, for each holder and engine, when its idle connections were used last, the latest at the end.
	idle map[string]map[*engine][]time.Time
}

func newConnectionIndex(settings *Settings) *connectionIndex {
	return &connectionIndex{settings: settings, idle: make(map[string]map[*engine][]time.Time)}
}

// released notes that a holder's connection to an engine became idle.
func (c *connectionIndex) released(holder string, e *engine, now time.Time) {
	if c.settings.ConnectionCost <= 0 {
		return
	}
	engines := c.idle[holder]
	if engines == nil {
		engines = make(map[*engine][]time.Time)
		c.idle[holder] = engines
	}
	engines[e] = append(c.fresh(engines[e], now), now)
}

// granted notes that a holder uses an idle connection to an engine, if it has one.
func (c *connectionIndex) granted(holder string, e *engine, now time.Time) {
	engines := c.idle[holder]
	if times := c.fresh(engines[e], now); len(times) > 1 {
		engines[e] = times[:len(times)-1]
		return
	}
	delete(engines, e)
}

// fresh drops the connections that were idle for too long to be still open.
func (c *connectionIndex) fresh(times []time.Time, now time.Time) []time.Time {
	for len(times) > 0 && now.Sub(times[0]) >= c.settings.ConnectionIdle {
		times = times[1:]
	}
	return times
}

// cost is what a request of a holder costs an engine choice for a new connection, in seconds.
func (c *connectionIndex) cost(holder string, e *engine, now time.Time) float64 {
	if c.settings.ConnectionCost <= 0 || len(c.fresh(c.idle[holder][e], now)) > 0 {
		return 0
	}
	return c.settings.ConnectionCost.Seconds()
}

// candidates calls consider with the engines to which a holder probably keeps idle connections.
func (c *connectionIndex) candidates(holder string, now time.Time, consider func(e *engine)) {
	engines := c.idle[holder]
	for e, times := range engines {
		if len(c.fresh(times, now)) == 0 || e.gone {
			delete(engines, e)
			continue
		}
		consider(e)
	}
}

// drop forgets a holder that ended.
func (c *connectionIndex) drop(holder string) { delete(c.idle, holder) }
