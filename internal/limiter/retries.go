package limiter

import "time"

// RetryBudgetSettings bounds the callers' retries of a workspace.
type RetryBudgetSettings struct {
	// Ratio is the number of retries that one first submission earns.
	Ratio float64
	// PerSecond is earned by time, so that a workspace with little traffic can retry too.
	PerSecond float64
	// Burst bounds the budget.
	Burst float64
	// FailureRetention is how long a failed request's fingerprint makes the next submission a retry.
	FailureRetention time.Duration
	// MaxEntries bounds the fingerprints in memory.
	MaxEntries int
}

// RetryBudget recognises callers' retries and keeps a budget for each workspace. It is not safe for concurrent use.
type RetryBudget struct {
	settings RetryBudgetSettings
	budgets  map[string]*budget
	failed   map[uint64]time.Time
	// queue holds the fingerprints in the order of their failures.
	queue []failure
}

type budget struct {
	left float64
	at   time.Time
}

type failure struct {
	fingerprint uint64
	at          time.Time
}

// NewRetryBudget returns full budgets.
func NewRetryBudget(settings RetryBudgetSettings) *RetryBudget {
	return &RetryBudget{settings: settings, budgets: make(map[string]*budget), failed: make(map[uint64]time.Time)}
}

// RecordFailure notes a request that was refused or failed; the next submission with its fingerprint is a retry.
// Fingerprint 0 is unknown and ignored.
func (r *RetryBudget) RecordFailure(now time.Time, fingerprint uint64) {
	if fingerprint == 0 {
		return
	}
	r.failed[fingerprint] = now
	r.queue = append(r.queue, failure{fingerprint, now})
	r.forget(now)
}

// Admit says whether a submission is a first one or a retry within the budget of its workspace. A rejected retry
// stays a retry.
func (r *RetryBudget) Admit(now time.Time, workspace string, fingerprint uint64) bool {
	r.forget(now)
	b := r.budgets[workspace]
	if b == nil {
		b = &budget{left: r.settings.Burst, at: now}
		r.budgets[workspace] = b
	}
	if now.After(b.at) {
		b.left = min(r.settings.Burst, b.left+now.Sub(b.at).Seconds()*r.settings.PerSecond)
		b.at = now
	}
	if _, retry := r.failed[fingerprint]; !retry || fingerprint == 0 {
		b.left = min(r.settings.Burst, b.left+r.settings.Ratio)
		return true
	}
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// RetryAfter returns how long until a workspace may retry by time alone.
func (r *RetryBudget) RetryAfter(workspace string) time.Duration {
	b := r.budgets[workspace]
	if b == nil || b.left >= 1 || r.settings.PerSecond <= 0 {
		return 0
	}
	return time.Duration((1 - b.left) / r.settings.PerSecond * float64(time.Second))
}

// forget drops failures beyond the memory.
func (r *RetryBudget) forget(now time.Time) {
	n := 0
	for n < len(r.queue) && (len(r.queue)-n > r.settings.MaxEntries || now.Sub(r.queue[n].at) > r.settings.FailureRetention) {
		if f := r.queue[n]; r.failed[f.fingerprint].Equal(f.at) {
			delete(r.failed, f.fingerprint)
		}
		n++
	}
	r.queue = r.queue[n:]
}
