package runner

import (
	"maps"
	"time"

	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/ranker"
)

const (
	// settlingTime is how long after the start of a scheduler routers may still send their tickets to an earlier one. They
	// move within about a second.
	settlingTime = 3 * time.Second
	// ticketInterval is the time without tickets after which a router may send them elsewhere.
	ticketInterval = 2 * time.Second
	// standInTicketInterval is ticketInterval for a scheduler that isn't ranked first.
	standInTicketInterval = 300 * time.Millisecond
	// absenceTime is how long a router whose stream broke is taken to get its grants elsewhere unless it returns. It is
	// longer than the windows over which allowances are counted.
	absenceTime = 10 * time.Second
	// maxConcurrentChecks bounds the routers that are asked at the same time whether they answer.
	maxConcurrentChecks = 32
)

// presence is what a cell knows of the routers that may send their tickets to other schedulers.
type presence struct {
	startedAt time.Time
	// lostAt is when the streams of holders broke that haven't returned.
	lostAt map[string]time.Time
	// first is set while this router is ranked first, surveyed once the others have been asked since then whether they
	// answer, and surveying while they are being asked.
	first, surveyed, surveying bool
}

func newPresence(now time.Time) presence {
	return presence{startedAt: now, lostAt: make(map[string]time.Time)}
}

// grantableShare returns the part of the workspaces' allowances that the scheduler may grant. Each router stands for an
// equal part, which belongs to the scheduler that gets its tickets. Schedulers that can't know of each other, as when routers
// are cut off, then don't grant more than the allowances together.
func (c *cell) grantableShare(now time.Time) float64 {
	view := c.runner.options.Members.View()
	p := &c.presence
	maps.DeleteFunc(p.lostAt, func(_ string, lostAt time.Time) bool { return now.Sub(lostAt) >= absenceTime })
	if first := ranker.First(c.role, view.SchedulerHosts()) == c.runner.options.Self; first != p.first {
		p.first, p.surveyed = first, false
	}
	if p.first && !p.surveyed {
		c.survey(now)
	}
	return view.AllowanceShare(func(m detector.Member) bool { return c.serves(now, m) })
}

// serves reports whether a router gets its grants from this cell: if it sends its tickets here, or if it has none but would
// send them here, where all routers do.
func (c *cell) serves(now time.Time, m detector.Member) bool {
	if m.Name == c.runner.options.Self || c.holders[m.Name].sendsTickets(now, c.ticketInterval()) {
		return true
	}
	_, lost := c.presence.lostAt[m.Name]
	return c.presence.first && c.presence.surveyed && now.Sub(c.presence.startedAt) >= settlingTime && !m.Silent && !lost
}

// ticketInterval returns the time without tickets after which a router may send them elsewhere. Routers leave a scheduler that isn't
// ranked first as soon as the first one answers again, and that one grants their part from their first ticket on.
func (c *cell) ticketInterval() time.Duration {
	if c.presence.first {
		return ticketInterval
	}
	return standInTicketInterval
}

// sendsTickets reports whether tickets of a holder came within an interval. The stream of a holder that has switched to another
// scheduler stays open for some time.
func (h *holder) sendsTickets(now time.Time, interval time.Duration) bool {
	return h != nil && h.brokenAt.IsZero() && now.Sub(h.ticketAt) < interval
}

// recordTickets records that a router sends its tickets to this cell.
func (c *cell) recordTickets(now time.Time, h *holder) {
	sent := h.sendsTickets(now, c.ticketInterval())
	h.ticketAt = now
	if _, lost := c.presence.lostAt[h.session.holder]; lost || !sent {
		delete(c.presence.lostAt, h.session.holder)
		c.updateShare(now)
	}
}

// holderLost records that the stream of a router broke. If the router doesn't answer either, others may not.
func (c *cell) holderLost(now time.Time, name string) {
	c.presence.lostAt[name] = now
	c.updateShare(now)
	if !c.limited || name == c.runner.options.Self {
		return
	}
	c.runner.spawn(func() {
		if c.runner.options.Members.Check(c.runner.ctx, name) != nil {
			c.post(c.survey)
		}
	})
}

// survey asks the routers that send this cell no tickets whether they answer. The member table records those that don't.
func (c *cell) survey(now time.Time) {
	if !c.limited || c.presence.surveying {
		return
	}
	c.presence.surveying = true
	var names []string
	for _, m := range c.runner.options.Members.View().Members {
		if m.Name != c.runner.options.Self && !c.holders[m.Name].sendsTickets(now, c.ticketInterval()) {
			names = append(names, m.Name)
		}
	}
	c.runner.spawn(func() {
		var group errgroup.Group
		group.SetLimit(maxConcurrentChecks)
		for _, name := range names {
			group.Go(func() error {
				_ = c.runner.options.Members.Check(c.runner.ctx, name)
				return nil
			})
		}
		_ = group.Wait()
		c.post(func(now time.Time) {
			c.presence.surveying, c.presence.surveyed = false, true
			c.updateShare(now)
		})
	})
}
