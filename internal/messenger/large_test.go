package messenger

import (
	"context"
	"net"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/protocol"
)

// TestMessageLimit guards against a message of another router using up the memory, and against a limit that a full batch
// of tickets exceeds.
func TestMessageLimit(t *testing.T) {
	cases := []struct {
		name string
		size int
		code connect.Code
	}{
		{"below the limit", maxMessageBytes - (1 << 10), 0},
		{"above the limit", maxMessageBytes + (1 << 10), connect.CodeResourceExhausted},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	_, handler := NewHandler(Handlers{
		Snapshot: func(_ context.Context, request *protocol.SnapshotRequest) (*protocol.SnapshotResponse, error) {
			return &protocol.SnapshotResponse{Catalogue: make([]byte, cases[request.GetAboveRevision()].size)}, nil
		},
		Claim: func(context.Context, *protocol.ClaimRequest) (*protocol.ClaimResponse, error) {
			return &protocol.ClaimResponse{}, nil
		},
	})
	var group errgroup.Group
	group.Go(func() error { return Serve(ctx, listener, handler, nil, nil) })
	defer func() {
		cancel()
		assert.NilError(t, group.Wait())
	}()
	pool, closePool := NewPool(nil)
	defer closePool()
	// Pool's own methods have CallTimeout, within which a loaded machine may not transfer a message of this size.
	client := pool.client(listener.Addr().String())
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := client.Snapshot(t.Context(), &protocol.SnapshotRequest{AboveRevision: uint64(i)})
			assert.Equal(t, err == nil, c.code == 0, "answer: %v", err)
			assert.Assert(t, err == nil || connect.CodeOf(err) == c.code, "answer: %v", err)
			_, err = client.Claim(t.Context(), &protocol.ClaimRequest{Router: strings.Repeat("r", c.size)})
			assert.Equal(t, err == nil, c.code == 0, "call: %v", err)
			assert.Assert(t, err == nil || connect.CodeOf(err) == c.code, "call: %v", err)
		})
	}
}
