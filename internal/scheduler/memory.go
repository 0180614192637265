package scheduler

import (
	"fmt"
	"math"
	"time"
)

// memory returns the engine's KV tokens, or 0 if they aren't known. An engine crashes if its requests exceed them.
func (e *engine) memory() int {
	if e.info.KVTokens > 0 {
		return e.info.KVTokens
	}
	return e.reportedRoom
}

// slotPart returns the part of an engine's memory that belongs to one of its slots.
func (e *engine) slotPart() float64 { return 1 / float64(max(1, e.info.Slots)) }

// memoryShare returns the part of the engine's memory that this scheduler may fill. A scheduler that may use only a part of
// the engines, because others may use them without its knowledge, keeps to that part, but may fill one slot's, as it may use
// one slot: on a hundred VMs, a VM that schedules alone could otherwise send no request of usual size. All of them together
// use no more slots than the pool has, so that an engine would have to be chosen by many of them at once to exceed its memory.
func (e *engine) memoryShare() float64 { return min(1, max(e.share, e.slotPart())) }

// capacity returns the tokens of the largest request that this scheduler may send to the engine.
func (e *engine) capacity() float64 {
	switch tokens := float64(e.memory()); {
	case tokens <= 0:
		return math.Inf(1)
	case e.share >= 1:
		return tokens
	default:
		return tokens * e.settings.TokenRoom * e.memoryShare()
	}
}

// room returns the number of KV tokens that requests in flight may fill. Requests of other schedulers are taken to fill the
// part of their slots.
func (e *engine) room() float64 {
	if e.memory() <= 0 {
		return math.Inf(1)
	}
	room := float64(e.memory()) * e.settings.TokenRoom * e.memoryShare()
	if e.foreignInFlight > 0 {
		room *= max(0, 1-float64(e.foreignInFlight)*e.slotPart())
	}
	return room
}

// roomLeft returns the number of tokens that a new request may have. An idle engine takes any request that fits into its
// memory, also one that needs more than TokenRoom.
func (e *engine) roomLeft() float64 {
	if len(e.granted) == 0 && e.foreignInFlight == 0 && len(e.orphans) == 0 {
		return e.capacity()
	}
	left := e.room() - e.tokensInFlight
	for _, o := range e.orphans {
		left -= o.tokens
	}
	return left
}

// unknownGrants reports whether the request has to wait until the holders have reported the requests that run under grants
// of other schedulers. More than a slot's part of the memory could exceed it together with them.
func (e *engine) unknownGrants(r *request) bool {
	return e.clock.Before(e.adoptUntil) && e.memory() > 0 && r.tokens() > e.room()*e.slotPart()
}

// SetTakeover sets until when grants of other schedulers may not be known yet. Until then no large request is granted.
func (s *Scheduler) SetTakeover(until time.Time) {
	s.engines.adoptUntil = until
	s.engines.refresh()
	s.dirty = true
}

// refuseIfTooLarge refuses a request that doesn't fit into the memory of any engine, or into the part that this scheduler
// may use, and reports whether it did. It would wait in vain, or crash the engine.
func (s *Scheduler) refuseIfTooLarge(r *request) bool {
	tokens := r.prompt + min(r.output, r.declaredOutput)
	var largest, part float64
	for _, e := range s.engines.list {
		if e.memory() <= 0 {
			return false
		}
		if !e.removed {
			largest, part = max(largest, float64(e.memory())), max(part, e.capacity())
		}
	}
	switch {
	case tokens <= part || largest == 0:
		return false
	case tokens > largest:
		s.refuse(r, CodeNoUpstream, fmt.Sprintf("the request needs %.0f tokens, the largest engine holds %.0f", tokens, largest), 0)
	default:
		s.refuseOverloaded(r, CodeOverloaded, fmt.Sprintf(
			"the request needs %.0f tokens, of which this part of the routers may use %.0f on each engine", tokens, part))
	}
	return true
}

// orphanedRun is a granted request that may still run although its grant has ended: its holder is gone, but may have lost only
// its path to the scheduler, or the holder has lost its connection to the engine, which learns of it later if the path is cut.
type orphanedRun struct {
	tokens float64
	until  time.Time
}

// maxOrphanedTime bounds the time for which the tokens of an orphaned run are kept if it has no deadline.
const maxOrphanedTime = 10 * time.Second

// orphan keeps the tokens of a granted request until its run must have ended.
func (s *engineSet) orphan(r *request, now time.Time) {
	e := r.engine
	if e.memory() <= 0 {
		return
	}
	until := r.deadline
	if latest := now.Add(maxOrphanedTime); until.IsZero() || until.After(latest) {
		until = latest
	}
	if e.orphans == nil {
		e.orphans = make(map[string]orphanedRun)
	}
	e.orphans[r.ticket.GetRequestId()] = orphanedRun{r.tokens(), until}
	s.expireBy(until)
}

// expireOrphans ends the engine's orphaned runs that are over.
func (s *engineSet) expireOrphans(e *engine, now time.Time) {
	for id, o := range e.orphans {
		if now.Before(o.until) {
			s.expireBy(o.until)
			continue
		}
		s.endOrphan(e, id)
	}
}

// endOrphan frees the tokens of an orphaned run.
func (s *engineSet) endOrphan(e *engine, requestID string) {
	if _, ok := e.orphans[requestID]; ok {
		delete(e.orphans, requestID)
		s.reindex(e)
	}
}

// expireBy makes a step look for orphaned runs that are over by a time.
func (s *engineSet) expireBy(at time.Time) {
	if s.expireAt.IsZero() || at.Before(s.expireAt) {
		s.expireAt = at
	}
}

// expire ends the orphaned runs that are over.
func (s *engineSet) expire(now time.Time) {
	if s.expireAt.IsZero() || now.Before(s.expireAt) {
		return
	}
	s.expireAt = time.Time{}
	for _, e := range s.list {
		s.expireOrphans(e, now)
	}
}
