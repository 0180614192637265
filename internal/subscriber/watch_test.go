package subscriber

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

// streamCutError reports that the stream was cut by the test.
type streamCutError struct{}

func (streamCutError) Error() string { return "cut" }

// pair is a router that reads the directory and one that follows it.
type pair struct {
	reader, follower *Subscriber
	// shared is the directory of both.
	shared *fakeDirectory
	// cut breaks the stream between them when it is closed.
	cut chan struct{}
	// readerOrders and followerOrders are the orders that they applied.
	readerOrders, followerOrders orderLog
}

// orderLog records orders. It may be used concurrently.
type orderLog struct {
	mu      sync.Mutex
	applied []appliedOrder
}

type appliedOrder struct {
	Order kernel.RolloutOrder
	Seen  bool
}

func (l *orderLog) apply(order kernel.RolloutOrder, seen bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applied = append(l.applied, appliedOrder{order, seen})
}

func (l *orderLog) all() []appliedOrder {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]appliedOrder(nil), l.applied...)
}

// runWithPair runs a test with a started pair on virtual time.
func runWithPair(t *testing.T, test func(t *testing.T, p *pair)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := &pair{shared: newFakeDirectory(), cut: make(chan struct{})}
		options := func(orders *orderLog, readers ...string) Options {
			return Options{
				Directory: p.shared, FetchSnapshot: func(context.Context, Wanted) ([]byte, error) { return nil, nil }, PeerVersion: noVersion,
				Readers: func() Readers { return Readers{Addresses: readers} }, WatchWait: 700 * time.Millisecond,
				PollInterval: 700 * time.Millisecond, LapseGrace: 2200 * time.Millisecond, Logger: zap.NewNop(),
				Rollouts: orderDecoder{}, ApplyOrder: orders.apply,
			}
		}
		p.reader = New(options(&p.readerOrders))
		following := options(&p.followerOrders, "reader")
		following.Watch = func(ctx context.Context, _ string, request *protocol.WatchRequest,
			receive func(*protocol.WatchUpdate) bool,
		) error {
			return p.reader.Serve(ctx, request, func(update *protocol.WatchUpdate) error {
				select {
				case <-p.cut:
					return streamCutError{}
				default:
				}
				if !receive(update) {
					return streamCutError{}
				}
				return nil
			})
		}
		p.follower = New(following)
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		for _, s := range []*Subscriber{p.reader, p.follower} {
			group.Go(func() error { return s.Run(ctx) })
		}
		p.shared.put(kernel.TopicPublication, "config", newPublication(1))
		p.shared.put(kernel.TopicUpstreams, "a", newRegistration("a"))
		time.Sleep(3 * time.Second)
		test(t, p)
		cancel()
		assert.ErrorIs(t, group.Wait(), context.Canceled)
	})
}

// callsIn waits for span and returns the number of reads of changes by both routers in that time.
func (p *pair) callsIn(span time.Duration) int {
	count := func() int {
		p.shared.mu.Lock()
		defer p.shared.mu.Unlock()
		return p.shared.calls
	}
	before := count()
	time.Sleep(span)
	return count() - before
}

// TestFollower guards against a router that reads the directory although it follows another one, and against changes
// that reach it late.
func TestFollower(t *testing.T) {
	runWithPair(t, func(t *testing.T, p *pair) {
		assert.Assert(t, p.callsIn(7*time.Second) <= 22, "one router reads")
		p.shared.put(kernel.TopicPublication, "config", newPublication(2))
		time.Sleep(20 * time.Millisecond)
		assert.Equal(t, p.follower.RoutingConfig().Version, int64(2))
		p.shared.put(kernel.TopicUpstreams, "b", newRegistration("b"))
		p.shared.put(kernel.TopicUpstreams, "a", nil)
		time.Sleep(800 * time.Millisecond)
		assert.DeepEqual(t, upstreamNames(p.follower), []string{"b"})
		assert.Assert(t, p.follower.Departed("a", 0))
	})
}

// orderDecoder decodes every record under the key "rollout/s" as an order.
type orderDecoder struct{ kernel.RolloutProtocol }

func (orderDecoder) RolloutOrder(record kernel.DirectoryRecord) (*kernel.RolloutOrder, error) {
	if record.Key != "rollout/s" {
		return nil, nil
	}
	return &kernel.RolloutOrder{Service: "s", Position: record.Position, Deleted: record.Value == nil}, nil
}

// TestOrders guards against a follower, or a router with a peer's snapshot, that doesn't get the orders of rollouts, gets one
// twice, or takes one that it finds at its start for a new one.
func TestOrders(t *testing.T) {
	runWithPair(t, func(t *testing.T, p *pair) {
		p.shared.put(kernel.TopicPublication, "rollout/s", 1)
		time.Sleep(800 * time.Millisecond)
		p.shared.put(kernel.TopicPublication, "rollout/s", nil)
		time.Sleep(800 * time.Millisecond)
		want := []appliedOrder{{kernel.RolloutOrder{Service: "s", Position: 1}, true}, {kernel.RolloutOrder{Service: "s", Position: 2, Deleted: true}, true}}
		assert.DeepEqual(t, p.readerOrders.all(), want)
		assert.DeepEqual(t, p.followerOrders.all(), want)
		var joined orderLog
		options := p.follower.options
		options.ApplyOrder = joined.apply
		data, _, _ := p.reader.Snapshot()
		assert.NilError(t, New(options).ApplySnapshot(data))
		assert.DeepEqual(t, joined.all(), []appliedOrder{{want[1].Order, false}})
	})
}

// TestOrderDeletedDuringAbsence guards against a router that carries on a rollout whose order was deleted while it was away, and
// which the reader that it follows now has never known, and against one that drops an order that the reader hasn't read yet.
func TestOrderDeletedDuringAbsence(t *testing.T) {
	for _, row := range []struct {
		name string
		// next is the offset up to which the reader has read.
		next kernel.Position
		want []appliedOrder
	}{
		{"deleted", 9, []appliedOrder{{kernel.RolloutOrder{Service: "s", Position: 5}, false}, {kernel.RolloutOrder{Service: "s", Position: 8, Deleted: true}, false}}},
		{"not read yet", 5, []appliedOrder{{kernel.RolloutOrder{Service: "s", Position: 5}, false}}},
	} {
		for _, snapshot := range []bool{false, true} {
			var orders orderLog
			options := Options{Directory: newFakeDirectory(), Rollouts: orderDecoder{}, ApplyOrder: orders.apply, Logger: zap.NewNop()}
			away := New(options)
			away.applyPublications(kernel.DirectoryPage{Records: []kernel.DirectoryRecord{{Key: "rollout/s", Position: 5, Value: []byte("1")}}, Next: 6}, true)
			options.ApplyOrder = func(kernel.RolloutOrder, bool) {}
			reader := New(options)
			reader.applyPublications(kernel.DirectoryPage{Next: row.next}, true)
			reader.applyUpstreams(kernel.DirectoryPage{Next: 1}, true)
			if snapshot {
				data, _, _ := reader.Snapshot()
				assert.NilError(t, away.ApplySnapshot(data))
			} else {
				err := reader.Serve(t.Context(), away.watchRequest(), func(update *protocol.WatchUpdate) error {
					assert.NilError(t, away.applyUpdate(update))
					return streamCutError{}
				})
				assert.ErrorIs(t, err, streamCutError{})
			}
			assert.DeepEqual(t, orders.all(), row.want)
		}
	}
}

// TestAwaitRoutingConfig guards against a router that accepts requests while it knows the configuration but no
// upstreams, and against one that delays them although it knows both.
func TestAwaitRoutingConfig(t *testing.T) {
	runWithPair(t, func(t *testing.T, p *pair) {
		data, _, _ := p.reader.Snapshot()
		var state snapshot
		assert.NilError(t, json.Unmarshal(data, &state))
		fresh := New(p.follower.options)
		fresh.publish(state.Publication, sourceDirectory)
		began := time.Now()
		time.AfterFunc(100*time.Millisecond, func() {
			assert.NilError(t, fresh.ApplySnapshot(data))
		})
		assert.Assert(t, fresh.AwaitRoutingConfig(t.Context(), time.Second) != nil)
		assert.Equal(t, time.Since(began), 100*time.Millisecond)

		unread := New(p.follower.options)
		assert.Assert(t, unread.AwaitRoutingConfig(t.Context(), time.Second) == nil)
		assert.Equal(t, time.Since(began), 1100*time.Millisecond)
	})
}

// TestSimultaneousStart guards against routers that all read the full directory when they start together, and against
// requests that wait for a reader that doesn't answer.
func TestSimultaneousStart(t *testing.T) {
	runWithPair(t, func(t *testing.T, p *pair) {
		p.shared.mu.Lock()
		defer p.shared.mu.Unlock()
		assert.Equal(t, p.shared.newestCalls, 2, "only the reader has read")
	})
	synctest.Test(t, func(t *testing.T) {
		shared := newFakeDirectory()
		shared.put(kernel.TopicPublication, "config", newPublication(1))
		shared.put(kernel.TopicUpstreams, "a", newRegistration("a"))
		s := New(Options{
			Directory: shared, FetchSnapshot: func(context.Context, Wanted) ([]byte, error) { return nil, nil }, PeerVersion: noVersion,
			Readers: func() Readers { return Readers{Addresses: []string{"silent"}} }, WatchWait: time.Second,
			PollInterval: time.Second, Logger: zap.NewNop(),
			Watch: func(ctx context.Context, _ string, _ *protocol.WatchRequest, _ func(*protocol.WatchUpdate) bool) error {
				<-ctx.Done()
				return ctx.Err()
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return s.Run(ctx) })
		assert.Assert(t, s.AwaitRoutingConfig(t.Context(), 2*firstReaderWait) != nil)
		cancel()
		assert.ErrorIs(t, group.Wait(), context.Canceled)
	})
}

// TestCompressRecord guards against large configurations that saturate the reader's link: 500 routes for 50 followers
// must fit into one second of a 10 Mbit/s link.
func TestCompressRecord(t *testing.T) {
	const routes, followers, linkBytes = 500, 50, 10_000_000 / 8
	publication := newPublication(1)
	for i := range routes {
		publication.Routes = append(publication.Routes, kernel.Route{
			Name: fmt.Sprintf("route-%d", i), Host: "some.host.example", Prefix: fmt.Sprintf("/prefix%d/", i),
			Timeout: 12 * time.Second, Targets: []kernel.Target{{Service: "service", Weight: 1}}, Attempts: 2,
		})
	}
	value, err := json.Marshal(publication)
	assert.NilError(t, err)
	record := kernel.DirectoryRecord{Position: 7, Key: "config", Value: value}
	compressed := compressRecord(record)
	assert.Assert(t, len(compressed)*followers < linkBytes, "%d bytes of %d", len(compressed), len(value))
	got, err := decompressRecord(compressed)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, record)
	_, err = decompressRecord(compressed[:len(compressed)/2])
	var malformed *kernel.MalformedRecordError
	assert.Assert(t, errors.As(err, &malformed))
}

// TestReaderLost guards against a follower that gets no more changes after the stream to its reader breaks.
func TestReaderLost(t *testing.T) {
	runWithPair(t, func(t *testing.T, p *pair) {
		close(p.cut)
		time.Sleep(100 * time.Millisecond)
		p.shared.put(kernel.TopicPublication, "config", newPublication(2))
		p.shared.put(kernel.TopicUpstreams, "b", newRegistration("b"))
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, p.follower.RoutingConfig().Version, int64(2))
		assert.DeepEqual(t, upstreamNames(p.follower), []string{"a", "b"})
	})
}

// TestNoMutualFollowing guards against two routers that follow each other, so that neither reads the directory.
func TestNoMutualFollowing(t *testing.T) {
	runWithPair(t, func(t *testing.T, p *pair) {
		reading := true
		request := &protocol.WatchRequest{Revision: 1, Offset: 1}
		err := p.follower.Serve(t.Context(), request, func(update *protocol.WatchUpdate) error {
			reading = update.GetReading()
			return streamCutError{}
		})
		assert.ErrorIs(t, err, streamCutError{})
		assert.Assert(t, !reading)
	})
}

// countingDirectory is a shared directory that counts the reads of one router.
type countingDirectory struct {
	*fakeDirectory
	reads atomic.Int64
}

func (c *countingDirectory) Changes(ctx context.Context, topic kernel.Topic, from kernel.Position,
	wait time.Duration,
) (kernel.DirectoryPage, error) {
	c.reads.Add(1)
	return c.fakeDirectory.Changes(ctx, topic, from, wait)
}

func (c *countingDirectory) Newest(ctx context.Context, topic kernel.Topic) (kernel.DirectoryPage, error) {
	c.reads.Add(1)
	return c.fakeDirectory.Newest(ctx, topic)
}

// TestStart guards against a router that reads the directory itself when it starts, although it can follow another one.
// It also guards against one that doesn't follow before the first publication, or that misses the first record.
func TestStart(t *testing.T) {
	for _, published := range []bool{true, false} {
		testStart(t, published)
	}
}

func testStart(t *testing.T, published bool) {
	runWithPair(t, func(t *testing.T, p *pair) {
		if !published {
			p.reader.config.Store(nil)
		}
		own := &countingDirectory{fakeDirectory: p.shared}
		options := p.follower.options
		options.Directory = own
		fresh := New(options)
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return fresh.Run(ctx) })
		time.Sleep(3 * time.Second)
		assert.Equal(t, own.reads.Load(), int64(0))
		if published {
			assert.Equal(t, fresh.RoutingConfig().Version, int64(1))
			assert.DeepEqual(t, upstreamNames(fresh), []string{"a"})
		}
		cancel()
		assert.ErrorIs(t, group.Wait(), context.Canceled)
	})
}

// TestReaderFailover guards against routers that all read the directory themselves while it refuses the reads of their
// reader, and against changes that reach them late during that time.
func TestReaderFailover(t *testing.T) {
	const candidates, followers = 3, 10
	runWithFleet(t, candidates, followers, []string{"a"}, func(t *testing.T, f *fleet) {
		read := func() (sum int64) {
			for _, d := range f.directories[candidates:] {
				sum += d.reads.Load()
			}
			return sum
		}
		before := read()
		f.setRefusing(true, []int{0})
		time.Sleep(time.Second)
		for next := int64(2); next < 6; next++ {
			f.shared.put(kernel.TopicPublication, "config", newPublication(next))
			time.Sleep(time.Second)
			// The first router would learn of changes through snapshots of its peers, which this test doesn't simulate.
			for i, s := range f.routers[1:] {
				assert.Equal(t, s.RoutingConfig().Version, next, "router %d", i+1)
			}
		}
		assert.Assert(t, read()-before <= followers, "%d reads", read()-before)
		f.setRefusing(false, []int{0})
		time.Sleep(3 * time.Second)
		before = f.directories[1].reads.Load()
		time.Sleep(5 * time.Second)
		assert.Equal(t, f.directories[1].reads.Load(), before, "the first reader reads again")
	})
}
