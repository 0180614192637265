package messenger

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Timing of Schedule streams. A frozen peer must be noticed within 500 ms; two heartbeats may be lost or late
// before that.
const (
	HeartbeatInterval = 200 * time.Millisecond
	HeartbeatTimeout  = 500 * time.Millisecond
)

// RawStream is one end of an open stream. Send and Receive may run at the same time. Interrupt makes both return.
type RawStream[Out, In any] interface {
	Send(message *Out) error
	Receive() (*In, error)
	Interrupt()
}

// Pump drives one end of a stream until it breaks or ctx ends: it sends what the outbox collects and a
// heartbeat when nothing else was sent for HeartbeatInterval, and passes each received message to receive, in
// order. receive must not block. The returned error says why the stream ended and is never nil.
func Pump[Out, In any](ctx context.Context, raw RawStream[Out, In], outbox *Outbox[Out], heartbeat *Out, receive func(*In)) error {
	var received atomic.Int64
	start := time.Now()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-groupCtx.Done()
		outbox.Close()
		raw.Interrupt()
		return groupCtx.Err()
	})
	group.Go(func() error { return watchSilence(groupCtx, start, &received) })
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
	group.Go(func() error { return write(groupCtx, raw.Send, outbox, heartbeat) })
	return group.Wait()
}

// watchSilence returns a *SilentError when received (the time of the last message since start) is too old.
func watchSilence(ctx context.Context, start time.Time, received *atomic.Int64) error {
	timer := time.NewTimer(HeartbeatTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		silent := time.Since(start) - time.Duration(received.Load())
		if silent >= HeartbeatTimeout {
			return &HeartbeatTimeoutError{Elapsed: silent}
		}
		timer.Reset(HeartbeatTimeout - silent)
	}
}

func write[Out any](ctx context.Context, send func(*Out) error, outbox *Outbox[Out], heartbeat *Out) error {
	// The first message is the one with the hello, if there is one.
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
