package limiter

import "time"

// Key names one workspace's use of one kind of work.
type Key struct {
	Workspace string
	Work      string
}

// Limits bounds the use; 0 means no limit.
type Limits struct {
	Concurrency     float64
	TokensPerMinute float64
}

// Verdict says whether a request may start.
type Verdict int

// Verdicts.
const (
	Allowed Verdict = iota
	ConcurrencyReached
	TokensReached
)

// burstShare is the part of a minute's tokens that may be used at once. Over any minute the use then stays within
// 10% of the limit. A usual token bucket (golang.org/x/time/rate) can't be used, because a charge is an estimate
// that is corrected later and may take the balance below zero.
const burstShare = 0.1

// Limiter counts the requests in flight and the tokens of all keys. It is not safe for concurrent use.
type Limiter struct {
	uses map[Key]*use
}

type use struct {
	running float64
	// balance is in tokens, as of at; it is negative after a charge beyond it.
	balance float64
	at      time.Time
	limits  Limits
}

// New returns a limiter without use.
func New() *Limiter { return &Limiter{uses: make(map[Key]*use)} }

// use returns the counters of a key with the balance brought to now. A change of the limit starts a new balance.
func (l *Limiter) use(key Key, limits Limits, now time.Time) *use {
	u := l.uses[key]
	if u == nil {
		u = &use{balance: limits.burst(), at: now, limits: limits}
		l.uses[key] = u
	}
	if u.limits.TokensPerMinute != limits.TokensPerMinute {
		u.balance, u.at = limits.burst(), now
	}
	u.limits = limits
	if now.After(u.at) {
		u.balance = min(limits.burst(), u.balance+now.Sub(u.at).Seconds()*limits.perSecond())
		u.at = now
	}
	return u
}

func (l Limits) burst() float64     { return l.TokensPerMinute * burstShare }
func (l Limits) perSecond() float64 { return l.TokensPerMinute / 60 }

// Check says whether a request of the given tokens may start. If tokens are short, the second value is how long
// until they suffice. A request larger than the burst needs a full balance.
func (l *Limiter) Check(now time.Time, key Key, limits Limits, tokens float64) (Verdict, time.Duration) {
	if limits == (Limits{}) {
		return Allowed, 0
	}
	u := l.use(key, limits, now)
	if limits.Concurrency > 0 && u.running >= max(1, limits.Concurrency) {
		return ConcurrencyReached, 0
	}
	if limits.TokensPerMinute <= 0 {
		return Allowed, 0
	}
	short := min(tokens, limits.burst()) - u.balance
	// Sums of floats can be short of the burst by a rounding error for ever.
	if short <= 1e-6 {
		return Allowed, 0
	}
	return TokensReached, time.Duration(short/limits.perSecond()*float64(time.Second)) + time.Millisecond
}

// Start counts a request in flight and charges its estimated tokens.
func (l *Limiter) Start(now time.Time, key Key, limits Limits, tokens float64) {
	u := l.use(key, limits, now)
	u.running++
	u.balance -= tokens
}

// End frees what Start took; correction is the difference of the actual tokens to the estimate.
func (l *Limiter) End(now time.Time, key Key, limits Limits, correction float64) {
	u := l.use(key, limits, now)
	u.running = max(0, u.running-1)
	u.balance = min(limits.burst(), u.balance-correction)
	if u.running == 0 && u.balance >= limits.burst() {
		delete(l.uses, key)
	}
}
