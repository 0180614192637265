package subscriber

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
)

// TestVersionOfCopyTakenForNewest guards against a router that takes the configuration of a directory that was restored from a copy
// for the newest one, though other routers know a newer one: it has started, or was cut off, in the meantime.
func TestVersionOfCopyTakenForNewest(t *testing.T) {
	runWithCopy(t, func(s *Subscriber) bool { return s.RoutingConfig().Version == 2 })
}

// TestUpstreamOfCopyTakenForNewest guards against a router that then uses an upstream that other routers know to be leaving or gone.
func TestUpstreamOfCopyTakenForNewest(t *testing.T) {
	runWithCopy(t, func(s *Subscriber) bool { return !slices.Contains(upstreamNames(s), "c") })
}

// runWithCopy checks what routers do while the directory has only a copy that lacks version 2 and the last record of the upstream "c".
func runWithCopy(t *testing.T, sound func(s *Subscriber) bool) {
	t.Helper()
	leaving := newRegistration("c")
	leaving.Incarnation, leaving.Sequence, leaving.Leaving = 1, 5, true
	rows := []struct {
		name string
		// lost is what the directory loses besides a version: the last record of the upstream.
		lost any
		// restarted are the routers that start while the directory has only the copy. cutOff are those that reach neither the
		// directory nor other routers from before the lost records until then.
		restarted, cutOff []int
	}{
		{"the first reader starts", nil, []int{0}, nil},
		{"the first reader starts, and the upstream was leaving", leaving, []int{0}, nil},
		{"all readers start", nil, []int{0, 1, 2}, nil},
		{"a follower starts", nil, []int{7}, nil},
		{"a reader and its followers start", nil, []int{0, 5, 7}, nil},
		{"the first reader was cut off", nil, nil, []int{0}},
		{"all readers were cut off", leaving, nil, []int{0, 1, 2}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			runWithFleet(t, 3, 6, []string{"a"}, func(t *testing.T, f *fleet) {
				registration := newRegistration("c")
				registration.Incarnation, registration.Sequence = 1, 1
				f.shared.put(kernel.TopicUpstreams, "c", registration)
				time.Sleep(time.Second)
				copied := f.shared.copy()
				for _, i := range row.cutOff {
					f.setAlone(true, i)
				}
				f.shared.put(kernel.TopicPublication, "config", newPublication(2))
				f.shared.put(kernel.TopicUpstreams, "c", row.lost)
				time.Sleep(contact)
				f.shared.setDown(true)
				time.Sleep(time.Second)
				f.shared.restore(copied)
				f.shared.setDown(false)
				time.Sleep(100 * time.Millisecond)
				for _, i := range row.restarted {
					f.restart(t, i)
				}
				for _, i := range row.cutOff {
					f.setAlone(false, i)
				}
				began := time.Now()
				// The directory drops the copied registration of the silent upstream, and the operator writes the version again.
				time.AfterFunc(3600*time.Millisecond, func() { f.shared.put(kernel.TopicUpstreams, "c", nil) })
				time.AfterFunc(6*time.Second, func() { f.shared.put(kernel.TopicPublication, "config", newPublication(2)) })
				time.Sleep(contact)
				for time.Since(began) < 8*time.Second {
					time.Sleep(50 * time.Millisecond)
					for i, s := range f.routers {
						assert.Assert(t, sound(s), "router %d, %s after the start", i, time.Since(began))
					}
				}
			})
		})
	}
}
