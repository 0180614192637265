package limiter

// windowSlots is the number of slots of a sliding window; one more, the oldest, is counted whole.
const windowSlots = 16

// usage sums charges over a sliding window.
type usage struct {
	slots [windowSlots + 1]float64
	// newest is the number of the slot that charges go to.
	newest int64
}

// advance makes a slot the newest and empties those that left the window.
func (u *usage) advance(slot int64) {
	for ; u.newest < slot; u.newest++ {
		if slot-u.newest > int64(len(u.slots)) {
			u.newest = slot - int64(len(u.slots))
		}
		*u.at(u.newest + 1) = 0
	}
}

func (u *usage) at(slot int64) *float64 { return &u.slots[slot%int64(len(u.slots))] }

// wait returns the number of slots until a charge fits below a limit, 0 if it fits now. A charge above the limit fits into an
// empty window.
func (u *usage) wait(slot int64, charge, limit float64) int64 {
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

func (u *usage) add(charge float64) { *u.at(u.newest) += charge }

// refund takes a charge out of the newest slots.
func (u *usage) refund(charge float64) {
	for i := range int64(len(u.slots)) {
		if u.newest < i {
			return
		}
		slot := u.at(u.newest - i)
		back := min(*slot, charge)
		*slot -= back
		charge -= back
	}
}
