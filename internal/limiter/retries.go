package limiter

import "time"

// RetryBudgetSettings limits the retries by the callers of a workspace.
type RetryBudgetSettings struct {
	// Ratio is the number of retries that each first submission adds to the budget.
	Ratio float64
	// PerSecond is the number of retries added each second, so that workspaces with little traffic can retry too.
	PerSecond float64
	// Burst is the maximum size of the budget.
	Burst float64
	// FailureRetention is how long after a failure another submission with the same fingerprint counts as a retry.
	FailureRetention time.Duration
	// MaxEntries is the maximum number of failures kept.
	MaxEntries int
}

// RetryBudget recognises callers' retries and limits them with a budget for each workspace. It is not safe for
// concurrent use.
type RetryBudget struct {
	settings RetryBudgetSettings
	balances map[string]*retryBalance
	// failed maps fingerprints to their latest failure.
	failed map[uint64]time.Time
	// failures contains the failures, oldest first.
	failures []failure
}

type retryBalance struct {
	retries   float64
	updatedAt time.Time
}

type failure struct {
	fingerprint uint64
	failedAt    time.Time
}

// NewRetryBudget returns a budget that is full for every workspace.
func NewRetryBudget(settings RetryBudgetSettings) *RetryBudget {
	return &RetryBudget{settings: settings, balances: make(map[string]*retryBalance), failed: make(map[uint64]time.Time)}
}

// RecordFailure records that a request was refused or failed, so that further submissions with its fingerprint count as
// retries. Fingerprint 0 means unknown and is ignored.
func (r *RetryBudget) RecordFailure(now time.Time, fingerprint uint64) {
	if fingerprint == 0 {
		return
	}
	r.failed[fingerprint] = now
	r.failures = append(r.failures, failure{fingerprint, now})
	r.dropExpired(now)
}

// Admit reports whether a submission is either a first one or a retry within the budget of its workspace. After a
// refused retry, the next submission still counts as a retry.
func (r *RetryBudget) Admit(now time.Time, workspace string, fingerprint uint64) bool {
	r.dropExpired(now)
	b := r.balances[workspace]
	if b == nil {
		b = &retryBalance{retries: r.settings.Burst, updatedAt: now}
		r.balances[workspace] = b
	}
	if now.After(b.updatedAt) {
		b.retries = min(r.settings.Burst, b.retries+now.Sub(b.updatedAt).Seconds()*r.settings.PerSecond)
		b.updatedAt = now
	}
	if _, retry := r.failed[fingerprint]; !retry || fingerprint == 0 {
		b.retries = min(r.settings.Burst, b.retries+r.settings.Ratio)
		return true
	}
	if b.retries < 1 {
		return false
	}
	b.retries--
	return true
}

// RetryAfter returns how long until a workspace may retry if only elapsed time adds to its budget.
func (r *RetryBudget) RetryAfter(workspace string) time.Duration {
	b := r.balances[workspace]
	if b == nil || b.retries >= 1 || r.settings.PerSecond <= 0 {
		return 0
	}
	return time.Duration((1 - b.retries) / r.settings.PerSecond * float64(time.Second))
}

// dropExpired removes the failures older than FailureRetention, and the oldest ones beyond MaxEntries.
func (r *RetryBudget) dropExpired(now time.Time) {
	n := 0
	for n < len(r.failures) && (len(r.failures)-n > r.settings.MaxEntries ||
		now.Sub(r.failures[n].failedAt) > r.settings.FailureRetention) {
		if f := r.failures[n]; r.failed[f.fingerprint].Equal(f.failedAt) {
			delete(r.failed, f.fingerprint)
		}
		n++
	}
	r.failures = r.failures[n:]
}
