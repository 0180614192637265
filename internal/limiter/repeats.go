package limiter

import "sync"

// usableShare is the share of the budget that the routers use. The margin is needed because requests are counted over
// windows that may end before their repeats, and because the number of routers changes.
const usableShare = 0.5

// RepeatBudgetSettings limits how often requests are sent to another upstream.
type RepeatBudgetSettings struct {
	// Ratio is the share of a service's requests that all routers together may repeat.
	Ratio float64
	// Slack is the number of additional repeats that all routers together may send in a budget window.
	Slack float64
	// Routers returns the number of routers that share the slack.
	Routers func() int
}

// RepeatBudget limits the repeats of each service to one router's share. Its methods may be called concurrently.
type RepeatBudget struct {
	settings RepeatBudgetSettings
	mu       sync.Mutex
	balances map[string]float64
}

// NewRepeatBudget returns a budget that is full for every service.
func NewRepeatBudget(settings RepeatBudgetSettings) *RepeatBudget {
	return &RepeatBudget{settings: settings, balances: make(map[string]float64)}
}

// RecordRequest counts a request of a service, which adds a fraction of a repeat to its budget.
func (r *RepeatBudget) RecordRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balances[service] = min(r.maxBalance(), r.balance(service)+r.settings.Ratio*usableShare)
}

// Take reports whether a request of a service may be repeated, and if so deducts the repeat from the budget.
func (r *RepeatBudget) Take(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	balance := r.balance(service)
	if balance < 1 {
		return false
	}
	r.balances[service] = balance - 1
	return true
}

func (r *RepeatBudget) balance(service string) float64 {
	if balance, ok := r.balances[service]; ok {
		return balance
	}
	return r.maxBalance()
}

func (r *RepeatBudget) maxBalance() float64 {
	return max(1, r.settings.Slack*usableShare/float64(max(1, r.settings.Routers())))
}
