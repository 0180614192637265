package scheduler

// maxDeferred bounds the tickets of a bucket that are deferred in one step, since each of them costs an engine choice.
const maxDeferred = 32

// deferredTickets holds queued tickets that can't be granted in this step: no engine with a free slot finishes them in
// time, or their prefill would stall running streams. They leave their work queues for the rest of the step, so that
// newer tickets of their workspaces are still granted before those of lower tiers.
type deferredTickets struct {
	requests []*request
}

// add takes the first ticket of a flow out of its work queue. It returns false if the step has deferred too many
// tickets already.
func (d *deferredTickets) add(r *request) bool {
	if len(d.requests) >= maxDeferred {
		return false
	}
	d.requests = append(d.requests, r)
	r.workQueue.tickets.remove(r)
	r.workQueue.flow.reorder()
	return true
}

// restore returns the tickets to their work queues. A work queue that became empty in the meantime was removed from its
// flow and is added again.
func (d *deferredTickets) restore() {
	for _, r := range d.requests {
		q := r.workQueue
		q.flow.workQueues[q.work] = q
		q.tickets.push(r)
	}
	for _, r := range d.requests {
		r.workQueue.flow.reorder()
	}
}
