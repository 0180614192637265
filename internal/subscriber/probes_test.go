package subscriber

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
)

// TestHeldUpstreamAnswers guards against an upstream that stays unused although it answers that it takes requests, because its
// registration lapsed while its heartbeats were lost, and against one that is used again although it has left.
func TestHeldUpstreamAnswers(t *testing.T) {
	rows := []struct {
		name string
		// silence is the time from the last heartbeat to the removal, and alive whether the upstream answers.
		silence time.Duration
		alive   bool
		// used is whether all routers use it 2 s after its next record.
		used bool
	}{
		{"lapsed, answers", 4 * time.Second, true, true},
		{"lapsed, doesn't answer", 4 * time.Second, false, false},
		{"removed after a heartbeat", time.Second, true, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			runWithFleet(t, 3, 4, nil, func(t *testing.T, f *fleet) {
				f.shared.put(kernel.TopicPublication, "config", kernel.Publication{
					Version: 2, Services: []kernel.PublishedService{{Name: "s", HealthPath: "/health"}},
				})
				f.alive.Store(row.alive)
				registration := newRegistration("a")
				registration.Incarnation, registration.Sequence = 1, 1
				f.shared.put(kernel.TopicUpstreams, "a", registration)
				time.Sleep(row.silence)
				f.shared.put(kernel.TopicUpstreams, "a", nil)
				time.Sleep(time.Second)
				registration.Sequence++
				f.shared.put(kernel.TopicUpstreams, "a", registration)
				time.Sleep(2 * time.Second)
				for i, s := range f.routers {
					used := slices.Contains(upstreamNames(s), "a")
					assert.Check(t, used == row.used, "router %d: used %t", i, used)
				}
			})
		})
	}
}
