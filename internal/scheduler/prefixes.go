package scheduler

import (
	"time"

	"coltsfootplank/internal/kernel"
)

// prefixIndex knows which engines probably hold which prompt prefixes, from the own dispatches and from cache
// events. Both are guesses: an engine may have evicted a prefix already.
type prefixIndex struct {
	settings *Settings
	engines  map[uint64][]*engine
}

// engineCache is what one engine probably holds.
type engineCache struct {
	seen map[uint64]time.Time
	// order holds the hashes in the order of their first use, the oldest first.
	order []uint64
}

func newPrefixIndex(settings *Settings) *prefixIndex {
	return &prefixIndex{settings: settings, engines: make(map[uint64][]*engine)}
}

// add notes that an engine holds a prefix.
func (p *prefixIndex) add(e *engine, hash uint64, now time.Time) {
	if _, known := e.cache.seen[hash]; !known {
		for len(e.cache.order) >= max(1, p.settings.PrefixEntries) {
			oldest := e.cache.order[0]
			e.cache.order = e.cache.order[1:]
			p.remove(e, oldest)
		}
		if e.cache.seen == nil {
			e.cache.seen = make(map[uint64]time.Time)
		}
		e.cache.order = append(e.cache.order, hash)
		p.engines[hash] = append(p.engines[hash], e)
	}
	e.cache.seen[hash] = now
}

// remove notes that an engine no longer holds a prefix.
func (p *prefixIndex) remove(e *engine, hash uint64) {
	if _, known := e.cache.seen[hash]; !known {
		return
	}
	delete(e.cache.seen, hash)
	holders := p.engines[hash]
	for i, other := range holders {
		if other == e {
			holders[i] = holders[len(holders)-1]
			holders = holders[:len(holders)-1]
			break
		}
	}
	if len(holders) == 0 {
		delete(p.engines, hash)
		return
	}
	p.engines[hash] = holders
}

// clear forgets an engine's cache, after a restart.
func (p *prefixIndex) clear(e *engine) {
	for _, hash := range e.cache.order {
		p.remove(e, hash)
	}
	e.cache = engineCache{}
}

// cached estimates how many prompt tokens of a request an engine holds. The hashes are taken to cover the prompt
// in equal steps, the longest prefix last.
func (e *engine) cached(r *request) float64 {
	hashes := r.ticket.GetPrefixHashes()
	for i := len(hashes) - 1; i >= 0; i-- {
		if _, known := e.cache.seen[hashes[i]]; known {
			return r.prompt * float64(i+1) / float64(len(hashes))
		}
	}
	return 0
}

// candidates calls consider with engines that hold the longest known prefixes of a request.
func (p *prefixIndex) candidates(r *request, consider func(e *engine)) {
	const levels, enginesPerLevel = 2, 8
	found := 0
	hashes := r.ticket.GetPrefixHashes()
	for i := len(hashes) - 1; i >= 0 && found < levels; i-- {
		holders := p.engines[hashes[i]]
		if len(holders) == 0 {
			continue
		}
		found++
		for _, e := range holders[:min(enginesPerLevel, len(holders))] {
			consider(e)
		}
	}
}

// dispatched notes the prefixes of a granted request.
func (p *prefixIndex) dispatched(e *engine, r *request, now time.Time) {
	for _, hash := range r.ticket.GetPrefixHashes() {
		p.add(e, hash, now)
	}
}

// ObserveCache takes a page of an engine's cache events. Events come late: an eviction doesn't undo an own dispatch
// of the last moments. Events are also lost. A prefix whose eviction was lost stays listed: it attracts one request at
// most, whose run puts it back into the engine's cache.
func (s *Scheduler) ObserveCache(now time.Time, engine string, events kernel.CacheEvents) {
	s.at(now)
	e := s.engines.byName[engine]
	if e == nil {
		return
	}
	for _, event := range events.Events {
		switch event.Kind {
		case kernel.CacheStored:
			s.engines.prefixes.add(e, event.Hash, now)
		case kernel.CacheEvicted:
			if now.Sub(e.cache.seen[event.Hash]) > s.settings.CacheEventLag {
				s.engines.prefixes.remove(e, event.Hash)
			}
		}
	}
}
