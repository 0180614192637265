package scheduler

// block is the reason why a ticket can't be granted now.
type block string

const (
	blockNone      block = ""
	blockSlots     block = "no_free_slot"
	blockUrgent    block = "free_slots_reserved_for_urgent_tiers"
	blockLong      block = "long_share_in_use"
	blockRoom      block = "no_token_room"
	blockReserved  block = "engine_reserved_for_another_ticket"
	blockNoEngine  block = "no_usable_engine"
	blockIsolation block = "waits_to_run_alone"
	blockTurn      block = "behind_other_tickets"
	blockStall     block = "prefill_would_hold_up_streams"

	blockConcurrency block = "concurrency_limit"
	blockTokens      block = "tokens_per_minute_limit"
)

// Indexes of engines by what they can take; see engine.opens.
const (
	openUrgentShort = iota
	openUrgentLong
	openLowerShort
	openLowerLong
	openCount
)

// openIndex returns which index lists the engines that have a slot for the ticket.
func (s *engineSet) openIndex(r *request) int {
	index := openUrgentShort
	if r.tier > s.settings.UrgentTier {
		index = openLowerShort
	}
	if r.class == classLong {
		index++
	}
	return index
}

// opens says which indexes the engine belongs to.
func (e *engine) opens() [openCount]bool {
	free := e.free()
	long := e.long < e.longSlots()
	lower := free > e.reserved()
	return [openCount]bool{free > 0, free > 0 && long, lower, lower && long}
}

// longSlots is the number of slots open to drafts.
func (e *engine) longSlots() int {
	return max(1, int(float64(e.slots)*e.settings.LongShare))
}

// admits says whether the engine can take the ticket now.
func (e *engine) admits(r *request) block {
	free := e.free()
	switch {
	case free <= 0:
		return blockSlots
	case e.reservedFor != nil && e.reservedFor != r && r.tier >= e.reservedFor.tier:
		return blockReserved
	case r.class == classAlone && len(e.granted)+e.foreign > 0:
		return blockIsolation
	case r.tier > e.settings.UrgentTier && free <= e.reserved():
		return blockUrgent
	case r.class == classLong && e.long >= e.longSlots():
		return blockLong
	case r.tokens() > e.roomLeft():
		return blockRoom
	case e.wouldStall(r):
		return blockStall
	}
	return blockNone
}

const (
	// stallShare is the part of the longest pause between events that prefills may take: the steps in which an event is
	// made take the rest.
	stallShare = 0.6
	// stallTolerance lets engines about as fast as the fastest take a prompt that no engine reads in that time, although
	// the estimates of their speeds differ.
	stallTolerance = 1.15
)

// wouldStall says whether the request's prefill, behind those that are under way, would hold up the streams on the engine
// for too long. A prompt that no engine reads in that time may take as long as the fastest engine needs.
func (e *engine) wouldStall(r *request) bool {
	if r.stall <= 0 || len(e.granted) == 0 {
		return false
	}
	limit := max(r.stall, r.fastestPrefill*stallTolerance)
	return e.prefillAhead(*e.clock)+e.prefillTime(r) > limit
}

// fitsNowhere says that no engine with a free slot has room for a ticket, without a look at each of them.
func (s *engineSet) fitsNowhere(r *request) bool {
	if s.reserved != nil && s.reserved.admits(r) == blockNone {
		return false
	}
	e, ok := s.roomiest.top()
	return ok && r.tokens() > e.roomLeft()
}

// blockOf says why no engine takes the ticket: the reason of the engine that comes closest.
func (s *engineSet) blockOf(r *request) block {
	if s.slots == 0 {
		return blockNoEngine
	}
	reason := blockSlots
	if r.class == classLong && s.openLen(openUrgentShort) > 0 {
		reason = blockLong
	}
	if r.tier > s.settings.UrgentTier && s.openLen(openUrgentShort) > 0 && s.openLen(openLowerShort) == 0 {
		reason = blockUrgent
	}
	index := s.openIndex(r)
	for _, class := range s.classList {
		for _, e := range class.open[index].store.items {
			switch found := e.admits(r); found {
			case blockNone, blockRoom, blockIsolation:
				return found
			case blockReserved, blockStall:
				reason = found
			}
		}
	}
	return reason
}

// reserve keeps an engine for a ticket that needs more of it than is free: a large one, or one that must run
// alone. Without it, smaller tickets would take every token that becomes free. A pool has one reservation at a
// time; a ticket of a higher tier takes it over.
func (s *engineSet) reserve(r *request) {
	if s.reserved != nil {
		if s.reserved.reservedFor.tier <= r.tier {
			return
		}
		s.unreserve(s.reserved.reservedFor)
	}
	var best *engine
	for _, e := range s.list {
		if e.usable() && e.alone == nil && e.slots > 0 && (best == nil || e.ahead < best.ahead) {
			best = e
		}
	}
	if best != nil {
		best.reservedFor, s.reserved = r, best
		s.reindex(best)
	}
}

// unreserve drops the reservation of a ticket, if it has one.
func (s *engineSet) unreserve(r *request) {
	if s.reserved != nil && s.reserved.reservedFor == r {
		e := s.reserved
		e.reservedFor, s.reserved = nil, nil
		s.reindex(e)
	}
}
