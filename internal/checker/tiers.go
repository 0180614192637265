package checker

import (
	"time"

	"coltsfootplank/internal/recorder"
)

// codeOverloaded is the code of a request that was shed.
const codeOverloaded = "overloaded"

// queued is the time during which a request waited for a grant.
type queued struct {
	requestID string
	pool      string
	tier      int
	from      time.Time
	to        time.Time
}

// checkTierOrder looks for a request that was shed while one of a lower tier stayed queued in its pool.
func checkTierOrder(history History, bounds Bounds, verdict *Verdict) {
	waits := waits(history)
	for _, event := range history.Events {
		if event.Kind != recorder.Refused || event.Code != codeOverloaded {
			continue
		}
		verdict.Cases++
		for _, wait := range waits {
			lower := wait.pool == event.Pool && wait.tier > event.Tier
			before := wait.from.Before(event.At.Add(-bounds.MessageDelay))
			after := wait.to.After(event.At.Add(bounds.MessageDelay))
			if lower && before && after {
				verdict.violate("request %s of tier %d was shed while %s of tier %d stayed queued",
					event.RequestID, event.Tier, wait.requestID, wait.tier)
				break
			}
		}
	}
}

// waits returns the waiting intervals of all requests, from each ticket to the grant or refusal that ended it.
func waits(history History) []queued {
	open := make(map[string]queued)
	var closed []queued
	for _, event := range history.Events {
		switch event.Kind {
		case recorder.Ticketed:
			open[event.RequestID] = queued{requestID: event.RequestID, pool: event.Pool, tier: event.Tier, from: event.At}
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
