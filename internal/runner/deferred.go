package runner

import (
	"time"

	"google.golang.org/protobuf/proto"

	"coltsfootplank/internal/protocol"
)

// allowanceWait bounds how long a new cell defers tickets while this router knows too few others to grant more than its
// own part of the allowances. Routers that start together know at least half of each other by then.
const allowanceWait = 400 * time.Millisecond

// deferredTicket is a ticket that waits for this router to know enough others.
type deferredTicket struct {
	holder     string
	ticket     *protocol.Ticket
	deferredAt time.Time
}

// defersTickets reports whether new tickets have to wait. Without the wait, a scheduler that doesn't know yet which routers
// send it their tickets would refuse requests that it could serve a moment later.
func (c *cell) defersTickets(now time.Time) bool {
	return c.limited && (now.Before(c.adoptionDeadline) ||
		now.Before(c.allowanceWaitUntil) && !c.runner.options.Members.View().KnowsMostRouters())
}

// submitDeferred passes the deferred tickets to the scheduler once the wait is over. It adds the wait to their age and
// takes it off their remaining times.
func (c *cell) submitDeferred(now time.Time) {
	if len(c.deferred) == 0 || c.defersTickets(now) {
		return
	}
	deferred := c.deferred
	c.deferred = nil
	for _, d := range deferred {
		h := c.holders[d.holder]
		if h == nil {
			continue
		}
		r, known := h.records[d.ticket.GetRequestId()]
		if !known || r.granted || r.attempt != d.ticket.GetAttempt() {
			continue
		}
		ticket := proto.CloneOf(d.ticket)
		waited := now.Sub(d.deferredAt).Milliseconds()
		ticket.AgeMs += waited
		if ticket.GetStartMs() > 0 {
			ticket.StartMs = max(1, ticket.GetStartMs()-waited)
		}
		if ticket.GetDeadlineMs() > 0 {
			ticket.DeadlineMs = max(1, ticket.GetDeadlineMs()-waited)
		}
		c.scheduler.Submit(now, d.holder, ticket)
	}
}
