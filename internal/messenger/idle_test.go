package messenger

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/protocol"
)

// countingListener counts the bytes of its connections, both directions together.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// idleSession ignores all messages.
type idleSession struct{}

func (idleSession) Receive(*protocol.HolderMessage) {}
func (idleSession) Disconnected(error)              {}

// BenchmarkIdleStream reports the bytes per second of one stream without tickets, both directions together.
func BenchmarkIdleStream(b *testing.B) {
	const window = 6 * time.Second
	var bytes atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	_, handler := NewHandler(Handlers{Accept: func(*protocol.Hello, *Outbox[protocol.SchedulerMessage]) Session {
		return idleSession{}
	}})
	ctx, cancel := context.WithCancel(b.Context())
	var group errgroup.Group
	group.Go(func() error { return Serve(ctx, countingListener{listener, &bytes}, handler, nil, nil) })
	pool, closePool := NewPool(nil)
	outbox := NewHolderOutbox()
	assert.NilError(b, outbox.Put(&protocol.HolderMessage{Hello: &protocol.Hello{Router: "h"}}))
	group.Go(func() error {
		// The stream ends with the benchmark.
		_ = pool.Schedule(ctx, listener.Addr().String(), outbox, func(*protocol.SchedulerMessage) {})
		return nil
	})
	time.Sleep(time.Second)
	for b.Loop() {
		before := bytes.Load()
		time.Sleep(window)
		b.ReportMetric(float64(bytes.Load()-before)/window.Seconds(), "B/s")
	}
	cancel()
	closePool()
	assert.NilError(b, group.Wait())
}
