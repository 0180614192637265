package checker

import (
	"time"

	"coltsfootplank/internal/recorder"
)

// codeOverloaded is the refusal code of requests that were shed.
const codeOverloaded = "overloaded"

// queuedInterval is an interval during which a request waited for a grant.
type queuedInterval struct {
	requestID string
	pool      string
	tier      int
	from      time.Time
	to        time.Time
}

// checkTierOrder looks for requests that were shed while a request of a lower tier stayed queued in the same pool.
// Higher tiers have lower numbers.
func checkTierOrder(history History, bounds Bounds, verdict *Verdict) {
	intervals := queuedIntervals(history)
	for _, event := range history.Events {
		if event.Kind != recorder.Refused || event.Code != codeOverloaded {
			continue
		}
		verdict.Cases++
		for _, wait := range intervals {
			lower := wait.pool == event.Pool && wait.tier > event.Tier
			before := wait.from.Before(event.At.Add(-bounds.MessageDelay))
			after := wait.to.After(event.At.Add(bounds.MessageDelay))
			if lower && before && after {
				verdict.addViolation("request %s of tier %d was shed while %s of tier %d stayed queued",
					event.RequestID, event.Tier, wait.requestID, wait.tier)
				break
			}
		}
	}
}

// queuedIntervals returns the intervals during which requests were queued, each from the ticket to the grant, the refusal
// or the end of the run.
func queuedIntervals(history History) []queuedInterval {
	open := make(map[string]queuedInterval)
	var closed []queuedInterval
	for _, event := range history.Events {
		switch event.Kind {
		case recorder.Ticketed:
			open[event.RequestID] = queuedInterval{requestID: event.RequestID, pool: event.Pool, tier: event.Tier, from: event.At}
		case recorder.Granted, recorder.Refused:
			if wait, ok := open[event.RequestID]; ok {
				wait.to = event.At
				closed = append(closed, wait)
				delete(open, event.RequestID)
			}
		default:
		}
	}
	for _, wait := range open {
		wait.to = history.Ended
		closed = append(closed, wait)
	}
	return closed
}
