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

// line is the raw stream of one pump; the test is its other end.
type line struct {
	sent     chan *protocol.HolderMessage
	incoming chan *protocol.SchedulerMessage
	ctx      context.Context
	cancel   context.CancelFunc
}

func (l *line) Send(message *protocol.HolderMessage) error {
	select {
	case l.sent <- message:
		return nil
	case <-l.ctx.Done():
		return l.ctx.Err()
	}
}

func (l *line) Receive() (*protocol.SchedulerMessage, error) {
	select {
	case message, ok := <-l.incoming:
		if !ok {
			return nil, io.EOF
		}
		return message, nil
	case <-l.ctx.Done():
		return nil, l.ctx.Err()
	}
}

func (l *line) Interrupt() { l.cancel() }

// pump runs a pump on virtual time; the test sees the other end and the outbox, and wait returns the pump's error.
func pump(t *testing.T, test func(t *testing.T, l *line, outbox *Outbox[protocol.HolderMessage], wait func() error)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := &line{sent: make(chan *protocol.HolderMessage), incoming: make(chan *protocol.SchedulerMessage)}
		l.ctx, l.cancel = context.WithCancel(context.Background())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		outbox := NewHolderOutbox()
		assert.NilError(t, outbox.Put(&protocol.HolderMessage{Hello: &protocol.Hello{Router: "h"}}))
		var group errgroup.Group
		group.Go(func() error {
			return Pump(ctx, l, outbox, &protocol.HolderMessage{Heartbeat: true}, func(*protocol.SchedulerMessage) {})
		})
		test(t, l, outbox, group.Wait)
	})
}

// TestPumpHeartbeat guards against an idle stream that the other end takes for broken.
func TestPumpHeartbeat(t *testing.T) {
	pump(t, func(t *testing.T, l *line, _ *Outbox[protocol.HolderMessage], wait func() error) {
		assert.Equal(t, (<-l.sent).GetHello().GetRouter(), "h")
		for range 20 {
			start := time.Now()
			assert.Assert(t, (<-l.sent).GetHeartbeat())
			assert.Equal(t, time.Since(start), HeartbeatInterval)
			l.incoming <- &protocol.SchedulerMessage{Heartbeat: true}
		}
		close(l.incoming)
		assert.ErrorIs(t, wait(), io.EOF)
	})
}

// TestPumpSilence guards against a frozen peer going unnoticed, also while it takes no messages.
func TestPumpSilence(t *testing.T) {
	pump(t, func(t *testing.T, l *line, _ *Outbox[protocol.HolderMessage], wait func() error) {
		time.Sleep(400 * time.Millisecond)
		l.incoming <- &protocol.SchedulerMessage{Heartbeat: true}
		start := time.Now()
		var silent *HeartbeatTimeoutError
		assert.Assert(t, errors.As(wait(), &silent))
		assert.Equal(t, time.Since(start), 500*time.Millisecond)
	})
}

// TestPumpBatches guards against one message per ticket when the peer is slower than the tickets come.
func TestPumpBatches(t *testing.T) {
	pump(t, func(t *testing.T, l *line, outbox *Outbox[protocol.HolderMessage], wait func() error) {
		<-l.sent
		assert.NilError(t, outbox.Put(&protocol.HolderMessage{Tickets: []*protocol.Ticket{{RequestId: "first"}}}))
		synctest.Wait()
		for i := range 100 {
			assert.NilError(t, outbox.Put(&protocol.HolderMessage{Tickets: []*protocol.Ticket{{RequestId: fmt.Sprint(i)}}}))
		}
		assert.NilError(t, outbox.Put(&protocol.HolderMessage{Cancels: []string{"7"}}))
		tickets := 0
		for range 2 {
			message := <-l.sent
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

// TestOutboxOverflow guards against memory that grows without bound behind a slow peer.
func TestOutboxOverflow(t *testing.T) {
	pump(t, func(t *testing.T, l *line, outbox *Outbox[protocol.HolderMessage], wait func() error) {
		<-l.sent
		assert.NilError(t, outbox.Put(&protocol.HolderMessage{Cancels: []string{"r"}}))
		synctest.Wait()
		var err error
		for range OutboxLimit + 1 {
			err = outbox.Put(&protocol.HolderMessage{Cancels: []string{"r"}})
		}
		var overflow *OverflowError
		assert.Assert(t, errors.As(err, &overflow))
		<-l.sent
		assert.Assert(t, errors.As(wait(), &overflow))
	})
}

// TestNoHello guards against a session for a peer that doesn't say who it is.
func TestNoHello(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &reverse{incoming: make(chan *protocol.HolderMessage, 1)}
		l.ctx, l.cancel = context.WithCancel(context.Background())
		l.incoming <- &protocol.HolderMessage{Heartbeat: true}
		err := ServeStream(context.Background(), l, nil)
		var noHello *NoHelloError
		assert.Assert(t, errors.As(err, &noHello))
	})
}

// reverse is the raw stream of a server that nobody reads from.
type reverse struct {
	incoming chan *protocol.HolderMessage
	ctx      context.Context
	cancel   context.CancelFunc
}

func (r *reverse) Send(*protocol.SchedulerMessage) error { return nil }

func (r *reverse) Receive() (*protocol.HolderMessage, error) {
	select {
	case message := <-r.incoming:
		return message, nil
	case <-r.ctx.Done():
		return nil, r.ctx.Err()
	}
}

func (r *reverse) Interrupt() { r.cancel() }
