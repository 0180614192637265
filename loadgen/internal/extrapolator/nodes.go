package extrapolator

import (
	"fmt"

	"coltsfootplank/internal/ranker"
)

// layout is the placement of the schedulers by rank at the design scale, with one pool for each model and the engines
// divided evenly among the pools.
type layout struct {
	cells          int
	enginesPerCell float64
	// hosts is the number of nodes with a scheduler, maxCellsPerHost the largest number of cells on one of them.
	hosts           int
	maxCellsPerHost int
}

func memberNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = memberName(i)
	}
	return names
}

// computeLayout assigns the cells of all pools to the members ranked first for them.
func computeLayout(members []string) layout {
	perPool := (scaleEngines + scaleModels - 1) / scaleModels
	counts := make(map[string]int)
	var l layout
	for _, role := range cellRoles() {
		counts[ranker.First(role, members)]++
		l.cells++
	}
	l.enginesPerCell = float64(perPool) / float64(ranker.Cells(perPool, 0))
	l.hosts = len(counts)
	for _, count := range counts {
		l.maxCellsPerHost = max(l.maxCellsPerHost, count)
	}
	return l
}

// cellRoles returns the role names of the cells of all pools.
func cellRoles() []string {
	perPool := (scaleEngines + scaleModels - 1) / scaleModels
	var roles []string
	for model := range scaleModels {
		for cell := range ranker.Cells(perPool, 0) {
			roles = append(roles, ranker.Role(fmt.Sprintf("model-%d", model), cell))
		}
	}
	return roles
}

// countMovedCells counts the cells whose first-ranked member differs between two sets of members.
func countMovedCells(before, after []string) int {
	count := 0
	for _, role := range cellRoles() {
		if ranker.First(role, before) != ranker.First(role, after) {
			count++
		}
	}
	return count
}
