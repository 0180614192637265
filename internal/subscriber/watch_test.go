package subscriber

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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

// brokenError reports a stream that was cut.
type brokenError struct{}

func (brokenError) Error() string { return "cut" }

// pair is a router that reads the directory and one that follows it.
type pair struct {
	reader, follower *Subscriber
	// readers and followers are the directories as each of them sees it.
	shared *store
	cut    chan struct{}
}

// runPair starts both on virtual time. Each reads through a store of its own that shares its records.
func runPair(t *testing.T, test func(t *testing.T, p *pair)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := &pair{shared: newStore(), cut: make(chan struct{})}
		options := func(readers ...string) Options {
			return Options{
				Directory: p.shared, FetchSnapshot: func(context.Context) ([]byte, error) { return nil, nil },
				Readers: func() Readers { return Readers{Addresses: readers} }, WatchWait: 700 * time.Millisecond, PollInterval: 700 * time.Millisecond,
				LapseGrace: 2200 * time.Millisecond, Logger: zap.NewNop(),
			}
		}
		p.reader = New(options())
		following := options("reader")
		following.Watch = func(ctx context.Context, _ string, request *protocol.WatchRequest, receive func(*protocol.WatchUpdate) bool) error {
			return p.reader.Serve(ctx, request, func(update *protocol.WatchUpdate) error {
				select {
				case <-p.cut:
					return brokenError{}
				default:
				}
				if !receive(update) {
					return brokenError{}
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
		p.shared.put(kernel.TopicPublication, "config", version(1))
		p.shared.put(kernel.TopicUpstreams, "a", engine("a"))
		time.Sleep(3 * time.Second)
		test(t, p)
		cancel()
		assert.ErrorIs(t, group.Wait(), context.Canceled)
	})
}

// callsIn returns the calls of both in a time.
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

// TestFollower guards against a router that reads the directory although another one reads it for it, and against changes
// that reach it late.
func TestFollower(t *testing.T) {
	runPair(t, func(t *testing.T, p *pair) {
		assert.Assert(t, p.callsIn(7*time.Second) <= 22, "one router reads")
		p.shared.put(kernel.TopicPublication, "config", version(2))
		time.Sleep(20 * time.Millisecond)
		assert.Equal(t, p.follower.RoutingConfig().Version, int64(2))
		p.shared.put(kernel.TopicUpstreams, "b", engine("b"))
		p.shared.put(kernel.TopicUpstreams, "a", nil)
		time.Sleep(800 * time.Millisecond)
		assert.DeepEqual(t, names(p.follower), []string{"b"})
		assert.Assert(t, p.follower.Departed("a"))
	})
}

// TestAwaitPlan guards against a router that takes requests when it knows the configuration but no upstream yet, and against
// one that holds them although it knows both.
func TestAwaitPlan(t *testing.T) {
	runPair(t, func(t *testing.T, p *pair) {
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

// TestCommonStart guards against routers that all read the whole directory when they start together, and against requests that
// wait for a reader that doesn't answer.
func TestCommonStart(t *testing.T) {
	runPair(t, func(t *testing.T, p *pair) {
		p.shared.mu.Lock()
		defer p.shared.mu.Unlock()
		assert.Equal(t, p.shared.lists, 2, "only the reader has read")
	})
	synctest.Test(t, func(t *testing.T) {
		shared := newStore()
		shared.put(kernel.TopicPublication, "config", version(1))
		shared.put(kernel.TopicUpstreams, "a", engine("a"))
		s := New(Options{
			Directory: shared, FetchSnapshot: func(context.Context) ([]byte, error) { return nil, nil },
			Readers: func() Readers { return Readers{Addresses: []string{"silent"}} }, WatchWait: time.Second, PollInterval: time.Second, Logger: zap.NewNop(),
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

// TestPack guards against large configurations that fill the reader's link: hundreds of routes for fifty followers.
func TestPack(t *testing.T) {
	const routes, followers, linkBytes = 500, 50, 10_000_000 / 8
	publication := version(1)
	for i := range routes {
		publication.Routes = append(publication.Routes, kernel.Route{
			Name: fmt.Sprintf("route-%d", i), Host: "some.host.example", Prefix: fmt.Sprintf("/prefix%d/", i), Timeout: 12 * time.Second,
			Targets: []kernel.Target{{Service: "service", Weight: 1}}, Attempts: 2,
		})
	}
	value, err := json.Marshal(publication)
	assert.NilError(t, err)
	record := kernel.DirectoryRecord{Offset: 7, Key: "config", Value: value}
	packed := pack(record)
	assert.Assert(t, len(packed)*followers < linkBytes, "%d bytes of %d", len(packed), len(value))
	got, err := unpack(packed)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, record)
	_, err = unpack(packed[:len(packed)/2])
	var malformed *kernel.MalformedRecordError
	assert.Assert(t, errors.As(err, &malformed))
}

// TestReaderCut guards against a follower that stays without changes when its reader vanishes.
func TestReaderCut(t *testing.T) {
	runPair(t, func(t *testing.T, p *pair) {
		close(p.cut)
		time.Sleep(100 * time.Millisecond)
		p.shared.put(kernel.TopicPublication, "config", version(2))
		p.shared.put(kernel.TopicUpstreams, "b", engine("b"))
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, p.follower.RoutingConfig().Version, int64(2))
		assert.DeepEqual(t, names(p.follower), []string{"a", "b"})
	})
}

// TestNoCircle guards against two routers that follow each other, so that neither reads.
func TestNoCircle(t *testing.T) {
	runPair(t, func(t *testing.T, p *pair) {
		reading := true
		request := &protocol.WatchRequest{Revision: 1, Offset: 1}
		err := p.follower.Serve(t.Context(), request, func(update *protocol.WatchUpdate) error {
			reading = update.GetReading()
			return brokenError{}
		})
		assert.ErrorIs(t, err, brokenError{})
		assert.Assert(t, !reading)
	})
}

// countingStore counts one router's reads.
type countingStore struct {
	*store
	reads atomic.Int64
}

func (c *countingStore) Changes(ctx context.Context, topic kernel.Topic, from int64, wait time.Duration) (kernel.DirectoryPage, error) {
	c.reads.Add(1)
	return c.store.Changes(ctx, topic, from, wait)
}

func (c *countingStore) Newest(ctx context.Context, topic kernel.Topic) (kernel.DirectoryPage, error) {
	c.reads.Add(1)
	return c.store.Newest(ctx, topic)
}

// TestStart guards against a router that reads by itself at its start, although it can follow another one at once, and
// against one that doesn't follow before there is a publication or that misses the first record of the directory.
func TestStart(t *testing.T) {
	for _, published := range []bool{true, false} {
		testStart(t, published)
	}
}

func testStart(t *testing.T, published bool) {
	runPair(t, func(t *testing.T, p *pair) {
		if !published {
			p.reader.plan.Store(nil)
		}
		own := &countingStore{store: p.shared}
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
			assert.DeepEqual(t, names(fresh), []string{"a"})
		}
		cancel()
		assert.ErrorIs(t, group.Wait(), context.Canceled)
	})
}

// gate is one router's way to a shared store, which may turn it away.
type gate struct {
	*store
	shut  atomic.Bool
	reads atomic.Int64
}

func (g *gate) Changes(ctx context.Context, topic kernel.Topic, from int64, wait time.Duration) (kernel.DirectoryPage, error) {
	g.reads.Add(1)
	if g.shut.Load() {
		return kernel.DirectoryPage{}, &kernel.LogUnavailableError{Operation: "read", Cause: downError{}}
	}
	return g.store.Changes(ctx, topic, from, wait)
}

func (g *gate) Newest(ctx context.Context, topic kernel.Topic) (kernel.DirectoryPage, error) {
	g.reads.Add(1)
	if g.shut.Load() {
		return kernel.DirectoryPage{}, &kernel.LogUnavailableError{Operation: "list", Cause: downError{}}
	}
	return g.store.Newest(ctx, topic)
}

// TestNextReader guards against routers that all read the directory themselves while it turns their reader away, and against
// changes that reach them late meanwhile.
func TestNextReader(t *testing.T) {
	const followers = 10
	synctest.Test(t, func(t *testing.T) {
		shared := newStore()
		shared.put(kernel.TopicPublication, "config", version(1))
		shared.put(kernel.TopicUpstreams, "a", engine("a"))
		addresses := []string{"first", "second", "third"}
		routers := make(map[string]*Subscriber)
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		var gates []*gate
		var all []*Subscriber
		for i := range len(addresses) + followers {
			rank := min(i, len(addresses))
			gates = append(gates, &gate{store: shared})
			s := New(Options{
				Directory: gates[i], FetchSnapshot: func(context.Context) ([]byte, error) { return nil, nil },
				Readers: func() Readers {
					return Readers{Addresses: addresses[:rank], Candidate: rank < len(addresses)}
				},
				Watch: func(ctx context.Context, address string, request *protocol.WatchRequest, receive func(*protocol.WatchUpdate) bool) error {
					return routers[address].Serve(ctx, request, func(update *protocol.WatchUpdate) error {
						if !receive(update) {
							return brokenError{}
						}
						return nil
					})
				},
				WatchWait: 700 * time.Millisecond, PollInterval: 700 * time.Millisecond, Logger: zap.NewNop(),
			})
			if rank < len(addresses) {
				routers[addresses[rank]] = s
			}
			all = append(all, s)
		}
		for _, s := range all {
			group.Go(func() error { return s.Run(ctx) })
		}
		time.Sleep(5 * time.Second)
		read := func() (sum int64) {
			for _, g := range gates[len(addresses):] {
				sum += g.reads.Load()
			}
			return sum
		}
		before := read()
		gates[0].shut.Store(true)
		time.Sleep(time.Second)
		for next := int64(2); next < 6; next++ {
			shared.put(kernel.TopicPublication, "config", version(next))
			time.Sleep(time.Second)
			// The first router learns of changes by its peers' snapshots, which this test leaves out.
			for i, s := range all[1:] {
				assert.Equal(t, s.RoutingConfig().Version, next, "router %d", i+1)
			}
		}
		assert.Assert(t, read()-before <= followers, "%d reads", read()-before)
		gates[0].shut.Store(false)
		time.Sleep(3 * time.Second)
		before = gates[1].reads.Load()
		time.Sleep(5 * time.Second)
		assert.Equal(t, gates[1].reads.Load(), before, "the first reader reads again")
		cancel()
		assert.ErrorIs(t, group.Wait(), context.Canceled)
	})
}
