package runner

import (
	"time"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/ranker"
)

// cellPool returns a pool reduced to one cell: the cell's engines and its part of the queue limit. It returns false if
// the catalogue has no such cell.
func cellPool(catalogue *cataloguer.Catalogue, name string, index, cellEngines int) (cataloguer.Pool, bool) {
	pool, ok := findPool(catalogue, name)
	cells := ranker.Cells(len(pool.Upstreams), cellEngines)
	if !ok || index >= cells {
		return cataloguer.Pool{}, false
	}
	part := pool
	part.MaxQueue = divide(pool.MaxQueue, cells)
	part.Upstreams = nil
	for _, upstream := range pool.Upstreams {
		if ranker.Cell(upstream.Name, cells) == index {
			part.Upstreams = append(part.Upstreams, upstream)
		}
	}
	return part, true
}

// divide splits a limit evenly among cells and rounds up. 0 means no limit and stays 0.
func divide(limit, cells int) int { return (limit + cells - 1) / cells }

func (c *cell) currentPool() (cataloguer.Pool, bool) {
	return cellPool(c.runner.options.Catalogue.Current(), c.pool, c.index, c.runner.options.CellEngines)
}

func (c *cell) inCatalogue() bool {
	_, ok := c.currentPool()
	return ok
}

// refresh applies the latest catalogue and member view.
func (c *cell) refresh(now time.Time) {
	if current := c.runner.options.Catalogue.Current(); current != c.catalogue {
		c.catalogue = current
		c.applyCatalogue(now, current)
	}
	c.applyView(now)
	c.logShares(now)
	c.startPolling()
}

func (c *cell) applyCatalogue(now time.Time, catalogue *cataloguer.Catalogue) {
	part, _ := c.currentPool()
	cells := 1
	if pool, ok := findPool(catalogue, c.pool); ok {
		cells = ranker.Cells(len(pool.Upstreams), c.runner.options.CellEngines)
	}
	infos := make([]EngineInfo, len(part.Upstreams))
	for i, u := range part.Upstreams {
		infos[i] = EngineInfo{
			Name: u.Name, DataCentre: u.DataCentre, Generation: u.Generation, Slots: u.Slots,
			PrefillPerSec: float64(u.PrefillPerSec), TokensPerSec: float64(u.TokensPerSec), KVTokens: u.KVTokens,
			Incarnation: u.Incarnation, ColdRemaining: u.ColdRemaining, Version: u.Version,
		}
	}
	weights := make(map[string]float64, len(catalogue.Workspaces))
	allowances := make(map[string]cataloguer.Allowance, len(catalogue.Workspaces))
	c.limited = false
	for _, w := range catalogue.Workspaces {
		weights[w.Name] = w.Weight
		allowances[w.Name] = cellAllowance(w, catalogue, part)
		c.limited = c.limited || w.Allowance.Rate > 0
	}
	works := make(map[string]cataloguer.Work)
	for _, w := range catalogue.Works {
		if w.Pool == c.pool {
			w.Limits.Concurrency = divide(w.Limits.Concurrency, cells)
			w.Limits.TokensPerMinute = divide(w.Limits.TokensPerMinute, cells)
			works[w.Name] = w
		}
	}
	if limiter, ok := c.scheduler.(queueLimiter); ok {
		limiter.SetMaxQueue(part.MaxQueue)
	}
	c.scheduler.SetWorkspaceWeights(weights)
	c.scheduler.SetWorks(works)
	if limiter, ok := c.scheduler.(allowanceLimiter); ok {
		limiter.SetAllowances(allowances)
	}
	c.scheduler.SetEngines(now, infos)
	c.setEngines(part)
}

func findPool(catalogue *cataloguer.Catalogue, name string) (cataloguer.Pool, bool) {
	for _, pool := range catalogue.Pools {
		if pool.Name == name {
			return pool, true
		}
	}
	return cataloguer.Pool{}, false
}

// cellAllowance returns the part of a workspace's allowance that the scheduler of one cell may grant. Holders give each
// cell work in proportion to its engines.
func cellAllowance(workspace cataloguer.Workspace, catalogue *cataloguer.Catalogue, part cataloguer.Pool) cataloguer.Allowance {
	share := allowanceShare(catalogue, part)
	if pool, ok := findPool(catalogue, part.Name); ok && len(pool.Upstreams) > 0 {
		share *= float64(len(part.Upstreams)) / float64(len(pool.Upstreams))
	}
	return workspace.Allowance.Scale(share)
}

// serviceShare is the part of a workspace's allowance that all service pools together may grant if the catalogue has
// model pools too. Service requests use little of an allowance, and each scheduler counts only its own grants.
const serviceShare = 0.06

// allowanceShare returns the part of the workspaces' allowances that the schedulers of one pool may grant. The model
// pools split the whole allowance, so all pools together exceed it by serviceShare at most.
func allowanceShare(catalogue *cataloguer.Catalogue, pool cataloguer.Pool) float64 {
	models := 0
	for _, other := range catalogue.Pools {
		if other.ModelEngines {
			models++
		}
	}
	services := len(catalogue.Pools) - models
	switch {
	case models == 0:
		return 1 / float64(max(1, services))
	case pool.ModelEngines:
		return 1 / float64(models)
	default:
		return serviceShare / float64(max(1, services))
	}
}
