package limiter

import "time"

// Key identifies the use of one kind of work by one workspace.
type Key struct {
	Workspace string
	Work      string
}

// Limits contains the limits of a key; 0 means no limit.
type Limits struct {
	Concurrency     float64
	TokensPerMinute float64
}

// Verdict is the result of a check: whether a request may start and, if not, which limit was reached.
type Verdict int

// Results of Check.
const (
	Allowed Verdict = iota
	ConcurrencyReached
	TokensReached
)

// burstShare is the share of a minute's tokens that may be used at once. It keeps the use in any minute at most 10%
// above the limit. A standard token bucket (golang.org/x/time/rate) can't be used here, because a charge is an estimate
// that is corrected later and may make the balance negative.
const burstShare = 0.1

// Limiter counts the requests in flight and the tokens of each key. It is not safe for concurrent use.
type Limiter struct {
	usages map[Key]*keyUsage
}

type keyUsage struct {
	running float64
	// balance is the number of available tokens as of updatedAt. A charge above it makes it negative.
	balance   float64
	updatedAt time.Time
	limits    Limits
}

// New returns a limiter with no recorded use.
func New() *Limiter { return &Limiter{usages: make(map[Key]*keyUsage)} }

// usage returns the counters of a key, with the balance updated to now. A change of the token limit resets the balance.
func (l *Limiter) usage(key Key, limits Limits, now time.Time) *keyUsage {
	u := l.usages[key]
	if u == nil {
		u = &keyUsage{balance: limits.burst(), updatedAt: now, limits: limits}
		l.usages[key] = u
	}
	if u.limits.TokensPerMinute != limits.TokensPerMinute {
		u.balance, u.updatedAt = limits.burst(), now
	}
	u.limits = limits
	if now.After(u.updatedAt) {
		u.balance = min(limits.burst(), u.balance+now.Sub(u.updatedAt).Seconds()*limits.perSecond())
		u.updatedAt = now
	}
	return u
}

func (l Limits) burst() float64     { return l.TokensPerMinute * burstShare }
func (l Limits) perSecond() float64 { return l.TokensPerMinute / 60 }

// Check reports whether a request with the given number of tokens may start. With TokensReached, the second value is
// how long until there are enough tokens. A request larger than the burst needs a full balance.
func (l *Limiter) Check(now time.Time, key Key, limits Limits, tokens float64) (Verdict, time.Duration) {
	if limits == (Limits{}) {
		return Allowed, 0
	}
	u := l.usage(key, limits, now)
	if limits.Concurrency > 0 && u.running >= max(1, limits.Concurrency) {
		return ConcurrencyReached, 0
	}
	if limits.TokensPerMinute <= 0 {
		return Allowed, 0
	}
	shortfall := min(tokens, limits.burst()) - u.balance
	// Because of rounding errors, a sum of floats may never quite reach the burst.
	if shortfall <= 1e-6 {
		return Allowed, 0
	}
	return TokensReached, time.Duration(shortfall/limits.perSecond()*float64(time.Second)) + time.Millisecond
}

// Start counts a request as in flight and charges its estimated tokens.
func (l *Limiter) Start(now time.Time, key Key, limits Limits, tokens float64) {
	u := l.usage(key, limits, now)
	u.running++
	u.balance -= tokens
}

// End counts a request as ended; correction is the actual number of tokens minus the estimate.
func (l *Limiter) End(now time.Time, key Key, limits Limits, correction float64) {
	u := l.usage(key, limits, now)
	u.running = max(0, u.running-1)
	u.balance = min(limits.burst(), u.balance-correction)
	if u.running == 0 && u.balance >= limits.burst() {
		delete(l.usages, key)
	}
}
