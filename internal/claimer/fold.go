package claimer

import (
	"slices"
)

// resultMemoryLimit limits the size of the results kept in memory, in bytes. After a result has been dropped, repeated
// requests are reported as duplicates without a result.
const resultMemoryLimit = 24 << 20

// scopeState is the state of one scope. claimID is empty while no claim holds the scope.
type scopeState struct {
	claimID     string
	requestID   string
	router      string
	incarnation uint64
	fingerprint uint64
	// answered stays true after the result itself has been dropped to save memory.
	answered bool
	result   *Result
	// lastUnixMS is the time of the newest claim or void of the scope, whether the claim won or lost. The holding claim
	// expires relative to this time instead of its own: a claim that lost here may have won at a reader for which
	// retention had already removed the holding claim's record, so the scope must stay claimed for the retention of that
	// claim too.
	lastUnixMS int64
	// voided holds the ids of voided claims, so that a delayed copy of such a claim can't win.
	voided []string
}

// fold derives the claim that holds each scope by applying the records in log order. Its state depends on the records
// alone, so all routers that read the same records reach the same decisions. It is not safe for concurrent use.
type fold struct {
	retentionMS int64
	scopes      map[ScopeHash]*scopeState
	// byShortHash maps the short hash, which claims in memory use, to the full hash.
	byShortHash map[uint64]ScopeHash
	// results lists the scopes with a result in log order. resultBytes is the total size of these results.
	results     []ScopeHash
	resultBytes int
}

func newFold(retentionMS int64) *fold {
	return &fold{retentionMS: retentionMS, scopes: make(map[ScopeHash]*scopeState), byShortHash: make(map[uint64]ScopeHash)}
}

// claimOutcome is the effect of a claim entry.
type claimOutcome int

const (
	// claimLost means that another claim holds the scope, or that this claim was voided.
	claimLost claimOutcome = iota
	// claimWon means that this entry made the claim hold the scope.
	claimWon
	// claimCopied means that the entry is a copy of the claim that already holds the scope.
	claimCopied
)

// claim applies a claim entry. Copies of the holding claim and of voided claims change nothing.
func (f *fold) claim(e *entry, b *batch) claimOutcome {
	state := f.scope(e.ScopeHash)
	if slices.Contains(state.voided, e.ClaimID) {
		return claimLost
	}
	if state.claimID == e.ClaimID {
		return claimCopied
	}
	// Both times come from the log, so every reader decides alike; the time of reading would differ between readers.
	expired := b.UnixMS-state.lastUnixMS > f.retentionMS
	state.lastUnixMS = max(state.lastUnixMS, b.UnixMS)
	if state.claimID != "" && !expired {
		return claimLost
	}
	state.claimID, state.requestID = e.ClaimID, e.RequestID
	state.router, state.incarnation = b.Router, b.Incarnation
	state.fingerprint, state.answered = e.Fingerprint, false
	f.dropResult(state)
	return claimWon
}

// void applies a void entry: it releases the scope if the claim holds it and has no result. A claim whose entry follows
// its void never wins.
func (f *fold) void(e *entry, b *batch) {
	state := f.scope(e.ScopeHash)
	state.lastUnixMS = max(state.lastUnixMS, b.UnixMS)
	if state.claimID == e.ClaimID {
		if state.answered {
			return
		}
		state.claimID = ""
	}
	if !slices.Contains(state.voided, e.ClaimID) {
		state.voided = append(state.voided, e.ClaimID)
	}
}

// result applies a result entry: it stores the result of the claim that holds the scope. Later results are ignored.
func (f *fold) result(e *entry) {
	state, ok := f.scopes[e.ScopeHash]
	if !ok || state.claimID != e.ClaimID || state.answered || e.Result == nil {
		return
	}
	state.answered, state.result = true, e.Result
	f.results = append(f.results, e.ScopeHash)
	f.resultBytes += e.Result.size()
	for f.resultBytes > resultMemoryLimit {
		if oldest, ok := f.scopes[f.results[0]]; ok {
			f.dropResult(oldest)
		}
		f.results = f.results[1:]
	}
}

func (f *fold) dropResult(state *scopeState) {
	if state.result != nil {
		f.resultBytes -= state.result.size()
		state.result = nil
	}
}

func (f *fold) scope(hash ScopeHash) *scopeState {
	state, ok := f.scopes[hash]
	if !ok {
		state = &scopeState{}
		f.scopes[hash] = state
		f.byShortHash[hash.Short()] = hash
	}
	return state
}

// holdingClaim returns the state of a scope and whether a claim holds it.
func (f *fold) holdingClaim(hash ScopeHash) (*scopeState, bool) {
	state, ok := f.scopes[hash]
	return state, ok && state.claimID != ""
}

// holdingClaimByShort returns the id of the claim that holds the scope with this short hash, if there is one.
func (f *fold) holdingClaimByShort(short uint64) (string, bool) {
	hash, ok := f.byShortHash[short]
	if !ok {
		return "", false
	}
	state, held := f.holdingClaim(hash)
	if !held {
		return "", false
	}
	return state.claimID, true
}

// prune drops the scopes whose newest claim or void is older than beforeUnixMS. The caller must allow for the clock
// skew, so that no later claim could have lost to a claim that was dropped.
func (f *fold) prune(beforeUnixMS int64) {
	for hash, state := range f.scopes {
		if state.lastUnixMS < beforeUnixMS {
			f.dropResult(state)
			delete(f.scopes, hash)
			delete(f.byShortHash, hash.Short())
		}
	}
	f.results = slices.DeleteFunc(f.results, func(hash ScopeHash) bool {
		state, ok := f.scopes[hash]
		return !ok || state.result == nil
	})
}
