package runner

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/ticketer"
)

// startOnLoopback starts a router that communicates over TCP on the loopback interface and returns its address.
func startOnLoopback(t *testing.T, group *errgroup.Group, name string, catalogue *fakeCatalogue,
	seeds ...string,
) (*node, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	n := &node{name: name}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	pool, closePool := messenger.NewPool(nil)
	t.Cleanup(closePool)
	n.detector = detector.New(detector.Settings{Name: name, Address: address, Seeds: seeds}, pool)
	n.runner = New(Options{Self: name, Members: n.detector, Catalogue: catalogue, Factory: n.factory})
	n.ticketer = ticketer.New(ticketer.Options{
		Self: name, Incarnation: uint64(time.Now().UnixMilli()), Members: n.detector, Catalogue: catalogue,
		Remote: pool, Local: n.runner,
	})
	path, handler := messenger.NewHandler(messenger.Handlers{Accept: n.runner.Accept, Gossip: n.detector.Handle})
	assert.Equal(t, path, "/coltsfootplank.v1.RouterService/")
	group.Go(func() error { return messenger.Serve(n.ctx, listener, handler, nil, nil) })
	for _, run := range []func(context.Context) error{n.detector.Run, n.runner.Run, n.ticketer.Run} {
		group.Go(func() error { _ = run(n.ctx); return nil })
	}
	n.detector.Ready()
	return n, address
}

func allGranted(requests []*request) poll.Check {
	return func(poll.LogT) poll.Result {
		if granted := countGranted(requests); granted < len(requests) {
			return poll.Continue("%d of %d granted", granted, len(requests))
		}
		return poll.Success()
	}
}

// TestLoopback guards against packages that work together only over the in-memory connections of the other tests, and
// against leaked goroutines. It runs three routers over Connect streams and stops one of them.
func TestLoopback(t *testing.T) {
	defer goleak.VerifyNone(t)
	var group errgroup.Group
	catalogue := newFakeCatalogue(100, "chat")
	a, seed := startOnLoopback(t, &group, "a", catalogue)
	b, _ := startOnLoopback(t, &group, "b", catalogue, seed)
	c, _ := startOnLoopback(t, &group, "c", catalogue, seed)
	tc := &testCluster{nodes: map[string]*node{"a": a, "b": b, "c": c}}
	defer func() {
		for _, n := range tc.nodes {
			n.cancel()
		}
		assert.NilError(t, group.Wait())
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, n := range tc.nodes {
			if known := len(n.detector.View().Eligible()); known < 3 {
				return poll.Continue("router %s knows %d members", n.name, known)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))

	ranked := tc.ranking()
	holder := ranked[2]
	requests := holder.submit("chat", 0, 50)
	poll.WaitOn(t, allGranted(requests), poll.WithTimeout(2*time.Second), poll.WithDelay(time.Millisecond))
	holder.release(requests...)

	ranked[0].cancel()
	requests = holder.submit("chat", 100, 50)
	poll.WaitOn(t, allGranted(requests), poll.WithTimeout(2*time.Second), poll.WithDelay(time.Millisecond))
	for _, r := range requests {
		assert.Equal(t, r.granted(), 1)
	}
	holder.release(requests...)
}
