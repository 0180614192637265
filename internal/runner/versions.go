package runner

import (
	"maps"
	"time"
)

// SetVersionLimits limits the grants to the versions of a pool. totals holds the totals of the limits that count grants, by
// cell. A nil map of limits removes them.
func (r *Runner) SetVersionLimits(pool string, limits map[string]VersionLimit, totals map[*Cell]uint64) {
	r.mu.Lock()
	if limits == nil {
		delete(r.versionLimits, pool)
	} else {
		r.versionLimits[pool] = limits
	}
	r.mu.Unlock()
	for _, c := range r.poolCells(pool) {
		limits := maps.Clone(limits)
		for version, limit := range limits {
			limit.Total = totals[&c.identity]
			limits[version] = limit
		}
		c.post(func(now time.Time) { c.limitVersions(now, limits) })
	}
}

// VersionGrants returns the number of grants to a version by cell of a pool.
func (r *Runner) VersionGrants(pool, version string) map[*Cell]uint64 {
	grants := make(map[*Cell]uint64)
	for _, c := range r.poolCells(pool) {
		answer := make(chan uint64, 1)
		if !c.post(func(time.Time) {
			if limiter, ok := c.scheduler.(versionLimiter); ok {
				answer <- limiter.VersionGrants(version)
				return
			}
			answer <- 0
		}) {
			continue
		}
		select {
		case grants[&c.identity] = <-answer:
		case <-r.ctx.Done():
		}
	}
	return grants
}

// Cell identifies a running cell: one that ends and starts again is another one.
type Cell struct{ _ byte }

func (r *Runner) poolCells(pool string) (cells []*cell) {
	for _, c := range r.allCells() {
		if c.pool == pool {
			cells = append(cells, c)
		}
	}
	return cells
}

// limitVersions applies the limits of the cell's pool.
func (c *cell) limitVersions(now time.Time, limits map[string]VersionLimit) {
	if limiter, ok := c.scheduler.(versionLimiter); ok {
		limiter.SetVersionLimits(now, limits)
	}
}

// initialVersionLimits returns the limits for a new cell: it gets no part of a counted limit until the next call of
// SetVersionLimits. The caller holds r.mu.
func (r *Runner) initialVersionLimits(pool string) map[string]VersionLimit {
	limits := maps.Clone(r.versionLimits[pool])
	for version, limit := range limits {
		if !limit.Unlimited {
			limits[version] = VersionLimit{}
		}
	}
	return limits
}
