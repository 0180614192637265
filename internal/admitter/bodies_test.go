package admitter

import (
	"fmt"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/accountant"
)

// TestSocketMemory guards against buffers of sockets that together take more than the memory of the settings, and against buffers
// for long bodies that are too small for a segment of any path, or take all memory.
func TestSocketMemory(t *testing.T) {
	const segment = 65483
	for _, c := range []struct {
		memoryMB    int64
		descriptors int
		// bodies is the number of connections that can carry long bodies at full speed at the same time, at least.
		bodies int
	}{
		{48, 2870, 10}, {48, 2940, 10}, {48, 8192, 10}, {48, 700, 10}, {16, 2870, 4}, {128, 2870, 30}, {1024, 65536, 100}, {4096, 700, 100},
	} {
		t.Run(fmt.Sprintf("%d MB, %d descriptors", c.memoryMB, c.descriptors), func(t *testing.T) {
			memory := c.memoryMB << 20
			bounds := Derive(Resources{Memory: memory, Descriptors: c.descriptors, HeadBytes: 64 << 10, LineBytes: 16 << 10, Fields: 512})
			usual := int64(0)
			for _, b := range []Bounds{bounds.Callers, bounds.Operators, bounds.Readiness} {
				usual += int64(b.Connections) * bufferFactor * int64(b.ReceiveBuffer+b.SendBuffer)
			}
			assert.Check(t, usual <= memory || bounds.Callers.ReceiveBuffer == leastBuffer, "%d bytes", usual)
			account := accountant.New(memory, metrics.NewRegistry())
			table := newTable(bounds.Callers, account)
			var entries []*entry
			for len(entries) < c.bodies {
				e := &entry{}
				buffer, ok := table.enlarge(e, receiving, 4<<20)
				if !ok {
					break
				}
				assert.Assert(t, buffer >= segment, "%d bytes", buffer)
				entries = append(entries, e)
			}
			assert.Check(t, len(entries) >= c.bodies || bounds.Callers.ReceiveBuffer == largestBuffer, "%d bodies", len(entries))
			assert.Check(t, table.bodyBuffers <= memory/bodyBufferParts)
			for _, e := range entries {
				table.shrink(e)
			}
			assert.Equal(t, table.bodyBuffers, int64(0))
		})
	}
}

// TestEnlarge guards against memory that is reserved twice or not at all for the larger buffers of a connection.
func TestEnlarge(t *testing.T) {
	bounds := Bounds{ReceiveBuffer: 8 << 10, SendBuffer: 16 << 10, BodyBuffers: 600 << 10}
	for _, c := range []struct {
		name string
		// sizes are those of the bodies and answers, in turn, of one connection. want are the buffers that are set, 0 for none.
		sizes  []int64
		want   []int
		memory int64
	}{
		{"short ones", []int64{4 << 10, 8 << 10}, []int{0, 0}, 0},
		{"long body", []int64{60 << 10, 0}, []int{60 << 10, 0}, 2 * 52 << 10},
		{"the same again", []int64{60 << 10, 0, 60 << 10, 0, 5 << 10, 0}, []int{60 << 10, 0, 0, 0, 0, 0}, 2 * 52 << 10},
		{"longer again", []int64{60 << 10, 0, 100 << 10, 0}, []int{60 << 10, 0, 100 << 10, 0}, 2 * 92 << 10},
		{"body and answer", []int64{60 << 10, 36 << 10}, []int{60 << 10, 36 << 10}, 2 * (52 + 20) << 10},
		{"no memory for the answer", []int64{4 << 20, 4 << 20}, []int{256 << 10, 0}, 2 * 248 << 10},
	} {
		table := newTable(bounds, accountant.New(1<<20, metrics.NewRegistry()))
		e := &entry{}
		for i, size := range c.sizes {
			buffer, _ := table.enlarge(e, direction(i%2), size)
			assert.Check(t, buffer == c.want[i], "%s, %d: %d", c.name, i, buffer)
		}
		assert.Check(t, table.bodyBuffers == c.memory, "%s: %d bytes", c.name, table.bodyBuffers)
		table.shrink(e)
		assert.Equal(t, table.bodyBuffers, int64(0))
	}
}
