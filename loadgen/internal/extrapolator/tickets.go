package extrapolator

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/ranker"
)

const (
	cellEngines = ranker.DefaultCellEngines
	// ticketDuration is how long traffic is measured at each rate.
	ticketDuration = 3 * time.Second
	// holdTime is how long a holder keeps a grant before it releases it, so that the release isn't sent in one message
	// with a ticket.
	holdTime = 50 * time.Millisecond
)

// ticketResult is the result at one number of holders, rate and batch size. Rates are per second.
type ticketResult struct {
	holders  int
	requests float64
	bytes    float64
	messages float64
	cpu      float64
}

// ticketHolder is a router that sends tickets and releases each grant after holdTime.
type ticketHolder struct {
	outbox   *messenger.Outbox[protocol.HolderMessage]
	messages *atomic.Int64
	granted  *atomic.Int64
	batch    int
}

func (h *ticketHolder) receive(message *protocol.SchedulerMessage) {
	h.messages.Add(1)
	var releases []*protocol.Release
	for _, grant := range message.GetGrants() {
		releases = append(releases, newRelease(grant))
	}
	h.granted.Add(int64(len(releases)))
	if len(releases) > 0 {
		time.AfterFunc(holdTime, func() { _ = h.outbox.Put(&protocol.HolderMessage{Releases: releases}) })
	}
}

// send sends tickets in batches until ctx ends. The first batch is delayed by a part of the interval that differs by
// holder, so that the holders don't send simultaneously.
func (h *ticketHolder) send(ctx context.Context, index, holders int, rate float64) error {
	if rate <= 0 {
		return nil
	}
	interval := time.Duration(float64(h.batch) / rate * float64(time.Second))
	timer := time.NewTimer(interval * time.Duration(index) / time.Duration(holders))
	defer timer.Stop()
	for next := 0; ; {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		timer.Reset(interval)
		message := &protocol.HolderMessage{}
		for range h.batch {
			ticket := newTicket(index*1_000_000 + next)
			next++
			message.Tickets = append(message.Tickets, ticket)
		}
		if err := h.outbox.Put(message); err != nil {
			return err
		}
	}
}

// measureTickets sends total tickets per second from a number of holders to one cell over the loopback interface.
func measureTickets(ctx context.Context, holders int, total float64, batch int) (ticketResult, error) {
	result := ticketResult{holders: holders}
	host, err := startCellHost(ctx)
	if err != nil {
		return result, err
	}
	defer host.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	var granted atomic.Int64
	for i := range holders {
		pool, cleanup := messenger.NewPool(nil)
		holder := &ticketHolder{outbox: messenger.NewHolderOutbox(), messages: &host.messages, granted: &granted, batch: batch}
		if err := holder.outbox.Put(&protocol.HolderMessage{Hello: &protocol.Hello{Router: fmt.Sprintf("holder-%d", i), Incarnation: 1}}); err != nil {
			return result, err
		}
		group.Go(func() error {
			defer cleanup()
			err := pool.Schedule(ctx, host.listener.Addr().String(), holder.outbox, holder.receive)
			if ctx.Err() != nil {
				return nil
			}
			return err
		})
		group.Go(func() error { return holder.send(ctx, i, holders, total/float64(holders)) })
	}
	time.Sleep(time.Second)
	bytes, messages, before := host.listener.bytes.Load(), host.messages.Load(), granted.Load()
	c, _ := measureCost(func() error { time.Sleep(ticketDuration); return nil })
	seconds := c.wall.Seconds()
	result.requests = float64(granted.Load()-before) / seconds
	result.bytes = float64(host.listener.bytes.Load()-bytes) / seconds
	result.messages = float64(host.messages.Load()-messages) / seconds
	result.cpu = c.cpu.Seconds() / seconds
	cancel()
	if err := group.Wait(); err != nil {
		return result, err
	}
	if total > 0 && result.requests < total/2 {
		return result, &UnexpectedError{Component: "scheduler", Detail: fmt.Sprintf("granted %.0f of %.0f tickets per second", result.requests, total)}
	}
	return result, nil
}
