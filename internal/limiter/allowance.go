package limiter

import (
	"time"

	"coltsfootplank/internal/cataloguer"
)

const (
	// initialShare is the share of the burst that a new scheduler starts with. It is below 1 because the previous
	// scheduler may just have granted the whole burst.
	initialShare = 0.3
	// refillShare is the share of the burst that is refilled in each window in addition to the rate. The remainder
	// keeps the total within the platform's tolerance of 10% if one scheduler takes over from another during a window.
	refillShare = 0.75
	// loweredShare is the part of a limit below which a new limit counts as lowered. Smaller changes come from a cell whose
	// part of the engines, and so of the allowances, has changed.
	loweredShare = 0.8
)

// Allowances limits what the requests of each workspace use. In each window, a workspace may use its rate over the
// window and its burst. Allowances is not safe for concurrent use.
type Allowances struct {
	createdAt time.Time
	window    time.Duration
	balances  map[string]*balance
}

// balance is the remaining allowance of one workspace in units, as of updatedAt.
type balance struct {
	units     float64
	updatedAt time.Time
	limit     cataloguer.Allowance
	recent    windowUsage
}

// NewAllowances returns allowances of which initialShare of the burst is available immediately. If window is 0, the
// balances are refilled at the rate only.
func NewAllowances(now time.Time, window time.Duration) *Allowances {
	return &Allowances{createdAt: now, window: window, balances: make(map[string]*balance)}
}

// Take deducts a charge from a workspace's allowance. If the allowance doesn't suffice, it returns false and how long
// to wait. A charge above the burst needs a full balance. A Rate of 0 means no limit.
func (a *Allowances) Take(
	now time.Time, workspace string, limit cataloguer.Allowance, charge float64,
) (wait time.Duration, ok bool) {
	if limit.Rate <= 0 || charge <= 0 {
		return 0, true
	}
	b := a.balances[workspace]
	if b == nil {
		b = &balance{units: limit.Burst * initialShare, updatedAt: a.createdAt, limit: limit}
		a.balances[workspace] = b
	}
	if limit.Rate < loweredShare*b.limit.Rate || limit.Burst < loweredShare*b.limit.Burst {
		// What was used under the higher limit doesn't count against the lower one.
		b.recent = windowUsage{}
	}
	rate := a.rate(now, limit)
	b.units = min(limit.Burst, b.units+now.Sub(b.updatedAt).Seconds()*rate)
	b.updatedAt, b.limit = now, limit
	if shortfall := min(charge, limit.Burst) - b.units; shortfall > 0 {
		return time.Duration(shortfall / rate * float64(time.Second)), false
	}
	if a.window > 0 {
		if wait := b.recent.slotsUntilFit(a.slotNumber(now), charge, limit.Rate*a.window.Seconds()+limit.Burst); wait > 0 {
			return time.Duration(wait) * a.slotLength(), false
		}
		b.recent.add(charge)
	}
	b.units -= charge
	return 0, true
}

// rate returns the units that a balance gains per second. The burst isn't refilled in the first window, because the
// previous scheduler may have granted its own.
func (a *Allowances) rate(now time.Time, limit cataloguer.Allowance) float64 {
	if a.window <= 0 || now.Sub(a.createdAt) < a.window {
		return limit.Rate
	}
	return limit.Rate + refillShare*limit.Burst/a.window.Seconds()
}

// Refund returns the charge of a request that wasn't run.
func (a *Allowances) Refund(workspace string, charge float64) {
	if b := a.balances[workspace]; b != nil && charge > 0 {
		b.units = min(b.limit.Burst, b.units+charge)
		b.recent.refund(charge)
	}
}

func (a *Allowances) slotLength() time.Duration { return a.window / windowSlots }

// slotNumber returns the number of the slot that contains now, counted from the creation of the allowances.
func (a *Allowances) slotNumber(now time.Time) int64 {
	return int64(now.Sub(a.createdAt) / a.slotLength())
}
