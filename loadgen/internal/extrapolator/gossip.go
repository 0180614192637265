package extrapolator

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/protocol"
)

const (
	// gossipRounds is how many probes each connection carries in the measurement.
	gossipRounds = 50
	// idleGossip is how long idle connections are watched.
	idleGossip = 4 * time.Second
)

// gossipRun is the cost of probes by connect and HTTP/2 on one number of connections. Message and idle are in bytes,
// idle for all connections in a second; cpu is in seconds a probe, both ends together.
type gossipRun struct {
	message float64
	cpu     float64
	idle    float64
	idleCPU float64
}

// runGossip sends probes without deltas over the loopback interface, then leaves the connections idle.
func runGossip(ctx context.Context, connections int) (gossipRun, error) {
	var run gossipRun
	listener, err := listen()
	if err != nil {
		return run, err
	}
	serveCtx, cancel := context.WithCancel(ctx)
	var group errgroup.Group
	_, handler := messenger.NewHandler(messenger.Handlers{
		Gossip: func(context.Context, *protocol.GossipRequest) (*protocol.GossipResponse, error) {
			return &protocol.GossipResponse{From: &protocol.Member{Name: "callee"}}, nil
		},
	})
	group.Go(func() error { return messenger.Serve(serveCtx, listener, handler, nil) })
	defer func() {
		cancel()
		_ = group.Wait() // the end of the context is no failure
	}()
	pools := make([]*messenger.Pool, connections)
	for i := range pools {
		pool, cleanup := messenger.NewPool(nil)
		defer cleanup()
		pools[i] = pool
	}
	call := func() error {
		for _, pool := range pools {
			request := &protocol.GossipRequest{From: &protocol.Member{Name: "caller"}}
			if _, err := pool.Gossip(ctx, listener.Addr().String(), request); err != nil {
				return err
			}
		}
		return nil
	}
	if err := call(); err != nil {
		return run, err
	}
	before := listener.bytes.Load()
	c, err := spent(func() error {
		for range gossipRounds {
			if err := call(); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return run, err
	}
	probes := float64(gossipRounds * connections)
	run.message, run.cpu = float64(listener.bytes.Load()-before)/probes, c.cpu.Seconds()/probes
	time.Sleep(time.Second)
	before = listener.bytes.Load()
	c, _ = spent(func() error { time.Sleep(idleGossip); return nil })
	run.idle = float64(listener.bytes.Load()-before) / c.wall.Seconds()
	run.idleCPU = c.cpu.Seconds() / c.wall.Seconds()
	return run, nil
}
