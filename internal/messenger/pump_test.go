package messenger

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/protocol"
)

// fakeClientStream is the raw stream of a holder's pump. The test acts as the peer.
type fakeClientStream struct {
	sent     chan *protocol.HolderMessage
	incoming chan *protocol.SchedulerMessage
	ctx      context.Context
	cancel   context.CancelFunc
}

func (s *fakeClientStream) Send(message *protocol.HolderMessage) error {
	select {
	case s.sent <- message:
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

func (s *fakeClientStream) Receive() (*protocol.SchedulerMessage, error) {
	select {
	case message, ok := <-s.incoming:
		if !ok {
			return nil, io.EOF
		}
		return message, nil
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

func (s *fakeClientStream) Interrupt() { s.cancel() }

// runWithPump runs a test with a pump on virtual time. wait waits for the pump to end and returns its error.
func runWithPump(t *testing.T,
	test func(t *testing.T, stream *fakeClientStream, outbox *Outbox[protocol.HolderMessage], wait func() error),
) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		stream := &fakeClientStream{sent: make(chan *protocol.HolderMessage), incoming: make(chan *protocol.SchedulerMessage)}
		stream.ctx, stream.cancel = context.WithCancel(context.Background())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		outbox := NewHolderOutbox()
		assert.NilError(t, outbox.Put(&protocol.HolderMessage{Hello: &protocol.Hello{Router: "h"}}))
		var group errgroup.Group
		group.Go(func() error {
			return Pump(ctx, stream, outbox, &protocol.HolderMessage{Heartbeat: true}, func(*protocol.SchedulerMessage) {})
		})
		test(t, stream, outbox, group.Wait)
	})
}

// TestPumpHeartbeat guards against an idle stream that the peer treats as broken because it gets no heartbeats.
func TestPumpHeartbeat(t *testing.T) {
	runWithPump(t, func(t *testing.T, stream *fakeClientStream, _ *Outbox[protocol.HolderMessage], wait func() error) {
		assert.Equal(t, (<-stream.sent).GetHello().GetRouter(), "h")
		for range 20 {
			start := time.Now()
			assert.Assert(t, (<-stream.sent).GetHeartbeat())
			assert.Equal(t, time.Since(start), HeartbeatInterval)
			stream.incoming <- &protocol.SchedulerMessage{Heartbeat: true}
		}
		close(stream.incoming)
		assert.ErrorIs(t, wait(), io.EOF)
	})
}

// TestPumpHeartbeatTimeout guards against a frozen peer that goes undetected, also when it no longer reads messages.
func TestPumpHeartbeatTimeout(t *testing.T) {
	runWithPump(t, func(t *testing.T, stream *fakeClientStream, _ *Outbox[protocol.HolderMessage], wait func() error) {
		time.Sleep(400 * time.Millisecond)
		stream.incoming <- &protocol.SchedulerMessage{Heartbeat: true}
		start := time.Now()
		var timeout *HeartbeatTimeoutError
		assert.Assert(t, errors.As(wait(), &timeout))
		assert.Equal(t, time.Since(start), 500*time.Millisecond)
	})
}

// TestPumpBatches guards against one message per ticket when tickets arrive faster than the peer reads.
func TestPumpBatches(t *testing.T) {
	runWithPump(t, func(t *testing.T, stream *fakeClientStream, outbox *Outbox[protocol.HolderMessage], wait func() error) {
		<-stream.sent
		assert.NilError(t, outbox.Put(&protocol.HolderMessage{Tickets: []*protocol.Ticket{{RequestId: "first"}}}))
		synctest.Wait()
		for i := range 100 {
			assert.NilError(t, outbox.Put(&protocol.HolderMessage{Tickets: []*protocol.Ticket{{RequestId: fmt.Sprint(i)}}}))
		}
		assert.NilError(t, outbox.Put(&protocol.HolderMessage{Cancels: []string{"7"}}))
		tickets := 0
		for range 2 {
			message := <-stream.sent
			tickets += len(message.GetTickets())
			for _, ticket := range message.GetTickets() {
				assert.Assert(t, ticket.GetRequestId() != "7", "cancelled before it was sent")
			}
		}
		assert.Equal(t, tickets, 100)
		outbox.Close()
		var closed *ClosedError
		assert.Assert(t, errors.As(wait(), &closed))
	})
}

// TestOutboxOverflow guards against an outbox that grows without bound when the peer is slow.
func TestOutboxOverflow(t *testing.T) {
	runWithPump(t, func(t *testing.T, stream *fakeClientStream, outbox *Outbox[protocol.HolderMessage], wait func() error) {
		<-stream.sent
		assert.NilError(t, outbox.Put(&protocol.HolderMessage{Cancels: []string{"r"}}))
		synctest.Wait()
		var err error
		for range OutboxLimit + 1 {
			err = outbox.Put(&protocol.HolderMessage{Cancels: []string{"r"}})
		}
		var overflow *OverflowError
		assert.Assert(t, errors.As(err, &overflow))
		<-stream.sent
		assert.Assert(t, errors.As(wait(), &overflow))
	})
}

// TestNoHello guards against a session for a peer that hasn't sent a hello.
func TestNoHello(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stream := &fakeServerStream{incoming: make(chan *protocol.HolderMessage, 1)}
		stream.ctx, stream.cancel = context.WithCancel(context.Background())
		stream.incoming <- &protocol.HolderMessage{Heartbeat: true}
		err := ServeStream(context.Background(), stream, nil)
		var noHello *NoHelloError
		assert.Assert(t, errors.As(err, &noHello))
	})
}

// fakeServerStream is the raw stream of a scheduler's end. It discards the messages sent on it.
type fakeServerStream struct {
	incoming chan *protocol.HolderMessage
	ctx      context.Context
	cancel   context.CancelFunc
}

func (s *fakeServerStream) Send(*protocol.SchedulerMessage) error { return nil }

func (s *fakeServerStream) Receive() (*protocol.HolderMessage, error) {
	select {
	case message := <-s.incoming:
		return message, nil
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

func (s *fakeServerStream) Interrupt() { s.cancel() }
