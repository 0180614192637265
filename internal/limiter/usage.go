package limiter

// windowSlots is the number of slots of a sliding window. One further slot, the oldest, lies only partly in the window
// but is counted in full.
const windowSlots = 16

// windowUsage sums charges over a sliding window.
type windowUsage struct {
	slots [windowSlots + 1]float64
	// newest is the number of the slot to which charges are added.
	newest int64
}

// advance makes a slot the newest and clears the slots that have left the window.
func (u *windowUsage) advance(slot int64) {
	for ; u.newest < slot; u.newest++ {
		if slot-u.newest > int64(len(u.slots)) {
			u.newest = slot - int64(len(u.slots))
		}
		*u.at(u.newest + 1) = 0
	}
}

// at returns a pointer to the sum of the slot with the given number.
func (u *windowUsage) at(slot int64) *float64 { return &u.slots[slot%int64(len(u.slots))] }

// slotsUntilFit returns the number of slots until a charge fits within a limit, 0 if it fits now. A charge above the
// limit fits into an empty window.
func (u *windowUsage) slotsUntilFit(slot int64, charge, limit float64) int64 {
	u.advance(slot)
	sum := min(charge, limit)
	for _, used := range u.slots {
		sum += used
	}
	count := int64(len(u.slots))
	for passed := int64(0); passed < count; passed++ {
		if sum <= limit {
			return passed
		}
		sum -= *u.at(slot + 1 + passed)
	}
	return count
}

func (u *windowUsage) add(charge float64) { *u.at(u.newest) += charge }

// refund subtracts a charge from the newest slots.
func (u *windowUsage) refund(charge float64) {
	for i := range int64(len(u.slots)) {
		if u.newest < i {
			return
		}
		slot := u.at(u.newest - i)
		refunded := min(*slot, charge)
		*slot -= refunded
		charge -= refunded
	}
}
