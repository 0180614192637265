package forwarder

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/accountant"
)

// TestShortBodiesExceedMemory guards against short bodies that together exceed the memory, against callers that hold their
// bodies back and so keep others out, and against memory that isn't freed.
func TestShortBodiesExceedMemory(t *testing.T) {
	for _, c := range []struct {
		name string
		// steps are: "+N" asks for N KB, "wN" makes body N whole, "fN" frees it. want lists the refused and the interrupted bodies.
		steps, want string
		limitKB     int64
	}{
		{"room", "+40 +40", "", 1000},
		{"the largest that still arrives", "+30 +40 +40", "2 interrupted", 1000},
		{"the oldest of equal ones", "+40 +40 +40", "1 interrupted", 1000},
		{"the new one if it is the largest", "+20 +20 +20 +20 +30", "5 refused", 1000},
		{"whole bodies stay", "+40 w1 +40 w2 +40", "3 refused", 1000},
		{"freed bodies leave room", "+40 w1 +40 w2 f1 +40", "", 1000},
		{"a freed body that was interrupted", "+50 +50 +50 f1 w2 w3 +50", "1 interrupted, 4 refused", 1000},
		{"the account is full", "+20 +20 +20", "1 interrupted", 50},
	} {
		t.Run(c.name, func(t *testing.T) {
			registry := metrics.NewRegistry()
			m := newBodyMemory(200<<10, accountant.New(c.limitKB<<10, registry), registry)
			var bodies []*bodyReservation
			var got []string
			for _, step := range strings.Fields(c.steps) {
				var number int
				_, err := fmt.Sscan(step[1:], &number)
				assert.NilError(t, err)
				switch step[0] {
				case '+':
					index := len(bodies) + 1
					body, refusal := m.acquire(context.Background(), int64(number)<<10, func() {
						got = append(got, fmt.Sprint(index, " interrupted"))
					})
					if refusal != nil {
						got = append(got, fmt.Sprint(index, " refused"))
					}
					bodies = append(bodies, body)
				case 'w':
					assert.Assert(t, bodies[number-1].whole())
				case 'f':
					bodies[number-1].free()
					bodies[number-1] = nil
				}
			}
			assert.Equal(t, strings.Join(got, ", "), c.want)
			for _, body := range bodies {
				body.free()
			}
			assert.Equal(t, m.short, int64(0))
			assert.Equal(t, len(m.arriving), 0)
			assert.Equal(t, registry.Get("memory.total").(metrics.Gauge).Value(), int64(0))
		})
	}
}
