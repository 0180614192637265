package extrapolator

import (
	"fmt"

	"coltsfootplank/internal/ranker"
)

// layout is where the ranking puts the schedulers at the design scale: one pool for each model, the engines divided
// evenly.
type layout struct {
	cells          int
	enginesPerCell float64
	// hosts is the number of nodes with a scheduler, busiest the cells on the one with the most.
	hosts   int
	busiest int
}

func memberNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = memberName(i)
	}
	return names
}

// place ranks the cells of all pools over members.
func place(members []string) layout {
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
		l.busiest = max(l.busiest, count)
	}
	return l
}

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

// moved counts the cells whose first rank differs between two sets of members.
func moved(before, after []string) int {
	count := 0
	for _, role := range cellRoles() {
		if ranker.First(role, before) != ranker.First(role, after) {
			count++
		}
	}
	return count
}
