package runner

import (
	"time"

	"google.golang.org/protobuf/proto"

	"coltsfootplank/internal/protocol"
)

// groundWait bounds the time for which a new cell keeps tickets until this router knows enough others to grant more than its
// own part of the allowances. Routers that start together know half of each other by then.
const groundWait = 400 * time.Millisecond

// earlyTicket is a ticket that came before that.
type earlyTicket struct {
	holder string
	ticket *protocol.Ticket
	at     time.Time
}

// early says whether tickets have to wait: the requests of workspaces with an allowance would be refused that are served a
// moment later.
func (c *cell) early(now time.Time) bool {
	return c.limited && now.Before(c.groundBy) && c.runner.options.Members.View().AllowanceShare() < 1
}

// admitEarly passes the tickets that waited to the scheduler, as old as they are now.
func (c *cell) admitEarly(now time.Time) {
	if len(c.waiting) == 0 || c.early(now) {
		return
	}
	waiting := c.waiting
	c.waiting = nil
	for _, w := range waiting {
		h := c.holders[w.holder]
		if h == nil {
			continue
		}
		r, known := h.records[w.ticket.GetRequestId()]
		if !known || r.granted || r.attempt != w.ticket.GetAttempt() {
			continue
		}
		ticket := proto.CloneOf(w.ticket)
		waited := now.Sub(w.at).Milliseconds()
		ticket.AgeMs += waited
		if ticket.GetStartMs() > 0 {
			ticket.StartMs = max(1, ticket.GetStartMs()-waited)
		}
		if ticket.GetDeadlineMs() > 0 {
			ticket.DeadlineMs = max(1, ticket.GetDeadlineMs()-waited)
		}
		c.scheduler.Submit(now, w.holder, ticket)
	}
}
