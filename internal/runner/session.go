package runner

import (
	"time"

	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/ranker"
)

// session is one stream of a holder or the in-memory connection of this router's own ticketer. Sessions of one holder
// are ordered by sequence, and a later session replaces the earlier ones.
type session struct {
	runner      *Runner
	holder      string
	incarnation uint64
	outbox      *messenger.Outbox[protocol.SchedulerMessage]
	sequence    uint64
	// held is the set of request ids that had a grant of this router when the stream was opened.
	held map[string]bool
}

// Receive passes the parts of a message to the cells, in the order cancels, adoptions, releases and tickets.
func (s *session) Receive(message *protocol.HolderMessage) {
	if cancels := message.GetCancels(); len(cancels) > 0 {
		for _, c := range s.runner.allCells() {
			c.post(func(now time.Time) { c.cancel(now, s, cancels) })
		}
	}
	for _, adoption := range message.GetAdoptions() {
		ticket := adoption.GetTicket()
		if c := s.runner.cell(ticket.GetPool(), int(ticket.GetCell())); c != nil {
			c.post(func(now time.Time) { c.adopt(now, s, adoption) })
		}
	}
	for role, releases := range byRole(message.GetReleases()) {
		if c := s.runner.findCell(role); c != nil {
			c.post(func(now time.Time) { c.release(now, s, releases) })
		}
	}
	for role, tickets := range byRole(message.GetTickets()) {
		if !s.submit(role, tickets) {
			s.send(&protocol.SchedulerMessage{NotScheduler: []string{role}})
		}
	}
}

// submit posts tickets to the cell of the role. It returns false if this router doesn't schedule the role.
func (s *session) submit(role string, tickets []*protocol.Ticket) bool {
	if !s.runner.accepts(s.holder, role) {
		return false
	}
	for {
		c := s.runner.cell(tickets[0].GetPool(), int(tickets[0].GetCell()))
		if c == nil {
			return false
		}
		if c.post(func(now time.Time) { c.submit(now, s, tickets) }) {
			return true
		}
	}
}

// Disconnected cancels the holder's ungranted tickets, which it sends to another scheduler. Its grants are kept for
// holderRetention.
func (s *session) Disconnected(error) {
	for _, c := range s.runner.allCells() {
		c.post(func(now time.Time) { c.sessionBroken(now, s) })
	}
}

// send puts a message into the holder's outbox. The error is ignored, because a failure ends the stream and
// Disconnected is called.
func (s *session) send(message *protocol.SchedulerMessage) { _ = s.outbox.Put(message) }

// cellMessage is a message that names its pool cell.
type cellMessage interface {
	GetPool() string
	GetCell() uint32
}

func byRole[T cellMessage](messages []T) map[string][]T {
	roles := make(map[string][]T)
	for _, m := range messages {
		role := ranker.Role(m.GetPool(), int(m.GetCell()))
		roles[role] = append(roles[role], m)
	}
	return roles
}
