package generator

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"coltsfootplank/internal/kernel"
)

const (
	// maxTrackedPrefixes bounds the memory for prefixes seen on any engine; the map is cleared when it is full.
	maxTrackedPrefixes = 1 << 20
	// maxListedDuplicates bounds the list of duplicate stream ids.
	maxListedDuplicates = 100
)

// Tracker detects repeated work across all engines: streams that run more than once and prompts that are computed
// again. It is safe for concurrent use.
type Tracker struct {
	mu           sync.Mutex
	runs         map[uint64]uint8
	prefixes     map[uint64]int
	duplicates   int
	duplicateIDs []string
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{runs: make(map[uint64]uint8), prefixes: make(map[uint64]int)}
}

// RecordRun counts a run of a stream id and reports whether it ran before on any engine.
func (t *Tracker) RecordRun(streamID string) bool {
	key := xxhash.Sum64String(streamID)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[key]++
	if t.runs[key] == 1 {
		return false
	}
	t.duplicates++
	if len(t.duplicateIDs) < maxListedDuplicates {
		t.duplicateIDs = append(t.duplicateIDs, streamID)
	}
	return true
}

// Runs returns the number of runs of a stream id.
func (t *Tracker) Runs(streamID string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return int(t.runs[xxhash.Sum64String(streamID)])
}

// Duplicates returns the number of repeated runs and the first of their stream ids.
func (t *Tracker) Duplicates() (int, []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.duplicates, append([]string{}, t.duplicateIDs...)
}

// RecordPrefill records a computed prompt and returns how many of its tokens had been computed before by any engine
// and were computed again. The last token doesn't count, because it is computed even for a cached prompt.
func (t *Tracker) RecordPrefill(request kernel.GenerateRequest, cached int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	computedBefore := 0
	for _, hash := range request.PrefixHashes {
		computedBefore = max(computedBefore, t.prefixes[hash])
	}
	if len(t.prefixes)+len(request.PrefixHashes) > maxTrackedPrefixes {
		clear(t.prefixes)
	}
	for i, hash := range request.PrefixHashes {
		t.prefixes[hash] = max(t.prefixes[hash], coveredTokens(request, i))
	}
	return max(0, min(computedBefore, request.PromptTokens-1)-cached)
}
