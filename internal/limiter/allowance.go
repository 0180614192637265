package limiter

import (
	"time"

	"coltsfootplank/internal/cataloguer"
)

// openingShare is the part of the burst that a new scheduler starts with: the one before it may have granted the burst
// just now.
const openingShare = 0.3

// Allowances counts what the requests of each workspace use. It is not safe for concurrent use.
type Allowances struct {
	since    time.Time
	balances map[string]*balance
}

// balance is in units, as of at.
type balance struct {
	units float64
	at    time.Time
	limit cataloguer.Allowance
}

// NewAllowances returns allowances of which a part may be used at once.
func NewAllowances(now time.Time) *Allowances {
	return &Allowances{since: now, balances: make(map[string]*balance)}
}

// Take takes a charge from a workspace's allowance, or returns how long until it suffices. A charge above the burst needs
// a full balance. A limit with a Rate of 0 allows all.
func (a *Allowances) Take(now time.Time, workspace string, limit cataloguer.Allowance, charge float64) (wait time.Duration, ok bool) {
	if limit.Rate <= 0 || charge <= 0 {
		return 0, true
	}
	b := a.balances[workspace]
	if b == nil {
		b = &balance{units: limit.Burst * openingShare, at: a.since, limit: limit}
		a.balances[workspace] = b
	}
	b.units = min(limit.Burst, b.units+now.Sub(b.at).Seconds()*limit.Rate)
	b.at, b.limit = now, limit
	if short := min(charge, limit.Burst) - b.units; short > 0 {
		return time.Duration(short / limit.Rate * float64(time.Second)), false
	}
	b.units -= charge
	return 0, true
}

// Refund gives back the charge of a request that didn't run.
func (a *Allowances) Refund(workspace string, charge float64) {
	if b := a.balances[workspace]; b != nil && charge > 0 {
		b.units = min(b.limit.Burst, b.units+charge)
	}
}
