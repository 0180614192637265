package subscriber

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
)

// TestPublicationAfterRestoration guards against a router that keeps an outdated configuration, because it goes on reading at
// the offset that it had reached before the directory was restored from a copy, and the record there is another one now.
func TestPublicationAfterRestoration(t *testing.T) {
	rows := []struct {
		name string
		// lost are the versions that the copy lacks, written those that operators write afterwards, pause apart.
		lost, written []int64
		pause         time.Duration
		// restorations is how often the directory is restored before that.
		restorations int
	}{
		{"the end is the same", []int64{3, 4}, []int64{4, 7}, 0, 1},
		{"the end is the same after a while", []int64{3, 4}, []int64{4, 7}, 250 * time.Millisecond, 1},
		{"the end is further", []int64{3}, []int64{3, 5, 7}, 0, 1},
		{"the end is nearer", []int64{3, 4, 5}, []int64{7}, 0, 1},
		{"nothing lost", nil, []int64{7}, 0, 1},
		{"restored twice", []int64{3, 4}, []int64{4, 7}, 0, 2},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			runWithSubscriber(t, noSnapshot, func(t *testing.T, directory *fakeDirectory, s *Subscriber) {
				directory.put(kernel.TopicPublication, "config", newPublication(1))
				time.Sleep(time.Second)
				copied := directory.copy()
				for _, version := range row.lost {
					directory.put(kernel.TopicPublication, "config", newPublication(version))
				}
				time.Sleep(time.Second)
				for range row.restorations {
					directory.restore(copied)
				}
				for _, version := range row.written {
					directory.put(kernel.TopicPublication, "config", newPublication(version))
					time.Sleep(row.pause)
				}
				time.Sleep(removalBound)
				assert.Equal(t, s.RoutingConfig().Version, int64(7))
			})
		})
	}
}

// TestRegistrationsAfterRestoration guards against routers that take what was registered or removed after the directory had
// been restored from a copy for old, because it has lower offsets than what they knew before.
func TestRegistrationsAfterRestoration(t *testing.T) {
	rows := []struct {
		name string
		// lost is how many records of "a" the copy lacks, restorations how often it is restored, a heartbeat apart.
		lost, restorations int
		// down is how long the directory is away before.
		down time.Duration
		// away are routers that the directory refuses from before the first restoration until after the last one.
		away []int
	}{
		{"once", 20, 1, 1500 * time.Millisecond, nil},
		{"unnoticed", 20, 1, 0, nil},
		{"nothing lost", 0, 1, 0, nil},
		{"twice", 20, 2, time.Second, nil},
		{"twice, unnoticed", 20, 2, 0, nil},
		{"missed by a reader", 20, 1, 0, []int{0}},
		{"missed by two readers, twice", 20, 2, 0, []int{0, 1}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			for range rounds {
				runWithFleet(t, 3, 10, []string{"a", "b"}, func(t *testing.T, f *fleet) {
					f.setRefusing(true, row.away)
					for range row.restorations {
						copied := f.shared.copy()
						for i := range row.lost {
							// Each of these records changes the registration.
							registration := newRegistration("a")
							registration.Slots = 2 + i
							f.shared.put(kernel.TopicUpstreams, "a", registration)
						}
						time.Sleep(1200 * time.Millisecond)
						f.shared.setDown(row.down > 0)
						time.Sleep(row.down)
						f.shared.restore(copied)
						f.shared.setDown(false)
					}
					f.setRefusing(false, row.away)
					time.Sleep(contact)
					f.shared.put(kernel.TopicUpstreams, "a", nil)
					f.shared.put(kernel.TopicUpstreams, "c", newRegistration("c"))
					time.Sleep(removalBound)
					for i, s := range f.routers {
						used := upstreamNames(s)
						assert.Check(t, slices.Equal(used, []string{"b", "c"}), "router %d: %v", i, used)
					}
				})
			}
		})
	}
}
