package limiter

import "sync"

// repeatShare is the part of the budget that the routers use: requests are counted over windows that end before the
// repeats do, and routers come and go.
const repeatShare = 0.5

// RepeatBudgetSettings bounds how often requests are sent to a further upstream.
type RepeatBudgetSettings struct {
	// Ratio is the share of a service's requests that may be sent again, over all routers.
	Ratio float64
	// Slack is the number of repeats in a window that are allowed besides, over all routers.
	Slack float64
	// Routers returns how many routers share the slack.
	Routers func() int
}

// RepeatBudget is one router's part of the repeat budget of each service. Its methods may be called concurrently.
type RepeatBudget struct {
	settings RepeatBudgetSettings
	mu       sync.Mutex
	balances map[string]float64
}

// NewRepeatBudget returns a full budget.
func NewRepeatBudget(settings RepeatBudgetSettings) *RepeatBudget {
	return &RepeatBudget{settings: settings, balances: make(map[string]float64)}
}

// RecordRequest counts a request of a service, which earns a part of a repeat.
func (r *RepeatBudget) RecordRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balances[service] = min(r.limit(), r.balance(service)+r.settings.Ratio*repeatShare)
}

// Take says whether a request of a service may be sent once more, and counts it.
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
	return r.limit()
}

func (r *RepeatBudget) limit() float64 {
	return max(1, r.settings.Slack*repeatShare/float64(max(1, r.settings.Routers())))
}
