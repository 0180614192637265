package scheduler

// asideLimit bounds the tickets of a bucket that are set aside in one step, each of which costs an engine choice.
const asideLimit = 32

// aside holds queued tickets that no open engine finishes in time. They leave their lanes for the rest of a step, so
// that younger tickets of their workspaces go before lower tiers.
type aside struct {
	requests []*request
}

// add takes the first ticket of a flow out of its lane. It returns false if too many have been taken out already.
func (a *aside) add(r *request) bool {
	if len(a.requests) >= asideLimit {
		return false
	}
	a.requests = append(a.requests, r)
	r.lane.queue.remove(r)
	r.lane.flow.reorder()
	return true
}

// restore returns the tickets to their lanes. A lane that became empty meanwhile has left its flow.
func (a *aside) restore() {
	for _, r := range a.requests {
		l := r.lane
		l.flow.lanes[l.work] = l
		l.queue.push(r)
	}
	for _, r := range a.requests {
		r.lane.flow.reorder()
	}
}
