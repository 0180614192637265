package scheduler

import "time"

// urgentReserveTTL is how long slots stay reserved after the last urgent ticket. Without an end, a pool without urgent
// work would leave the reserved slots empty forever.
const urgentReserveTTL = 10 * time.Minute

// urgentReserveShare returns the share of an engine's slots that lower tiers currently leave free.
func (s *engineSet) urgentReserveShare() float64 {
	if !s.urgentReserveActive {
		return 0
	}
	return s.settings.UrgentReserve
}

// recordUrgent starts to reserve slots if the ticket may use them, or extends the time for which they stay reserved.
func (s *engineSet) recordUrgent(r *request) {
	if r.tier > s.settings.UrgentTier {
		return
	}
	s.lastUrgentAt = s.now
	if !s.urgentReserveActive {
		s.urgentReserveActive = true
		s.refresh()
	}
}

// expireUrgentReserve ends the reservation of slots when no urgent ticket has come for urgentReserveTTL.
func (s *engineSet) expireUrgentReserve() {
	if s.urgentReserveActive && s.now.Sub(s.lastUrgentAt) > urgentReserveTTL {
		s.urgentReserveActive = false
		s.refresh()
	}
}
