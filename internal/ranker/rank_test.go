package ranker

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/cataloguer"
)

func memberNames(n int) []string {
	members := make([]string, n)
	for i := range members {
		members[i] = fmt.Sprintf("router-%d", i)
	}
	return members
}

// TestRankMovesOnlyOwnRoles guards against the removal of a member that moves roles between the remaining members.
func TestRankMovesOnlyOwnRoles(t *testing.T) {
	members := memberNames(20)
	smaller := slices.Delete(slices.Clone(members), 7, 8)
	moved := 0
	for i := range 2000 {
		role := Role("pool", i)
		before, after := Rank(role, members), Rank(role, smaller)
		without := slices.DeleteFunc(slices.Clone(before), func(m string) bool { return m == members[7] })
		assert.DeepEqual(t, after, without)
		if before[0] == members[7] {
			moved++
		}
	}
	assert.Assert(t, moved > 50 && moved < 150, "the removed member had %d of 2000 roles", moved)
}

// TestRankIgnoresOrder guards against two routers that rank the same members differently.
func TestRankIgnoresOrder(t *testing.T) {
	members := memberNames(9)
	reversed := slices.Clone(members)
	slices.Reverse(reversed)
	for i := range 100 {
		role := Role("pool", i)
		assert.DeepEqual(t, Rank(role, members), Rank(role, reversed))
		assert.Equal(t, First(role, members), Rank(role, reversed)[0])
	}
	assert.Equal(t, First("role", nil), "")
}

// TestCell guards against engines moving between existing cells when a pool grows by one cell.
func TestCell(t *testing.T) {
	assert.Equal(t, Cells(0, 64), 1)
	assert.Equal(t, Cells(64, 64), 1)
	assert.Equal(t, Cells(65, 64), 2)
	for i := range 500 {
		key := fmt.Sprintf("engine-%d", i)
		before, after := Cell(key, 4), Cell(key, 5)
		assert.Assert(t, after == before || after == 4, "%s moved from cell %d to %d", key, before, after)
	}
}

// TestWorkCell guards against cells that get more work than their engines can take while others have engines free, and
// against work that moves between cells because an engine came or left that doesn't get it.
func TestWorkCell(t *testing.T) {
	const cells, keys = 2, 20_000
	for seed := range 8 {
		var engines []cataloguer.Upstream
		share := make([]float64, cells)
		for i := range 70 {
			name := fmt.Sprintf("engine-%d-%d", seed, i)
			engines = append(engines, cataloguer.Upstream{Name: name})
			share[Cell(name, cells)] += 1.0 / 70
		}
		work, moved := make([]float64, cells), 0
		for i := range keys {
			key := fmt.Sprintf("request-%d", i)
			cell := WorkCell(key, engines, cells)
			work[cell] += 1.0 / keys
			if WorkCell(key, engines[1:], cells) != cell {
				moved++
			}
		}
		for cell := range cells {
			assert.Assert(t, math.Abs(work[cell]-share[cell]) < 0.02, "cell %d has %.3f of the engines and gets %.3f of the work", cell, share[cell], work[cell])
		}
		assert.Assert(t, moved < keys/35, "%d of %d moved", moved, keys)
	}
	assert.Equal(t, WorkCell("request", nil, 1), 0)
}

// TestTop guards against a result of Top that differs from the beginning of the full ranking.
func TestTop(t *testing.T) {
	for count := range 12 {
		for i := range 100 {
			ranked := Rank(Role("pool", i), memberNames(count))
			assert.DeepEqual(t, Top(Role("pool", i), memberNames(count)), ranked[:min(count, Candidates)])
		}
	}
}

// BenchmarkTop measures Top with several numbers of members.
func BenchmarkTop(b *testing.B) {
	for _, count := range []int{20, 100, 410} {
		members := memberNames(count)
		b.Run(fmt.Sprintf("members=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Top("pool/3", members)
			}
		})
	}
}
