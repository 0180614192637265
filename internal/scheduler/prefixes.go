package scheduler

import (
	"time"

	"coltsfootplank/internal/kernel"
)

// prefixIndex estimates which engines hold which prompt prefixes in their KV cache, from this scheduler's grants and
// from cache events. It may be wrong: an engine may have evicted a prefix already.
type prefixIndex struct {
	settings *Settings
	engines  map[uint64][]*engine
}

// engineCache holds the prefixes that one engine probably has cached.
type engineCache struct {
	lastSeen map[uint64]time.Time
	// order holds the hashes in the order in which they were added, the oldest first.
	order []uint64
}

func newPrefixIndex(settings *Settings) *prefixIndex {
	return &prefixIndex{settings: settings, engines: make(map[uint64][]*engine)}
}

// add records that an engine holds a prefix.
func (p *prefixIndex) add(e *engine, hash uint64, now time.Time) {
	if _, known := e.cache.lastSeen[hash]; !known {
		for len(e.cache.order) >= max(1, p.settings.PrefixEntries) {
			oldest := e.cache.order[0]
			e.cache.order = e.cache.order[1:]
			p.remove(e, oldest)
		}
		if e.cache.lastSeen == nil {
			e.cache.lastSeen = make(map[uint64]time.Time)
		}
		e.cache.order = append(e.cache.order, hash)
		p.engines[hash] = append(p.engines[hash], e)
	}
	e.cache.lastSeen[hash] = now
}

// remove records that an engine no longer holds a prefix.
func (p *prefixIndex) remove(e *engine, hash uint64) {
	if _, known := e.cache.lastSeen[hash]; !known {
		return
	}
	delete(e.cache.lastSeen, hash)
	engines := p.engines[hash]
	for i, other := range engines {
		if other == e {
			engines[i] = engines[len(engines)-1]
			engines = engines[:len(engines)-1]
			break
		}
	}
	if len(engines) == 0 {
		delete(p.engines, hash)
		return
	}
	p.engines[hash] = engines
}

// clear removes all prefixes of an engine, after a restart.
func (p *prefixIndex) clear(e *engine) {
	for _, hash := range e.cache.order {
		p.remove(e, hash)
	}
	e.cache = engineCache{}
}

// cached estimates how many prompt tokens of a request an engine has in its cache. It assumes that the hashes cover the
// prompt in equal steps, the longest prefix last.
func (e *engine) cached(r *request) float64 {
	hashes := r.ticket.GetPrefixHashes()
	for i := len(hashes) - 1; i >= 0; i-- {
		if _, known := e.cache.lastSeen[hashes[i]]; known {
			return r.prompt * float64(i+1) / float64(len(hashes))
		}
	}
	return 0
}

// candidates calls consider with engines that hold the longest known prefixes of the request.
func (p *prefixIndex) candidates(r *request, consider func(e *engine)) {
	const levels, enginesPerLevel = 2, 8
	found := 0
	hashes := r.ticket.GetPrefixHashes()
	for i := len(hashes) - 1; i >= 0 && found < levels; i-- {
		engines := p.engines[hashes[i]]
		if len(engines) == 0 {
			continue
		}
		found++
		for _, e := range engines[:min(enginesPerLevel, len(engines))] {
			consider(e)
		}
	}
}

// recordGrant records the prefixes of a request that was granted on an engine.
func (p *prefixIndex) recordGrant(e *engine, r *request, now time.Time) {
	for _, hash := range r.ticket.GetPrefixHashes() {
		p.add(e, hash, now)
	}
}

// ObserveCache handles a page of an engine's cache events. Events arrive late, so an eviction doesn't remove a prefix
// that a recent grant put into the cache. Events also get lost: a prefix whose eviction was lost stays listed, but it
// attracts at most one request, whose run puts it back into the engine's cache.
func (s *Scheduler) ObserveCache(now time.Time, engine string, events kernel.CacheEvents) {
	s.recordInput(now)
	e := s.engines.byName[engine]
	if e == nil {
		return
	}
	for _, event := range events.Events {
		switch event.Kind {
		case kernel.CacheStored:
			s.engines.prefixes.add(e, event.Hash, now)
		case kernel.CacheEvicted:
			if now.Sub(e.cache.lastSeen[event.Hash]) > s.settings.CacheEventLag {
				s.engines.prefixes.remove(e, event.Hash)
			}
		}
	}
}
