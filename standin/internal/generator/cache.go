package generator

import (
	"container/list"

	"coltsfootplank/internal/kernel"
)

// prefixCache is a least-recently-used cache of prompt prefixes. It isn't safe for concurrent use.
type prefixCache struct {
	entries map[uint64]*list.Element
	recency *list.List
	used    int
	onEvent func(kind kernel.CacheEventKind, hash uint64)
}

// prefix is one cached prefix. tokens is its length from the start of the prompt, cost the memory that it needs in
// addition to the next shorter prefix, in tokens.
type prefix struct {
	hash   uint64
	tokens int
	cost   int
}

func newPrefixCache(onEvent func(kind kernel.CacheEventKind, hash uint64)) *prefixCache {
	return &prefixCache{entries: make(map[uint64]*list.Element), recency: list.New(), onEvent: onEvent}
}

// coveredTokens returns the number of prompt tokens in the prefix with index i. The prefixes are assumed to divide the
// prompt evenly, because the request doesn't say where each one ends.
func coveredTokens(request kernel.GenerateRequest, i int) int {
	return request.PromptTokens * (i + 1) / len(request.PrefixHashes)
}

// lookup returns the number of prompt tokens covered by the longest cached prefix, and marks it and the shorter ones
// as used. The last prompt token is never counted as cached, because engines must compute it to produce the first
// output token.
func (c *prefixCache) lookup(request kernel.GenerateRequest) int {
	longest := 0
	for i := len(request.PrefixHashes) - 1; i >= 0; i-- {
		element, ok := c.entries[request.PrefixHashes[i]]
		if !ok {
			continue
		}
		c.recency.MoveToFront(element)
		if entry, ok := element.Value.(*prefix); ok {
			longest = max(longest, entry.tokens)
		}
	}
	return max(0, min(longest, request.PromptTokens-1))
}

// store adds the prefixes of a computed prompt, longest first, so that longer ones are evicted first.
func (c *prefixCache) store(request kernel.GenerateRequest) {
	for i := len(request.PrefixHashes) - 1; i >= 0; i-- {
		tokens, shorter := coveredTokens(request, i), 0
		if i > 0 {
			shorter = coveredTokens(request, i-1)
		}
		c.add(prefix{hash: request.PrefixHashes[i], tokens: tokens, cost: tokens - shorter})
	}
}

func (c *prefixCache) add(entry prefix) {
	if element, ok := c.entries[entry.hash]; ok {
		c.recency.MoveToFront(element)
		return
	}
	c.entries[entry.hash] = c.recency.PushFront(&entry)
	c.used += entry.cost
	c.onEvent(kernel.CacheStored, entry.hash)
}

// shrink evicts the least recently used prefixes until the cache uses at most limit tokens.
func (c *prefixCache) shrink(limit int) {
	for c.used > limit && c.recency.Len() > 0 {
		element := c.recency.Back()
		c.recency.Remove(element)
		entry, ok := element.Value.(*prefix)
		if !ok {
			continue
		}
		delete(c.entries, entry.hash)
		c.used -= entry.cost
		c.onEvent(kernel.CacheEvicted, entry.hash)
	}
}

// get returns a cached prefix without marking it as used.
func (c *prefixCache) get(hash uint64) (prefix, bool) {
	element, ok := c.entries[hash]
	if !ok {
		return prefix{}, false
	}
	entry, ok := element.Value.(*prefix)
	if !ok {
		return prefix{}, false
	}
	return *entry, true
}
