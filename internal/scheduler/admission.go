package scheduler

// blockReason is the reason why a ticket can't be granted now.
type blockReason string

const (
	blockNone      blockReason = ""
	blockSlots     blockReason = "no_free_slot"
	blockUrgent    blockReason = "free_slots_reserved_for_urgent_tiers"
	blockLong      blockReason = "long_share_in_use"
	blockRoom      blockReason = "no_token_room"
	blockTakeover  blockReason = "grants_of_other_schedulers_unknown"
	blockReserved  blockReason = "engine_reserved_for_another_ticket"
	blockNoEngine  blockReason = "no_usable_engine"
	blockIsolation blockReason = "waits_to_run_alone"
	blockTurn      blockReason = "behind_other_tickets"
	blockPace      blockReason = "prompt_window_of_a_new_engine_in_use"
	blockStall     blockReason = "prefill_would_hold_up_streams"
	blockPaused    blockReason = "engines_have_turned_the_router_away"

	blockAvoided blockReason = "engine_failed_this_request"

	blockConcurrency blockReason = "concurrency_limit"
	blockTokens      blockReason = "tokens_per_minute_limit"
)

// Indexes of the engines with a free slot, by the kind of ticket that the slot is open to; see engine.openIndexes.
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

// openIndexes returns which indexes list the engine.
func (e *engine) openIndexes() [openCount]bool {
	free := e.freeSlots()
	long := e.longInFlight < e.longSlots()
	lower := free > e.urgentReserveSlots()
	return [openCount]bool{free > 0, free > 0 && long, lower, lower && long}
}

// longSlots returns the number of slots that are open to long tickets; at least one always is.
func (e *engine) longSlots() int {
	return max(1, int(float64(e.slots)*e.settings.LongShare))
}

// admits returns why the engine can't take the ticket now, or blockNone.
func (e *engine) admits(r *request) blockReason {
	free := e.freeSlots()
	switch {
	case free <= 0:
		return blockSlots
	case e.pausedFor(r.holder, *e.clock):
		return blockPaused
	case e.avoids(r):
		return blockAvoided
	case e.reservedFor != nil && e.reservedFor != r && r.tier >= e.reservedFor.tier:
		return blockReserved
	case r.class == classAlone && len(e.granted)+e.foreignInFlight > 0:
		return blockIsolation
	case r.tier > e.settings.UrgentTier && free <= e.urgentReserveSlots():
		return blockUrgent
	case r.class == classLong && e.longInFlight >= e.longSlots():
		return blockLong
	case r.tokens() > e.roomLeft():
		return blockRoom
	case e.unknownGrants(r):
		return blockTakeover
	case len(e.granted) > 0 && e.promptInFlight+r.prompt-e.cached(r) > e.promptLimit():
		return blockPace
	case e.wouldStall(r):
		return blockStall
	}
	return blockNone
}

const (
	// stallShare is the part of the longest allowed pause between two events of a stream that prefills may take. The
	// decode steps that produce an event take the rest.
	stallShare = 0.6
	// stallTolerance is the factor by which an engine may be slower than the fastest one on a prompt that no engine
	// prefills within the allowed pause. It covers the error of the speed estimates.
	stallTolerance = 1.15
)

// wouldStall reports whether the request's prefill, queued behind the prefills in progress, would stall the streams on
// the engine for longer than allowed. A prompt that no engine prefills in that time may take as long as on the fastest
// engine.
func (e *engine) wouldStall(r *request) bool {
	if r.maxStall <= 0 || len(e.granted) == 0 {
		return false
	}
	limit := max(r.maxStall, r.fastestPrefill*stallTolerance)
	return e.firstTokenSeconds(r, *e.clock) > limit
}

// fitsNowhere reports whether no engine with a free slot has room for the ticket's tokens. It doesn't look at each
// engine.
func (s *engineSet) fitsNowhere(r *request) bool {
	if s.reserved != nil && s.reserved.admits(r) == blockNone {
		return false
	}
	e, ok := s.byRoomLeft.top()
	return ok && r.tokens() > e.roomLeft()
}

// blockOf returns why no engine takes the ticket: the reason of the engine that comes closest to taking it.
func (s *engineSet) blockOf(r *request) blockReason {
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
	for _, generation := range s.generationList {
		for _, e := range generation.open[index].data.items {
			switch found := e.admits(r); found {
			case blockNone, blockRoom, blockIsolation:
				return found
			case blockReserved, blockStall, blockTakeover, blockPace:
				reason = found
			case blockPaused, blockAvoided:
				if reason != blockStall && reason != blockTakeover && reason != blockPace {
					reason = found
				}
			}
		}
	}
	return reason
}

// reserve keeps an engine for a ticket that needs more of it than is free: a ticket with many tokens, or one that must
// run alone. Without a reservation, smaller tickets would take every token that becomes free. A pool has one
// reservation at a time; a ticket of a higher tier takes it over.
func (s *engineSet) reserve(r *request) {
	if s.reserved != nil {
		if s.reserved.reservedFor.tier <= r.tier {
			return
		}
		s.unreserve(s.reserved.reservedFor)
	}
	var best *engine
	for _, e := range s.list {
		if e.usable() && !e.pausedFor(r.holder, s.now) && !e.avoids(r) && e.runningAlone == nil && e.slots > 0 &&
			r.tokens() <= e.capacity() && (best == nil || e.ahead < best.ahead) {
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
