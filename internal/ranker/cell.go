package ranker

import (
	"strconv"

	"coltsfootplank/internal/cataloguer"
)

// DefaultCellEngines is the largest number of engines that one scheduler handles.
const DefaultCellEngines = 64

// Role returns the role name of one pool cell.
func Role(pool string, cell int) string {
	return pool + "/" + strconv.Itoa(cell)
}

// Cells returns the number of cells of a pool with the given number of engines, at least 1.
func Cells(engines, cellEngines int) int {
	if cellEngines <= 0 {
		cellEngines = DefaultCellEngines
	}
	return max(1, (engines+cellEngines-1)/cellEngines)
}

// WorkCell returns the cell of a pool for a piece of work. Each cell gets work in proportion to its engines, and a change of
// one engine moves only the work that it gets or got.
func WorkCell(key string, engines []cataloguer.Upstream, cells int) int {
	if cells <= 1 {
		return 0
	}
	var best scored
	for i := range engines {
		if entry := (scored{member: engines[i].Name, score: score(key, engines[i].Name)}); i == 0 || entry.before(best) {
			best = entry
		}
	}
	return Cell(best.member, cells)
}

// Cell maps a key (an engine name, a prefix hash), whatever the sizes of the cells, to one of the cells of a pool. Adding a cell moves keys to the new
// cell only, never between the existing ones.
func Cell(key string, cells int) int {
	best, bestScore := 0, uint64(0)
	for cell := range cells {
		if s := score(key, strconv.Itoa(cell)); s > bestScore {
			best, bestScore = cell, s
		}
	}
	return best
}
