package generator

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"coltsfootplank/internal/kernel"
)

const (
	// trackedPrefixes bounds the memory for prefixes seen on any engine; the map is cleared when it is full.
	trackedPrefixes = 1 << 20
	// listedDuplicates bounds the list of duplicate stream ids.
	listedDuplicates = 100
)

// Tracker sees the streams and prompts of all engines and finds work that was done twice.
type Tracker struct {
	mu         sync.Mutex
	runs       map[uint64]uint8
	prefixes   map[uint64]int
	duplicates int
	listed     []string
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{runs: make(map[uint64]uint8), prefixes: make(map[uint64]int)}
}

// Started counts a run of a stream id and reports whether it ran before, on this engine or another one.
func (t *Tracker) Started(streamID string) bool {
	key := xxhash.Sum64String(streamID)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[key]++
	if t.runs[key] == 1 {
		return false
	}
	t.duplicates++
	if len(t.listed) < listedDuplicates {
		t.listed = append(t.listed, streamID)
	}
	return true
}

// Runs returns how often a stream id was run.
func (t *Tracker) Runs(streamID string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return int(t.runs[xxhash.Sum64String(streamID)])
}

// Duplicates returns the number of repeated runs and the first ids.
func (t *Tracker) Duplicates() (int, []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.duplicates, append([]string{}, t.listed...)
}

// Computed records a computed prompt and returns how many of its tokens some engine had computed before and this
// engine computed again. The last token doesn't count, because even a cached prompt needs it computed.
func (t *Tracker) Computed(request kernel.GenerateRequest, cached int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := 0
	for _, hash := range request.PrefixHashes {
		before = max(before, t.prefixes[hash])
	}
	if len(t.prefixes)+len(request.PrefixHashes) > trackedPrefixes {
		clear(t.prefixes)
	}
	for i, hash := range request.PrefixHashes {
		t.prefixes[hash] = max(t.prefixes[hash], covered(request, i))
	}
	return max(0, min(before, request.PromptTokens-1)-cached)
}
