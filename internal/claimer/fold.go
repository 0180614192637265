package claimer

import (
	"slices"
)

// resultMemory bounds the results in memory. Repeats of a request whose result was dropped are told that it is a
// duplicate without a known answer.
const resultMemory = 24 << 20

// scopeState is what the fold knows of one scope. claimID is empty while no claim holds it.
type scopeState struct {
	claimID     string
	requestID   string
	router      string
	incarnation uint64
	fingerprint uint64
	// answered stays true when the result itself was dropped to save memory.
	answered bool
	result   *Result
	// lastUnixMS is the time of the newest claim, won or lost. The holder expires by it rather than by its
	// own time, so that a claim that lost here but won at a reader that had already lost the holder's record
	// to retention keeps the scope closed for its own retention time.
	lastUnixMS int64
	// voided holds the ids of voided claims: a late second copy of such a claim must not win again.
	voided []string
}

// fold computes the holder of each scope from the records. It depends on nothing but the records, so all
// readers of the same records decide alike. It is not safe for concurrent use.
type fold struct {
	retentionMS int64
	scopes      map[ScopeHash]*scopeState
	// short finds a scope by the part of its hash that claims in memory use.
	short map[uint64]ScopeHash
	// results lists the scopes with a result in the order of the log, and resultBytes their size.
	results     []ScopeHash
	resultBytes int
}

func newFold(retentionMS int64) *fold {
	return &fold{retentionMS: retentionMS, scopes: make(map[ScopeHash]*scopeState), short: make(map[uint64]ScopeHash)}
}

// claimOutcome is what a claim record changed.
type claimOutcome int

const (
	// claimLost means that another claim holds the scope, or that this claim was voided.
	claimLost claimOutcome = iota
	// claimWon means that this record made the claim the holder of the scope.
	claimWon
	// claimCopied means that the record is a second copy of the claim that holds the scope already.
	claimCopied
)

// claim folds a claim. A second copy of the holder's claim changes nothing, and so does a copy of a voided one.
func (f *fold) claim(e *entry, b *batch) claimOutcome {
	state := f.scope(e.ScopeHash)
	if slices.Contains(state.voided, e.ClaimID) {
		return claimLost
	}
	if state.claimID == e.ClaimID {
		return claimCopied
	}
	// The distance of two times in the log is the same for every reader, unlike the time of reading.
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

// void frees the scope if the claim holds it and has no result. A claim whose record comes after its void
// never wins.
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

// result stores the answer of the claim that holds the scope; the first one stays.
func (f *fold) result(e *entry) {
	state, ok := f.scopes[e.ScopeHash]
	if !ok || state.claimID != e.ClaimID || state.answered || e.Result == nil {
		return
	}
	state.answered, state.result = true, e.Result
	f.results = append(f.results, e.ScopeHash)
	f.resultBytes += e.Result.size()
	for f.resultBytes > resultMemory {
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
		f.short[hash.Short()] = hash
	}
	return state
}

// holder returns the state of a scope that is held.
func (f *fold) holder(hash ScopeHash) (*scopeState, bool) {
	state, ok := f.scopes[hash]
	return state, ok && state.claimID != ""
}

// holderByShort returns the claim id of a scope that is held.
func (f *fold) holderByShort(short uint64) (string, bool) {
	hash, ok := f.short[short]
	if !ok {
		return "", false
	}
	state, held := f.holder(hash)
	if !held {
		return "", false
	}
	return state.claimID, true
}

// prune drops scopes that no later claim can lose to. The caller adds the clock skew to the age.
func (f *fold) prune(beforeUnixMS int64) {
	for hash, state := range f.scopes {
		if state.lastUnixMS < beforeUnixMS {
			f.dropResult(state)
			delete(f.scopes, hash)
			delete(f.short, hash.Short())
		}
	}
	f.results = slices.DeleteFunc(f.results, func(hash ScopeHash) bool {
		state, ok := f.scopes[hash]
		return !ok || state.result == nil
	})
}
