package limiter

import (
	"time"

	"coltsfootplank/internal/cataloguer"
)

const (
	// openingShare is the part of the burst that a new scheduler starts with: the one before it may have granted the burst
	// just now.
	openingShare = 0.3
	// refillShare is the part of the burst that comes back in each window beside the rate. The rest keeps two schedulers, of
	// which one takes over from the other in a window, within the platform's tolerance of a tenth.
	refillShare = 0.75
)

// Allowances counts what the requests of each workspace use. A workspace may use its rate and its burst in each window. It
// is not safe for concurrent use.
type Allowances struct {
	since    time.Time
	window   time.Duration
	balances map[string]*balance
}

// balance is in units, as of at.
type balance struct {
	units float64
	at    time.Time
	limit cataloguer.Allowance
	used  usage
}

// NewAllowances returns allowances of which a part may be used at once. Without a window the burst comes back at the rate
// only.
func NewAllowances(now time.Time, window time.Duration) *Allowances {
	return &Allowances{since: now, window: window, balances: make(map[string]*balance)}
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
	if limit.Rate < b.limit.Rate || limit.Burst < b.limit.Burst {
		// What was used under the higher limit doesn't count against the lower one.
		b.used = usage{}
	}
	rate := a.rate(now, limit)
	b.units = min(limit.Burst, b.units+now.Sub(b.at).Seconds()*rate)
	b.at, b.limit = now, limit
	if short := min(charge, limit.Burst) - b.units; short > 0 {
		return time.Duration(short / rate * float64(time.Second)), false
	}
	if a.window > 0 {
		if wait := b.used.wait(a.slot(now), charge, limit.Rate*a.window.Seconds()+limit.Burst); wait > 0 {
			return time.Duration(wait) * a.slotLength(), false
		}
		b.used.add(charge)
	}
	b.units -= charge
	return 0, true
}

// rate is what a balance gains a second. In the first window nothing of the burst comes back: an earlier scheduler may have
// granted its own.
func (a *Allowances) rate(now time.Time, limit cataloguer.Allowance) float64 {
	if a.window <= 0 || now.Sub(a.since) < a.window {
		return limit.Rate
	}
	return limit.Rate + refillShare*limit.Burst/a.window.Seconds()
}

// Refund gives back the charge of a request that didn't run.
func (a *Allowances) Refund(workspace string, charge float64) {
	if b := a.balances[workspace]; b != nil && charge > 0 {
		b.units = min(b.limit.Burst, b.units+charge)
		b.used.refund(charge)
	}
}

func (a *Allowances) slotLength() time.Duration { return a.window / windowSlots }

// slot numbers the slots of the window from the start on.
func (a *Allowances) slot(now time.Time) int64 { return int64(now.Sub(a.since) / a.slotLength()) }
