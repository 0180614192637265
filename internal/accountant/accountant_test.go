package accountant

import (
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// TestAccount guards against parts that together exceed the limit, and against bytes that are counted after their release.
func TestAccount(t *testing.T) {
	for _, c := range []struct {
		name     string
		limit    int64
		reserved []int64
		want     []bool
		full     bool
	}{
		{"within the limit", 100, []int64{60, 40}, []bool{true, true}, true},
		{"beyond the limit", 100, []int64{60, 41, 40}, []bool{true, false, true}, true},
		{"more than the limit alone", 100, []int64{200}, []bool{true}, true},
		{"no limit", 0, []int64{1 << 40}, []bool{true}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			registry := metrics.NewRegistry()
			a := New(c.limit, registry)
			for i, bytes := range c.reserved {
				assert.Equal(t, a.Reserve(Part(i%int(parts)), bytes), c.want[i])
			}
			assert.Equal(t, a.Full(), c.full)
			for i, bytes := range c.reserved {
				if c.want[i] {
					a.Add(Part(i%int(parts)), -bytes)
				}
			}
			assert.Equal(t, registry.Get("memory.total").(metrics.Gauge).Value(), int64(0))
			assert.Equal(t, registry.Get("memory.heads").(metrics.Gauge).Value(), int64(0))
		})
	}
	var none *Accountant
	none.Add(Heads, 1)
	assert.Assert(t, none.Reserve(Heads, 1) && !none.Full())
}
