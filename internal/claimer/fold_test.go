package claimer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestFoldSequences guards against sequences of entries that give a scope the wrong holder or result.
func TestFoldSequences(t *testing.T) {
	type step struct {
		kind entryKind
		id   string
		hour int64
		want claimOutcome
	}
	cases := []struct {
		name   string
		steps  []step
		holder string
		result bool
	}{
		{name: "first wins", steps: []step{{entryClaim, "a", 0, claimWon}, {entryClaim, "b", 0, claimLost}}, holder: "a"},
		{name: "copy of the winner", steps: []step{{entryClaim, "a", 0, claimWon}, {entryClaim, "a", 0, claimCopied}}, holder: "a"},
		{name: "void releases the scope", steps: []step{{entryClaim, "a", 0, claimWon}, {entryVoid, "a", 0, 0}, {entryClaim, "b", 0, claimWon}}, holder: "b"},
		{name: "void of a loser", steps: []step{{entryClaim, "a", 0, claimWon}, {entryClaim, "b", 0, claimLost}, {entryVoid, "b", 0, 0}}, holder: "a"},
		{name: "void after the result", steps: []step{{entryClaim, "a", 0, claimWon}, {entryResult, "a", 0, 0}, {entryVoid, "a", 0, 0}}, holder: "a", result: true},
		{name: "copy after the void", steps: []step{{entryClaim, "a", 0, claimWon}, {entryVoid, "a", 0, 0}, {entryClaim, "a", 0, claimLost}}},
		{name: "void before the claim", steps: []step{{entryVoid, "a", 0, 0}, {entryClaim, "a", 0, claimLost}}},
		{name: "result of a loser", steps: []step{{entryClaim, "a", 0, claimWon}, {entryResult, "b", 0, 0}}, holder: "a"},
		{name: "expired", steps: []step{{entryClaim, "a", 0, claimWon}, {entryClaim, "b", 25, claimWon}}, holder: "b"},
		{name: "kept alive by a losing claim", steps: []step{{entryClaim, "a", 0, claimWon}, {entryClaim, "b", 23, claimLost}, {entryClaim, "c", 46, claimLost}}, holder: "a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFold(24 * 3600_000)
			for i, s := range c.steps {
				e := &entry{Kind: s.kind, ClaimID: s.id, Result: &Result{Status: 200}}
				b := &batch{UnixMS: s.hour * 3600_000}
				switch s.kind {
				case entryClaim:
					assert.Equal(t, f.claim(e, b), s.want, "step %d", i)
				case entryVoid:
					f.void(e, b)
				case entryResult:
					f.result(e)
				}
			}
			state, held := f.holdingClaim(ScopeHash{})
			assert.Equal(t, held, c.holder != "")
			if held {
				assert.Equal(t, state.claimID, c.holder)
				assert.Equal(t, state.result != nil, c.result)
			}
		})
	}
}

// TestFoldDispatchOnce guards against a scope with two dispatched claims. Entries arrive in any order and any number of
// copies; a claim may be dispatched when it wins, and only claims that were not dispatched are voided.
func TestFoldDispatchOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFold(1000)
		dispatched, voided := "", make(map[string]bool)
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		for now := range int64(steps) {
			id := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id"))
			e, b := &entry{ClaimID: id, Result: &Result{}}, &batch{UnixMS: now}
			switch rapid.SampledFrom([]entryKind{entryClaim, entryVoid, entryResult}).Draw(t, "kind") {
			case entryClaim:
				if f.claim(e, b) == claimWon {
					assert.Assert(t, !voided[id], "claim %s won after its void", id)
					assert.Equal(t, dispatched, "", "claim %s won while another one runs", id)
					if rapid.Bool().Draw(t, "dispatch") {
						dispatched = id
					}
				}
			case entryVoid:
				if dispatched != id {
					voided[id] = true
					f.void(e, b)
				}
			case entryResult:
				if dispatched == id {
					f.result(e)
				}
			}
		}
		if state, held := f.holdingClaim(ScopeHash{}); held && dispatched != "" {
			assert.Equal(t, state.claimID, dispatched)
		}
	})
}

// TestResultMemory guards against results that exceed the memory limit, and against a void that releases a scope
// because its result was dropped.
func TestResultMemory(t *testing.T) {
	f := newFold(1000)
	body := make([]byte, MaxResultBytes)
	b := &batch{}
	hash := func(i int) ScopeHash { return ScopeHash{byte(i >> 8), byte(i)} }
	const scopes = 2 * resultMemoryLimit / MaxResultBytes
	for i := range scopes {
		f.claim(&entry{ScopeHash: hash(i), ClaimID: "a"}, b)
		f.result(&entry{ScopeHash: hash(i), ClaimID: "a", Result: &Result{Body: body}})
	}
	kept := 0
	for i := range scopes {
		f.void(&entry{ScopeHash: hash(i), ClaimID: "a"}, b)
		state, held := f.holdingClaim(hash(i))
		assert.Assert(t, held, "scope %d was released", i)
		if state.result != nil {
			kept++
		}
	}
	assert.Assert(t, kept > scopes/3 && kept <= scopes/2, "%d results kept", kept)
	f.prune(1)
	assert.Equal(t, f.resultBytes, 0)
	assert.Equal(t, len(f.results), 0)
}
