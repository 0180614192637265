package messenger

import (
	"context"
	"net"
	"testing"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/protocol/protocolconnect"
)

// silentPeer is a router that sends one message on a stream and then neither sends nor reads, like a frozen process.
type silentPeer struct {
	protocolconnect.UnimplementedRouterServiceHandler
	end chan struct{}
}

func (s *silentPeer) Schedule(
	_ context.Context, stream *connect.BidiStream[protocol.HolderMessage, protocol.SchedulerMessage],
) error {
	err := stream.Send(&protocol.SchedulerMessage{Heartbeat: true})
	<-s.end
	return err
}

// TestSilentPeer guards against a stream to a frozen scheduler that ends only when the scheduler resumes, so that its
// tickets move to the next scheduler seconds late.
func TestSilentPeer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	peer := &silentPeer{end: make(chan struct{})}
	_, handler := protocolconnect.NewRouterServiceHandler(peer)
	var group errgroup.Group
	group.Go(func() error { return Serve(ctx, listener, handler, nil, nil) })
	pool, closePool := NewPool(nil)
	defer closePool()
	outbox := NewHolderOutbox()
	assert.NilError(t, outbox.Put(&protocol.HolderMessage{Hello: &protocol.Hello{Router: "h"}}))
	ended := make(chan error, 1)
	group.Go(func() error {
		ended <- pool.Schedule(ctx, listener.Addr().String(), outbox, func(*protocol.SchedulerMessage) {})
		return nil
	})
	select {
	case err = <-ended:
	case <-time.After(2 * HeartbeatTimeout):
		t.Error("the stream is still open")
	}
	close(peer.end)
	cancel()
	_ = group.Wait()
	assert.ErrorContains(t, err, "nothing received")
}
