package extrapolator

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/protocol"
)

const (
	// gossipRounds is the number of probes that are measured on each connection.
	gossipRounds = 50
	// gossipIdleDuration is how long idle connections are measured.
	gossipIdleDuration = 4 * time.Second
)

// gossipResult is the cost of probes with Connect over HTTP/2 at one number of connections. probeBytes and probeCPU are
// the bytes and CPU seconds of one probe with its response; idleBytes and idleCPU are those of all idle connections per
// second. CPU includes both ends.
type gossipResult struct {
	probeBytes float64
	probeCPU   float64
	idleBytes  float64
	idleCPU    float64
}

// measureGossip sends probes without deltas over the loopback interface, then measures the idle connections.
func measureGossip(ctx context.Context, connections int) (gossipResult, error) {
	var result gossipResult
	listener, err := listen()
	if err != nil {
		return result, err
	}
	serveCtx, cancel := context.WithCancel(ctx)
	var group errgroup.Group
	_, handler := messenger.NewHandler(messenger.Handlers{
		Gossip: func(context.Context, *protocol.GossipRequest) (*protocol.GossipResponse, error) {
			return &protocol.GossipResponse{From: &protocol.Member{Name: "callee"}}, nil
		},
	})
	group.Go(func() error { return messenger.Serve(serveCtx, listener, handler, nil, nil) })
	defer func() {
		cancel()
		_ = group.Wait() // Serve ends because its context was cancelled, which is no failure.
	}()
	pools := make([]*messenger.Pool, connections)
	for i := range pools {
		pool, cleanup := messenger.NewPool(nil)
		defer cleanup()
		pools[i] = pool
	}
	probeAll := func() error {
		for _, pool := range pools {
			request := &protocol.GossipRequest{From: &protocol.Member{Name: "caller"}}
			if _, err := pool.Gossip(ctx, listener.Addr().String(), request); err != nil {
				return err
			}
		}
		return nil
	}
	if err := probeAll(); err != nil {
		return result, err
	}
	before := listener.bytes.Load()
	c, err := measureCost(func() error {
		for range gossipRounds {
			if err := probeAll(); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return result, err
	}
	probes := float64(gossipRounds * connections)
	result.probeBytes, result.probeCPU = float64(listener.bytes.Load()-before)/probes, c.cpu.Seconds()/probes
	time.Sleep(time.Second)
	before = listener.bytes.Load()
	c, _ = measureCost(func() error { time.Sleep(gossipIdleDuration); return nil })
	result.idleBytes = float64(listener.bytes.Load()-before) / c.wall.Seconds()
	result.idleCPU = c.cpu.Seconds() / c.wall.Seconds()
	return result, nil
}
