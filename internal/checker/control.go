package checker

import (
	"slices"
	"time"

	"coltsfootplank/internal/recorder"
)

func checkLeaving(history History, bounds Bounds, verdict *Verdict) {
	for _, leaving := range history.MarkedLeaving {
		verdict.Cases++
		limit := leaving.At.Add(bounds.LeavingGrace)
		for _, run := range history.Runs {
			if run.Upstream == leaving.Upstream && run.At.After(limit) {
				verdict.addViolation("upstream %s got request %s %s after it was marked as leaving",
					run.Upstream, run.RequestID, run.At.Sub(leaving.At))
			}
		}
	}
}

// checkPlannedStops looks for requests that a router accepted but didn't finish before its planned stop, and for callers
// that the stop cut off.
func checkPlannedStops(history History, _ Bounds, verdict *Verdict) {
	ended := make(map[string]bool)
	for _, event := range history.Events {
		if event.Kind == recorder.Answered || event.Kind == recorder.Refused {
			ended[event.RequestID] = true
		}
	}
	for _, stop := range history.Stops {
		for _, event := range history.Events {
			if event.Router != stop.Router || event.Kind != recorder.Accepted {
				continue
			}
			verdict.Cases++
			if !ended[event.RequestID] {
				verdict.addViolation("router %s stopped without ending request %s", stop.Router, event.RequestID)
			}
		}
		for _, answer := range history.Answers {
			if answer.Cut && answer.Router == stop.Router {
				verdict.addViolation("the caller of %s was cut off by the stop of router %s", answer.RequestID, stop.Router)
			}
		}
	}
}

func checkCatalogue(history History, bounds Bounds, verdict *Verdict) {
	verdict.Cases = len(history.Accepted)
	byRouter := make(map[string][]InForce)
	for _, seen := range history.InForce {
		byRouter[seen.Router] = append(byRouter[seen.Router], seen)
	}
	digests := make(map[uint64]string)
	for _, accepted := range history.Accepted {
		digests[accepted.Revision] = accepted.Digest
	}
	for router, seen := range byRouter {
		slices.SortStableFunc(seen, func(a, b InForce) int { return a.At.Compare(b.At) })
		last := uint64(0)
		for _, s := range seen {
			if s.Revision < last {
				verdict.addViolation("router %s went back from revision %d to %d", router, last, s.Revision)
			}
			last = s.Revision
			if want, known := digests[s.Revision]; known && want != s.Digest {
				verdict.addViolation("router %s has another content for accepted revision %d", router, s.Revision)
			}
		}
		for _, accepted := range history.Accepted {
			checkInForce(accepted, router, seen, bounds.CatalogueDelay, verdict)
		}
	}
}

// checkInForce looks for a router that still had an older revision after the time limit for an accepted change.
func checkInForce(accepted Accepted, router string, seen []InForce, delay time.Duration, verdict *Verdict) {
	limit := accepted.At.Add(delay)
	for _, s := range seen {
		if s.At.After(limit) && s.Revision < accepted.Revision {
			verdict.addViolation("router %s has revision %d, %s after revision %d was accepted",
				router, s.Revision, s.At.Sub(accepted.At), accepted.Revision)
			return
		}
	}
}
