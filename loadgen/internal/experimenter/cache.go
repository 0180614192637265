package experimenter

import (
	"slices"

	"coltsfootplank/internal/kernel"
)

// cache is an engine's prefix cache, least recently used first out, with the log of its events.
type cache struct {
	room   int
	used   int
	tokens map[uint64]int
	// order holds the hashes, the least recently used first.
	order  []uint64
	events []kernel.CacheEvent
	seq    uint64
}

func newCache(room int) cache { return cache{room: room, tokens: make(map[uint64]int)} }

// covered is the number of prompt tokens of c that the cache holds; at least one token is always computed.
func (s *cache) covered(c *call) int {
	for i := len(c.hashes) - 1; i >= 0; i-- {
		if _, ok := s.tokens[c.hashes[i]]; ok {
			return min(c.kind.prompt*(i+1)/len(c.hashes), c.kind.prompt-1)
		}
	}
	return 0
}

// store adds the prefixes of a computed prompt, the longest first, so that shorter ones are evicted later.
func (s *cache) store(c *call) {
	for i := len(c.hashes) - 1; i >= 0; i-- {
		hash := c.hashes[i]
		if at := slices.Index(s.order, hash); at >= 0 {
			s.order = slices.Delete(s.order, at, at+1)
		} else {
			s.tokens[hash] = c.kind.prompt / len(c.hashes)
			s.used += s.tokens[hash]
			s.note(kernel.CacheStored, hash)
		}
		s.order = append(s.order, hash)
	}
	for s.used > s.room && len(s.order) > 0 {
		oldest := s.order[0]
		s.order = s.order[1:]
		s.used -= s.tokens[oldest]
		delete(s.tokens, oldest)
		s.note(kernel.CacheEvicted, oldest)
	}
}

func (s *cache) note(kind kernel.CacheEventKind, hash uint64) {
	s.seq++
	s.events = append(s.events, kernel.CacheEvent{Seq: s.seq, Kind: kind, Hash: hash})
}

// take returns the events since the last call.
func (s *cache) take() []kernel.CacheEvent {
	taken := s.events
	s.events = nil
	return taken
}
