package pacer

import "math"

// Floor returns the part of its slots that each paced engine may use in any case, given the slots of the pool's usable
// engines and those that answers in time speak for. A pool that has started or recovered as a whole must not wait for
// itself: without any tried engine, nothing is paced. From half of the pool on, the tried engines carry the load.
func Floor(slots, earned int) float64 {
	if slots <= 0 {
		return 1
	}
	return max(0, 1-2*float64(earned)/float64(slots))
}

// Limit returns the number of requests that a scheduler may have in flight on an engine, or 0 if there is no limit. share
// is its part of every engine's capacity; at least one request is always allowed.
func (w *Window) Limit(slots int, floor, share float64) int {
	if !w.Active() {
		return 0
	}
	requests := w.requests
	if w.phase != readmitted {
		requests = max(requests, int(math.Ceil(floor*float64(slots))))
	}
	if requests >= slots && w.phase != readmitted {
		return 0
	}
	// The readmission without judgement is the same whatever the share.
	if share < 1 && w.phase != readmitted {
		requests = int(math.Ceil(share * float64(requests)))
	}
	return max(1, requests)
}

// Tokens returns the prompt tokens that may be in flight on an engine with the given limit of requests, from the typical
// prompt of the pool. Several long prompts at once would be too much for an engine that hasn't been tried.
func Tokens(limit int, typical float64) float64 {
	if limit <= 0 || typical <= 0 {
		return math.Inf(1)
	}
	return float64(limit) * typical
}
