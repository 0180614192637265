package messenger

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/admitter"
	"coltsfootplank/internal/protocol"
)

// echoSession is a session that answers each ticket with a grant. A ticket with the request ID "close" closes the
// outbox.
type echoSession struct {
	outbox       *Outbox[protocol.SchedulerMessage]
	disconnected chan error
}

func (e *echoSession) Receive(message *protocol.HolderMessage) {
	for _, ticket := range message.GetTickets() {
		if ticket.GetRequestId() == "close" {
			e.outbox.Close()
		}
		_ = e.outbox.Put(&protocol.SchedulerMessage{Grants: []*protocol.Grant{{RequestId: ticket.GetRequestId()}}})
	}
}

func (e *echoSession) Disconnected(err error) { e.disconnected <- err }

// TestLoopbackStream guards against streams that fail over TCP, with or without TLS, although they work in memory, and
// against goroutines that leak on either end.
func TestLoopbackStream(t *testing.T) {
	certificateServer := httptest.NewUnstartedServer(nil)
	certificateServer.StartTLS()
	certificateServer.Close()
	for _, encrypted := range []bool{false, true} {
		var serverTLS, clientTLS *tls.Config
		if encrypted {
			serverTLS = &tls.Config{Certificates: certificateServer.TLS.Certificates}
			clientTLS = &tls.Config{InsecureSkipVerify: true}
		}
		t.Run(map[bool]string{false: "plain", true: "tls"}[encrypted], func(t *testing.T) {
			defer goleak.VerifyNone(t)
			testLoopbackStream(t, serverTLS, clientTLS)
		})
	}
}

func testLoopbackStream(t *testing.T, serverTLS, clientTLS *tls.Config) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	disconnected := make(chan error, 1)
	_, handler := NewHandler(Handlers{
		Accept: func(_ *protocol.Hello, outbox *Outbox[protocol.SchedulerMessage]) Session {
			return &echoSession{outbox: outbox, disconnected: disconnected}
		},
		Snapshot: func(context.Context, *protocol.SnapshotRequest) (*protocol.SnapshotResponse, error) {
			return &protocol.SnapshotResponse{Revision: 9}, nil
		},
	})
	admission := admitter.New(admitter.Options{
		Name: "peers", Bounds: admitter.Derive(admitter.Resources{HeadBytes: 64 << 10, LineBytes: 32 << 10, Fields: 4096}).Peers,
		Encrypted: serverTLS != nil, HTTP2: true, Metrics: metrics.NewRegistry(), Logger: zap.NewNop(),
	})
	var group errgroup.Group
	group.Go(func() error { return Serve(ctx, listener, handler, serverTLS, admission) })
	pool, closePool := NewPool(clientTLS)
	defer closePool()

	snapshot, err := pool.Snapshot(ctx, listener.Addr().String(), &protocol.SnapshotRequest{})
	assert.NilError(t, err)
	assert.Equal(t, snapshot.GetRevision(), uint64(9))
	_, err = pool.Claim(ctx, listener.Addr().String(), &protocol.ClaimRequest{})
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnimplemented)

	closing := NewHolderOutbox()
	assert.NilError(t, closing.Put(&protocol.HolderMessage{
		Hello: &protocol.Hello{Router: "h"}, Tickets: []*protocol.Ticket{{RequestId: "close"}},
	}))
	start := time.Now()
	assert.Assert(t, pool.Schedule(ctx, listener.Addr().String(), closing, func(*protocol.SchedulerMessage) {}) != nil)
	assert.Assert(t, <-disconnected != nil)
	assert.Assert(t, time.Since(start) < HeartbeatTimeout,
		"the stream ended only %s after the server closed it", time.Since(start))

	outbox := NewHolderOutbox()
	assert.NilError(t, outbox.Put(&protocol.HolderMessage{
		Hello: &protocol.Hello{Router: "h"}, Tickets: []*protocol.Ticket{{RequestId: "r"}},
	}))
	granted := make(chan string, 1)
	group.Go(func() error {
		return pool.Schedule(context.Background(), listener.Addr().String(), outbox, func(message *protocol.SchedulerMessage) {
			for _, grant := range message.GetGrants() {
				granted <- grant.GetRequestId()
			}
		})
	})
	assert.Equal(t, <-granted, "r")
	time.Sleep(2 * HeartbeatTimeout)
	assert.Equal(t, len(disconnected), 0, "heartbeats keep an idle stream open")
	cancel()
	assert.Assert(t, <-disconnected != nil)
	var call *CallError
	assert.Assert(t, errors.As(group.Wait(), &call))
}
