package subscriber

import (
	"errors"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
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

// TestRegistrationsThatARestorationChanges guards against routers that use an upstream again that they know to be leaving or
// gone, because the copy still has it, and against ones that stop using an upstream because the copy doesn't have it yet.
// Upstreams that are there write their registration again within 2 s.
func TestRegistrationsThatARestorationChanges(t *testing.T) {
	write := func(name string, sequence int64, leaving bool) kernel.Registration {
		registration := newRegistration(name)
		registration.Incarnation, registration.Sequence, registration.Leaving = 1, sequence, leaving
		return registration
	}
	const name = "c"
	rows := []struct {
		name string
		// copied is what the copy has, lost what was written afterwards and again what is written again after the restoration.
		copied, lost, again any
		// before and after tell whether the upstream is used before the restoration, and whether it is used later. In between, it
		// must be used if both are set, and must not be if neither is.
		before, after bool
	}{
		{"registered", nil, write(name, 1, false), write(name, 4, false), true, true},
		{"registered, and gone", nil, write(name, 1, false), nil, true, false},
		{"removed", write(name, 1, false), nil, nil, false, false},
		{"leaving", write(name, 1, false), write(name, 5, true), write(name, 7, true), false, false},
		{"leaving, and removed", write(name, 1, false), write(name, 5, true), nil, false, false},
		{"changed", write(name, 1, false), write(name, 5, false), write(name, 9, false), true, true},
		{"unchanged", write(name, 1, false), write(name, 1, false), write(name, 9, false), true, true},
	}
	settings := []struct {
		name string
		// restorations is how often the directory is restored from the copy, down how long it is away before each time.
		restorations int
		down         time.Duration
		// away are the routers that it refuses from before the first restoration until after the last one.
		away []int
		// restarted is a router that starts again after the first restoration; 0 stands for none.
		restarted int
		// outage is how long the directory is away again 1 s after the last restoration.
		outage time.Duration
	}{
		{"once", 1, time.Second, nil, 0, 0},
		{"unnoticed", 1, 0, nil, 0, 0},
		{"twice", 2, 300 * time.Millisecond, nil, 0, 0},
		{"twice, unnoticed", 2, 0, nil, 0, 0},
		{"three times, unnoticed", 3, 0, nil, 0, 0},
		{"missed by a reader", 1, 0, []int{0}, 0, 0},
		{"missed by all readers, twice", 2, 0, []int{0, 1, 2}, 0, 0},
		{"a router restarts", 1, 300 * time.Millisecond, nil, 7, 0},
		{"away again", 1, 0, nil, 0, 4 * time.Second},
	}
	for _, row := range rows {
		for _, setting := range settings {
			t.Run(row.name+", "+setting.name, func(t *testing.T) {
				runWithFleet(t, 3, 10, []string{"a"}, func(t *testing.T, f *fleet) {
					if row.copied != nil {
						f.shared.put(kernel.TopicUpstreams, name, row.copied)
					}
					time.Sleep(time.Second)
					copied := f.shared.copy()
					f.shared.put(kernel.TopicUpstreams, name, row.lost)
					time.Sleep(contact)
					f.setRefusing(true, setting.away)
					for range setting.restorations {
						f.shared.setDown(setting.down > 0)
						time.Sleep(setting.down)
						f.shared.restore(copied)
						f.shared.setDown(false)
						time.Sleep(700 * time.Millisecond)
					}
					f.setRefusing(false, setting.away)
					if setting.outage > 0 {
						time.Sleep(300 * time.Millisecond)
						f.shared.setDown(true)
						time.Sleep(setting.outage)
						f.shared.setDown(false)
					}
					back := time.Now()
					if setting.restarted > 0 {
						f.restart(t, setting.restarted)
					}
					time.AfterFunc(1200*time.Millisecond, func() {
						if row.again != nil {
							f.shared.put(kernel.TopicUpstreams, name, row.again)
						}
					})
					if row.again == nil {
						// The directory drops the copied registration of a silent upstream.
						time.AfterFunc(3600*time.Millisecond, func() { f.shared.put(kernel.TopicUpstreams, name, nil) })
					}
					for time.Since(back) < 8*time.Second {
						time.Sleep(50 * time.Millisecond)
						for i, s := range f.routers {
							used := slices.Contains(upstreamNames(s), name)
							if settled := time.Since(back) > contact+removalBound; used == row.after || !settled && row.before != row.after ||
								i == setting.restarted && i > 0 && time.Since(back) < contact {
								continue
							}
							t.Fatalf("router %d, %s after the restoration: used %t", i, time.Since(back), used)
						}
					}
				})
			})
		}
	}
}

// TestStateFromBeforeRestoration guards against a router that takes over from a peer what the directory has lost, because the
// peer hasn't heard that it was restored from a copy.
func TestStateFromBeforeRestoration(t *testing.T) {
	shared := newFakeDirectory()
	for _, name := range []string{"a", "b"} {
		shared.put(kernel.TopicUpstreams, name, newRegistration(name))
	}
	copied := shared.copy()
	for i := range 20 {
		registration := newRegistration("lost")
		registration.Slots += i
		shared.put(kernel.TopicUpstreams, "lost", registration)
	}
	read := func(s *Subscriber) {
		page, err := shared.Newest(t.Context(), kernel.TopicUpstreams)
		assert.NilError(t, err)
		s.applyUpstreams(page, true)
		s.publish(kernel.DirectoryRecord{Key: "config", Value: []byte(`{"Version":1,"Services":[{"Name":"s"}]}`)}, sourceDirectory)
	}
	options := Options{Directory: shared, Logger: zap.NewNop()}
	peer := New(options)
	read(peer)
	peer.publish(kernel.DirectoryRecord{Key: "config", Value: []byte(`{"Version":2,"Services":[{"Name":"s"}]}`)}, sourceDirectory)
	shared.restore(copied)
	for _, streamed := range []bool{false, true} {
		s := New(options)
		read(s)
		if streamed {
			err := peer.Serve(t.Context(), s.watchRequest(), s.applyUpdate)
			var outdated *OutdatedEraError
			assert.Assert(t, errors.As(err, &outdated), "%v", err)
		} else {
			data, _, _ := peer.Snapshot()
			assert.NilError(t, s.ApplySnapshot(data))
			assert.Equal(t, s.RoutingConfig().Version, int64(2))
		}
		assert.DeepEqual(t, upstreamNames(s), []string{"a", "b"})
		assert.Equal(t, s.Era(), int64(1))
	}
}

// TestOrdersAfterRestoration guards against rollouts that are taken back because the directory was restored from a copy that lacks
// their order, which operators write again, and against ones that go on although their order is gone for good.
func TestOrdersAfterRestoration(t *testing.T) {
	const key = "rollout/s"
	rows := []struct {
		name string
		// copied, lost and again are the values of the order in the copy, after it, and written again; nil for none.
		copied, lost, again any
		// deletions is how often the order is deleted, and deleted whether it is in the end.
		deletions int
		deleted   bool
	}{
		{"in the copy", 1, nil, nil, 0, false},
		{"lost and written again", nil, 1, 1, 0, false},
		{"lost for good", nil, 1, nil, 1, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			runWithPair(t, func(t *testing.T, p *pair) {
				put := func(value any) {
					if value != nil {
						p.shared.put(kernel.TopicPublication, key, value)
					}
				}
				put(row.copied)
				time.Sleep(time.Second)
				copied := p.shared.copy()
				// The lost record has a higher offset than the one that is written again.
				p.shared.put(kernel.TopicPublication, "other", 1)
				put(row.lost)
				time.Sleep(time.Second)
				p.shared.restore(copied)
				time.Sleep(1200 * time.Millisecond)
				put(row.again)
				time.Sleep(10 * time.Second)
				for i, orders := range []*orderLog{&p.readerOrders, &p.followerOrders} {
					deletions := 0
					for _, o := range orders.all() {
						if o.Order.Deleted {
							deletions++
						}
					}
					assert.Assert(t, len(orders.all()) > 0)
					last := orders.all()[len(orders.all())-1].Order
					assert.Check(t, deletions == row.deletions && last.Deleted == row.deleted && last.Position.Era() == 1, "%d: %v", i, orders.all())
				}
			})
		})
	}
}
