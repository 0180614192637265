package messenger

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Timing of Schedule streams. A frozen peer must be detected within 500 ms, and the stream must survive two lost or
// late heartbeats.
const (
	HeartbeatInterval = 200 * time.Millisecond
	HeartbeatTimeout  = 500 * time.Millisecond
)

// RawStream is one end of an open stream. Send and Receive may be called concurrently. Interrupt unblocks both.
type RawStream[Out, In any] interface {
	Send(message *Out) error
	Receive() (*In, error)
	Interrupt()
}

// Pump drives one end of a stream until it breaks or ctx ends. It sends the messages of the outbox, sends a heartbeat
// when nothing else was sent for HeartbeatInterval, and passes received messages to receive in order. receive must not
// block. The returned error is the reason why the stream ended; it is never nil.
func Pump[Out, In any](ctx context.Context, raw RawStream[Out, In], outbox *Outbox[Out], heartbeat *Out,
	receive func(*In),
) error {
	var received atomic.Int64
	start := time.Now()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-groupCtx.Done()
		outbox.Close()
		raw.Interrupt()
		return groupCtx.Err()
	})
	group.Go(func() error { return watchHeartbeats(groupCtx, start, &received) })
	group.Go(func() error {
		for {
			message, err := raw.Receive()
			if err != nil {
				return Error.Wrap(err)
			}
			received.Store(int64(time.Since(start)))
			receive(message)
		}
	})
	group.Go(func() error { return writeLoop(groupCtx, raw.Send, outbox, heartbeat) })
	return group.Wait()
}

// watchHeartbeats returns a *HeartbeatTimeoutError when no message was received for HeartbeatTimeout. received is the
// time of the last message, in nanoseconds since start.
func watchHeartbeats(ctx context.Context, start time.Time, received *atomic.Int64) error {
	timer := time.NewTimer(HeartbeatTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		elapsed := time.Since(start) - time.Duration(received.Load())
		if elapsed >= HeartbeatTimeout {
			return &HeartbeatTimeoutError{Elapsed: elapsed}
		}
		timer.Reset(HeartbeatTimeout - elapsed)
	}
}

// writeLoop sends the messages of the outbox and heartbeats until the stream breaks, the outbox ends or ctx ends.
func writeLoop[Out any](ctx context.Context, send func(*Out) error, outbox *Outbox[Out], heartbeat *Out) error {
	// On the holder's end, the first message carries the hello.
	message, err := outbox.Take()
	if err != nil {
		return err
	}
	if message == nil {
		message = heartbeat
	}
	timer := time.NewTimer(HeartbeatInterval)
	defer timer.Stop()
	for {
		if message != nil {
			if err := send(message); err != nil {
				return Error.Wrap(err)
			}
			timer.Reset(HeartbeatInterval)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-outbox.Ready():
			if message, err = outbox.Take(); err != nil {
				return err
			}
		case <-timer.C:
			message = heartbeat
		}
	}
}
