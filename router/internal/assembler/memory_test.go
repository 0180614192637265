package assembler

import (
	"runtime/debug"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/loader"
)

// TestLimitMemory guards against memory settings that have no effect.
func TestLimitMemory(t *testing.T) {
	percent, limit := debug.SetGCPercent(100), debug.SetMemoryLimit(-1)
	defer func() {
		debug.SetGCPercent(percent)
		debug.SetMemoryLimit(limit)
	}()
	limitMemory(loader.Limits{MemoryMB: 48, GarbagePercent: 40})
	assert.Equal(t, debug.SetMemoryLimit(-1), int64(48<<20))
	assert.Equal(t, debug.SetGCPercent(100), 40)
}
