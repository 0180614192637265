package scheduler

import "time"

// urgentMemory is how long after the last urgent ticket slots stay reserved. A pool without urgent work would
// otherwise leave the reserved slots empty for ever.
const urgentMemory = 10 * time.Minute

// reserveShare is the share of an engine's slots that lower tiers leave free now.
func (s *engineSet) reserveShare() float64 {
	if !s.urgent {
		return 0
	}
	return s.settings.UrgentReserve
}

// noteUrgent begins to reserve slots if the ticket may use them.
func (s *engineSet) noteUrgent(r *request) {
	if r.tier > s.settings.UrgentTier {
		return
	}
	s.urgentSeen = s.now
	if !s.urgent {
		s.urgent = true
		s.refresh()
	}
}

// urgentDue ends the reservation after a while without urgent tickets.
func (s *engineSet) urgentDue() {
	if s.urgent && s.now.Sub(s.urgentSeen) > urgentMemory {
		s.urgent = false
		s.refresh()
	}
}
