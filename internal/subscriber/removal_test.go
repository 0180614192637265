package subscriber

import (
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
)

const (
	// removalBound is the time after a removal in which routers may still use the upstream.
	removalBound = 2 * time.Second
	// contact is the time after a router's own trouble until it is bound by removalBound again.
	contact = 3 * time.Second
	// rounds is how often each row is played. The pauses between the reads of routers are random.
	rounds = 5
)

// TestRemovalNeverHeard guards against a router that uses an upstream until it ends, because the readers have forgotten the
// removal by the time that it is back from an absence.
func TestRemovalNeverHeard(t *testing.T) {
	const router, absence = 9, goneRetention + 30*time.Second
	for range rounds {
		runWithFleet(t, 3, 10, []string{"a", "b"}, func(t *testing.T, f *fleet) {
			f.setAlone(true, router)
			time.Sleep(10 * time.Second)
			f.shared.put(kernel.TopicUpstreams, "a", nil)
			time.Sleep(goneRetention + time.Second)
			f.shared.put(kernel.TopicUpstreams, "c", newRegistration("c"))
			time.Sleep(absence - goneRetention - 11*time.Second)
			f.setAlone(false, router)
			time.Sleep(contact)
			used := upstreamNames(f.routers[router])
			assert.Assert(t, slices.Equal(used, []string{"b", "c"}), "%v", used)
		})
	}
}

// TestRemovalAfterOutageOfReader guards against routers that use an upstream later than 2 s after its registration was
// removed, because the routers that read the directory for them could not read it for some time.
func TestRemovalAfterOutageOfReader(t *testing.T) {
	all := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}
	rows := []struct {
		name string
		// away are the routers whose reads the directory refuses for the time outage. removal is the time from the start
		// of the outage to the removal.
		away            []int
		outage, removal time.Duration
		// restarted is a router that starts again during the outage; 0 stands for none.
		restarted int
	}{
		{"one, shortly", []int{0}, time.Second, 1600 * time.Millisecond, 0},
		{"two, shortly", []int{0, 1}, time.Second, 1600 * time.Millisecond, 0},
		{"two, removed before the return", []int{0, 1}, time.Second, 900 * time.Millisecond, 0},
		{"two, for long", []int{0, 1}, 9 * time.Second, 9300 * time.Millisecond, 0},
		{"two, removed in a long outage", []int{0, 1}, 9 * time.Second, 5 * time.Second, 0},
		{"all candidates", []int{0, 1, 2}, 2 * time.Second, 2500 * time.Millisecond, 0},
		{"a third", []int{0, 1, 2, 5, 9}, 5 * time.Second, 5100 * time.Millisecond, 0},
		{"a third, removed later", []int{0, 1, 2, 5, 9}, 5 * time.Second, 6500 * time.Millisecond, 0},
		{"two, and a restart", []int{0, 1}, 3 * time.Second, 3500 * time.Millisecond, 7},
		{"the directory", all, 5 * time.Second, 8 * time.Second, 0},
		{"the directory, shortly", all, time.Second, 4 * time.Second, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			for range rounds {
				runWithFleet(t, 3, 10, []string{"a", "b"}, func(t *testing.T, f *fleet) {
					began := time.Now()
					f.setRefusing(true, row.away)
					time.AfterFunc(row.outage, func() { f.setRefusing(false, row.away) })
					if row.restarted > 0 {
						time.Sleep(row.outage / 2)
						f.restart(t, row.restarted)
					}
					time.Sleep(time.Until(began.Add(row.removal)))
					removed := time.Now()
					f.shared.put(kernel.TopicUpstreams, "a", nil)
					time.Sleep(100 * time.Millisecond)
					f.shared.put(kernel.TopicUpstreams, "c", newRegistration("c"))
					for time.Since(removed) < 10*time.Second {
						time.Sleep(50 * time.Millisecond)
						for i, s := range f.routers {
							bound := removed.Add(removalBound)
							if back := began.Add(row.outage + contact); slices.Contains(row.away, i) && back.After(bound) {
								bound = back
							}
							if time.Now().After(bound) {
								used := upstreamNames(s)
								assert.Assert(t, slices.Equal(used, []string{"b", "c"}), "router %d, %s after the removal: %v", i, time.Since(removed), used)
							}
						}
					}
				})
			}
		})
	}
}

// TestLapseAtAllRouters guards against pools that are emptied by an outage of the directory at the routers that don't read
// it themselves. All registrations lapse during the outage, and running upstreams register again within about 2 s after it.
func TestLapseAtAllRouters(t *testing.T) {
	names := []string{"a", "b"}
	for range rounds {
		runWithFleet(t, 3, 10, names, func(t *testing.T, f *fleet) {
			f.shared.setDown(true)
			time.Sleep(5 * time.Second)
			for _, name := range names {
				f.shared.put(kernel.TopicUpstreams, name, nil)
			}
			f.shared.setDown(false)
			back := time.Now()
			for time.Since(back) < 1900*time.Millisecond {
				time.Sleep(50 * time.Millisecond)
				for i, s := range f.routers {
					used := upstreamNames(s)
					assert.Assert(t, slices.Equal(used, names), "router %d, %s after the outage: %v", i, time.Since(back), used)
				}
			}
			f.shared.put(kernel.TopicUpstreams, "a", newRegistration("a"))
			time.Sleep(2 * time.Second)
			for i, s := range f.routers {
				used := upstreamNames(s)
				assert.Assert(t, slices.Equal(used, []string{"a"}), "router %d: %v", i, used)
			}
		})
	}
}

// TestReadersSilenced guards against routers that follow one candidate after the other, none of which can read the directory
// any more and each of which takes the time of a read to notice it. A change must take effect within 2 s, of which 0.5 s are
// left for the network and the work that this test doesn't simulate.
func TestReadersSilenced(t *testing.T) {
	candidates := []int{0, 1, 2}
	for i := range rounds {
		runWithFleet(t, 3, 10, []string{"a", "b"}, func(t *testing.T, f *fleet) {
			// Each candidate has read the directory itself at some time.
			f.setRefusing(true, candidates[:2])
			time.Sleep(contact)
			f.setRefusing(false, candidates[:2])
			time.Sleep(contact + time.Duration(i)*150*time.Millisecond)
			for _, c := range candidates {
				f.directories[c].silent.Store(true)
			}
			f.setRefusing(true, candidates)
			f.shared.put(kernel.TopicPublication, "config", newPublication(2))
			f.shared.put(kernel.TopicUpstreams, "a", nil)
			time.Sleep(1500 * time.Millisecond)
			for i, s := range f.routers[3:] {
				assert.Equal(t, s.RoutingConfig().Version, int64(2), "router %d", 3+i)
				assert.DeepEqual(t, upstreamNames(s), []string{"b"})
			}
		})
	}
}

// TestGrantOfRemovedUpstream guards against a router that sends a request to an upstream that it doesn't know, because a
// scheduler that can't read the directory goes on granting it, and against one that refuses a new upstream that the scheduler
// heard of first.
func TestGrantOfRemovedUpstream(t *testing.T) {
	rows := []struct {
		name string
		// failed is set if this router's reads of the directory failed shortly before.
		failed bool
		// registered is that of the grant of an upstream which this router doesn't know.
		registered int64
		want       bool
	}{
		{"removed", false, 3, true},
		{"newest that is known here", false, 5, true},
		{"newer than what is known here", false, 6, false},
		{"not stated", false, 0, false},
		{"lapsed in an outage", true, 3, false},
	}
	for _, row := range rows {
		f := newFakeDirectory()
		for range 5 {
			f.put(kernel.TopicUpstreams, "a", newRegistration("a"))
		}
		s := New(Options{Directory: f, LapseGrace: time.Minute, Logger: zap.NewNop()})
		assert.Check(t, !s.Departed("x", row.registered), "nothing is known yet, %s", row.name)
		page, err := f.Newest(t.Context(), kernel.TopicUpstreams)
		assert.NilError(t, err)
		s.applyUpstreams(page, true)
		if row.failed {
			s.recordFailure(kernel.TopicUpstreams, time.Now(), downError{})
		}
		assert.Equal(t, s.Departed("x", row.registered), row.want, row.name)
		assert.Check(t, !s.Departed("a", row.registered), row.name)
	}
}
