package experimenter

import (
	"slices"

	"coltsfootplank/internal/kernel"
)

// prefixCache is an engine's prefix cache with least-recently-used eviction, and a log of its events.
type prefixCache struct {
	// capacity and used are in tokens.
	capacity int
	used     int
	// tokens is the number of tokens that each prefix hash accounts for.
	tokens map[uint64]int
	// lru holds the prefix hashes in order of use, the least recently used first.
	lru    []uint64
	events []kernel.CacheEvent
	seq    uint64
}

func newPrefixCache(capacity int) prefixCache {
	return prefixCache{capacity: capacity, tokens: make(map[uint64]int)}
}

// cachedTokens returns the number of prompt tokens of c that the cache holds. It is less than the whole prompt, because
// an engine always computes at least one token.
func (pc *prefixCache) cachedTokens(c *call) int {
	for i := len(c.hashes) - 1; i >= 0; i-- {
		if _, ok := pc.tokens[c.hashes[i]]; ok {
			return min(c.kind.promptTokens*(i+1)/len(c.hashes), c.kind.promptTokens-1)
		}
	}
	return 0
}

// store adds the prefixes of a computed prompt. It adds the longest first, so that shorter prefixes are evicted later.
func (pc *prefixCache) store(c *call) {
	for i := len(c.hashes) - 1; i >= 0; i-- {
		hash := c.hashes[i]
		if at := slices.Index(pc.lru, hash); at >= 0 {
			pc.lru = slices.Delete(pc.lru, at, at+1)
		} else {
			pc.tokens[hash] = c.kind.promptTokens / len(c.hashes)
			pc.used += pc.tokens[hash]
			pc.addEvent(kernel.CacheStored, hash)
		}
		pc.lru = append(pc.lru, hash)
	}
	for pc.used > pc.capacity && len(pc.lru) > 0 {
		oldest := pc.lru[0]
		pc.lru = pc.lru[1:]
		pc.used -= pc.tokens[oldest]
		delete(pc.tokens, oldest)
		pc.addEvent(kernel.CacheEvicted, oldest)
	}
}

func (pc *prefixCache) addEvent(kind kernel.CacheEventKind, hash uint64) {
	pc.seq++
	pc.events = append(pc.events, kernel.CacheEvent{Seq: pc.seq, Kind: kind, Hash: hash})
}

// takeEvents returns the events since the last call and clears the log.
func (pc *prefixCache) takeEvents() []kernel.CacheEvent {
	taken := pc.events
	pc.events = nil
	return taken
}
