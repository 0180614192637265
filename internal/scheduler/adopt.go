package scheduler

import (
	"time"

	"coltsfootplank/internal/protocol"
)

// Adopt takes over a request that already runs on an engine under a grant of another scheduler, and counts it against
// the engine's slots and the limits. It returns false if the cell doesn't have the engine.
func (s *Scheduler) Adopt(now time.Time, holder string, ticket *protocol.Ticket, engine string, running time.Duration) bool {
	s.recordInput(now)
	e := s.engines.byName[engine]
	if e == nil {
		return false
	}
	if old := s.requests[ticket.GetRequestId()]; old != nil {
		s.removeRequest(old)
	}
	s.engines.endOrphan(e, ticket.GetRequestId())
	r := s.newRequest(now, holder, ticket)
	r.arrivedAt = now.Add(-time.Duration(ticket.GetAgeMs()) * time.Millisecond)
	s.addRequest(r)
	r.charged, r.workDone = r.cost(), r.cost()
	r.account.charge(r.charged)
	before := e.prefillUntil
	s.engines.start(e, r, now)
	s.startLimits(r, now)
	if left := secondsToDuration(r.prefillWork) - running; left <= 0 {
		e.prefillUntil = before
	} else {
		e.prefillUntil = e.prefillUntil.Add(-running)
	}
	r.grantedAt, r.adopted = now.Add(-running), true
	e.pace.Adopt(len(e.granted))
	s.engines.refreshOne(e)
	return true
}
