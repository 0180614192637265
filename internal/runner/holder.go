package runner

import (
	"time"

	"google.golang.org/protobuf/proto"

	"coltsfootplank/internal/protocol"
)

// holder is a cell's state for one router that sends it tickets.
type holder struct {
	session *session
	// brokenAt is when the session's stream broke, or zero while the stream is open.
	brokenAt time.Time
	// ticketAt is when the last tickets came.
	ticketAt time.Time
	records  map[string]*record
}

// record is a holder's ticket that is queued or deferred in this cell or has a grant from it.
type record struct {
	attempt uint32
	granted bool
	engine  string
}

func holderList(holders map[string]*holder) []*holder {
	list := make([]*holder, 0, len(holders))
	for _, h := range holders {
		list = append(list, h)
	}
	return list
}

// holder returns the state of the session's holder, or nil if a later session has replaced this one.
func (c *cell) holder(now time.Time, s *session) *holder {
	h, ok := c.holders[s.holder]
	switch {
	case !ok:
		h = &holder{session: s, records: make(map[string]*record)}
		c.holders[s.holder] = h
	case h.session.sequence > s.sequence:
		return nil
	case h.session != s:
		c.replaceSession(now, h, s)
	}
	return h
}

// replaceSession moves a holder to its new session. The holder sends its ungranted tickets again, and the grants that
// its hello doesn't list as held were lost with the old stream.
func (c *cell) replaceSession(now time.Time, h *holder, s *session) {
	if h.session.incarnation != s.incarnation {
		c.scheduler.DropHolder(now, s.holder)
		h.records = make(map[string]*record)
	}
	for id, r := range h.records {
		if !r.granted || !s.held[id] {
			c.dropRecord(now, s.holder, h, id)
		}
	}
	h.session, h.brokenAt = s, time.Time{}
}

// dropRecord cancels an ungranted ticket, or frees a grant that its holder doesn't use.
func (c *cell) dropRecord(now time.Time, name string, h *holder, id string) {
	r := h.records[id]
	delete(h.records, id)
	if !r.granted {
		c.scheduler.Cancel(now, name, id)
		return
	}
	release := &protocol.Release{
		RequestId: id, Engine: r.engine, Kind: protocol.ReleaseKind_RELEASE_KIND_UNUSED, Attempt: r.attempt,
		Pool: c.pool, Cell: uint32(c.index),
	}
	c.scheduler.Release(now, name, release)
	c.withdraw(now, name, release)
}

// resume applies the hello of a new session to the holder's grants.
func (c *cell) resume(now time.Time, s *session) {
	if _, known := c.holders[s.holder]; known {
		c.holder(now, s)
	}
}

// sessionBroken cancels the ungranted tickets of a session, because the holder sends them to another scheduler.
func (c *cell) sessionBroken(now time.Time, s *session) {
	h, ok := c.holders[s.holder]
	if !ok || h.session != s {
		return
	}
	h.brokenAt = now
	c.holderLost(now, s.holder)
	for id, r := range h.records {
		if !r.granted {
			c.dropRecord(now, s.holder, h, id)
		}
	}
}

// submit adds tickets. A later attempt of a known request replaces the earlier one, for which the holder no longer
// waits.
func (c *cell) submit(now time.Time, s *session, tickets []*protocol.Ticket) {
	h := c.holder(now, s)
	if h == nil {
		return
	}
	c.recordTickets(now, h)
	for _, ticket := range tickets {
		id := ticket.GetRequestId()
		if r, known := h.records[id]; known {
			if ticket.GetAttempt() <= r.attempt {
				continue
			}
			c.dropRecord(now, s.holder, h, id)
		}
		h.records[id] = &record{attempt: ticket.GetAttempt()}
		if c.defersTickets(now) {
			c.deferred = append(c.deferred, deferredTicket{s.holder, ticket, now})
			continue
		}
		c.scheduler.Submit(now, s.holder, ticket)
	}
}

// adopt records a request that runs under a grant of another scheduler, so that it counts against its engine.
func (c *cell) adopt(now time.Time, s *session, adoption *protocol.Adoption) {
	adopter, ok := c.scheduler.(adopter)
	h := c.holder(now, s)
	if !ok || h == nil {
		return
	}
	ticket := adoption.GetTicket()
	id := ticket.GetRequestId()
	if r, known := h.records[id]; known {
		if r.granted {
			r.attempt = ticket.GetAttempt()
			return
		}
		c.dropRecord(now, s.holder, h, id)
	}
	if adopter.Adopt(now, s.holder, ticket, adoption.GetEngine(), time.Duration(adoption.GetRunningMs())*time.Millisecond) {
		h.records[id] = &record{attempt: ticket.GetAttempt(), granted: true, engine: adoption.GetEngine()}
	}
}

// cancel cancels ungranted tickets. If the grant was sent before the cancel arrived, the holder returns it with a
// release.
func (c *cell) cancel(now time.Time, s *session, ids []string) {
	h, ok := c.holders[s.holder]
	if !ok || h.session != s {
		return
	}
	for _, id := range ids {
		if r, known := h.records[id]; known && !r.granted {
			c.dropRecord(now, s.holder, h, id)
		}
	}
}

// release frees grants. It ignores releases of earlier attempts, which submit has freed when the later attempt arrived.
func (c *cell) release(now time.Time, s *session, releases []*protocol.Release) {
	h := c.holder(now, s)
	if h == nil {
		return
	}
	lost := false
	for _, release := range releases {
		r, known := h.records[release.GetRequestId()]
		if !known || !r.granted || r.attempt != release.GetAttempt() {
			continue
		}
		delete(h.records, release.GetRequestId())
		c.scheduler.Release(now, s.holder, release)
		c.withdraw(now, s.holder, release)
		if release.GetKind() == protocol.ReleaseKind_RELEASE_KIND_LOST {
			c.engines[release.GetEngine()].pollSoon()
			lost = true
		}
	}
	if lost {
		c.shareConvictions(now)
	}
}

// withdraw removes the ticket of an unused grant from the queue, where the scheduler has put it back. A holder that
// still waits sends the ticket again as the next attempt.
func (c *cell) withdraw(now time.Time, holder string, release *protocol.Release) {
	if release.GetKind().NotRun() {
		c.scheduler.Cancel(now, holder, release.GetRequestId())
	}
}

// expireHolders drops the holders whose stream broke and that are dead or didn't reconnect within holderRetention.
func (c *cell) expireHolders(now time.Time) {
	view := c.runner.options.Members.View()
	for name, h := range c.holders {
		if h.brokenAt.IsZero() {
			continue
		}
		member, known := view.Member(name)
		dead := !known || member.State == protocol.MemberState_MEMBER_STATE_DEAD
		if dead || now.Sub(h.brokenAt) >= holderRetention {
			c.scheduler.DropHolder(now, name)
			delete(c.holders, name)
		}
	}
}

// step runs the scheduler and sends its decisions, in one message for each holder.
func (c *cell) step(now time.Time) {
	messages := make(map[*session]*protocol.SchedulerMessage)
	for _, decision := range c.scheduler.Step(now) {
		h := c.holders[decision.Holder]
		id := decision.Grant.GetRequestId()
		if decision.Refusal != nil {
			id = decision.Refusal.GetRequestId()
		}
		if h == nil || h.records[id] == nil {
			c.freeUnknownGrant(now, decision)
			continue
		}
		message := messages[h.session]
		if message == nil {
			message = &protocol.SchedulerMessage{}
			messages[h.session] = message
		}
		r := h.records[id]
		if decision.Refusal != nil {
			refusal := proto.CloneOf(decision.Refusal)
			refusal.Attempt = r.attempt
			delete(h.records, id)
			message.Refusals = append(message.Refusals, refusal)
			continue
		}
		grant := proto.CloneOf(decision.Grant)
		grant.Attempt, grant.Pool, grant.Cell = r.attempt, c.pool, uint32(c.index)
		if e := c.engines[grant.GetEngine()]; e != nil {
			grant.Address, grant.Registered = e.address, e.registered
		}
		r.granted, r.engine = true, grant.GetEngine()
		message.Grants = append(message.Grants, grant)
	}
	for s, message := range messages {
		s.send(message)
	}
}

// freeUnknownGrant frees the grant of a decision on a ticket that the cell no longer has.
func (c *cell) freeUnknownGrant(now time.Time, decision Decision) {
	if decision.Grant == nil {
		return
	}
	release := &protocol.Release{
		RequestId: decision.Grant.GetRequestId(), Engine: decision.Grant.GetEngine(),
		Kind: protocol.ReleaseKind_RELEASE_KIND_UNUSED, Pool: c.pool, Cell: uint32(c.index),
	}
	c.scheduler.Release(now, decision.Holder, release)
	c.withdraw(now, decision.Holder, release)
}
