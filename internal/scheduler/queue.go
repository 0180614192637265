package scheduler

import (
	"math"
	"time"

	"coltsfootplank/internal/limiter"
)

// bucket holds the queued tickets of one tier, or of all tiers under the fifo order.
type bucket struct {
	accounts map[string]*account
	// flows are ordered by the order policy, one heap for each length class.
	flows [classCount]*indexedHeap[*flow]
	// shedOrder orders the accounts with queued tickets, the one that loses a ticket first on top.
	shedOrder   *indexedHeap[*account]
	queued      int
	slotSeconds float64
	// stats predicts how long new tickets would wait.
	stats grantStats
	// returns holds when refused callers were told to return.
	returns returnSchedule
	// virtualTime is the highest counter that an account had when it was served. An account that becomes active while
	// no other one is starts no lower.
	virtualTime float64
	// active orders the accounts with queued tickets by their counters.
	active *indexedHeap[*account]
	// activeWeight is the sum of the weights of the accounts with queued tickets.
	activeWeight float64
}

// account holds the queued tickets and the fair share of one workspace in one bucket.
type account struct {
	bucket    *bucket
	workspace string
	weight    float64
	// counter is the virtual token counter: tokens of work granted, divided by the weight.
	counter float64
	// queue holds all tickets of the account, the one to be served last first, because shedding refuses that one.
	queue       *indexedHeap[*request]
	cost        float64
	slotSeconds float64
	// returning and returningSeconds count the queued tickets of callers that returned as promised, and their slot time.
	returning        int
	returningSeconds float64
	flows            [classCount]*flow

	shedIndex   int
	activeIndex int
}

// virtualFinish returns the counter that the account would reach if its whole queue were granted. The workspace with
// the highest value exceeds its share the most.
func (a *account) virtualFinish() float64 { return a.counter + a.cost/a.weight }

// flow holds an account's tickets of one length class, in one work queue for each kind of work, because limits apply to
// a kind of work.
type flow struct {
	account    *account
	class      lengthClass
	workQueues map[string]*workQueue
	// head is the ticket to serve first outside throttled work queues, or nil.
	head  *request
	index int
}

// workQueue holds the tickets of one kind of work in the order in which they are served. It is throttled while a limit blocks it.
type workQueue struct {
	flow    *flow
	work    string
	tickets *indexedHeap[*request]
	// throttledIndex is the position among the throttled work queues, or -1. verdict is the limit that was reached, and
	// wakeAt is when to check the limit again if no request is released before.
	throttledIndex int
	verdict        limiter.Verdict
	wakeAt         time.Time
	limitedSince   time.Time
	unthrottledAt  time.Time
}

func newBucket(policy OrderPolicy) *bucket {
	b := &bucket{accounts: make(map[string]*account)}
	for class := range b.flows {
		b.flows[class] = newIndexedHeap(policy.Before, func(f *flow) *int { return &f.index })
	}
	b.shedOrder = newIndexedHeap(policy.ShedFirst, func(a *account) *int { return &a.shedIndex })
	b.active = newIndexedHeap(func(a, b *account) bool { return a.counter < b.counter },
		func(a *account) *int { return &a.activeIndex })
	return b
}

func (b *bucket) account(workspace string, weight float64) *account {
	a := b.accounts[workspace]
	if a == nil {
		a = &account{bucket: b, workspace: workspace, weight: weight, shedIndex: -1, activeIndex: -1}
		a.queue = newIndexedHeap(servedAfter, func(r *request) *int { return &r.accountIndex })
		for class := range a.flows {
			a.flows[class] = &flow{account: a, class: lengthClass(class), workQueues: make(map[string]*workQueue), index: -1}
		}
		b.accounts[workspace] = a
	}
	return a
}

// oldest returns the flow's ticket to serve first outside throttled work queues, or nil.
func (f *flow) oldest() *request {
	var first *request
	for _, q := range f.workQueues {
		if q.throttledIndex >= 0 {
			continue
		}
		if r, ok := q.tickets.top(); ok && (first == nil || servedBefore(r, first)) {
			first = r
		}
	}
	return first
}

// add queues a ticket.
func (a *account) add(r *request) {
	f := a.flows[r.class]
	q := f.workQueues[r.ticket.GetWork()]
	if q == nil {
		q = &workQueue{flow: f, work: r.ticket.GetWork(), throttledIndex: -1}
		q.tickets = newIndexedHeap(servedBefore, func(r *request) *int { return &r.workQueueIndex })
		f.workQueues[q.work] = q
	}
	if a.queue.len() == 0 {
		a.activate()
	}
	r.workQueue = q
	q.tickets.push(r)
	a.queue.push(r)
	a.cost += r.cost()
	a.slotSeconds += r.slotSeconds
	if r.returning {
		a.returning++
		a.returningSeconds += r.slotSeconds
	}
	a.bucket.slotSeconds += r.slotSeconds
	a.bucket.queued++
	a.reorder()
	f.reorder()
}

// remove takes a ticket out of the queue.
func (a *account) remove(r *request) {
	q := r.workQueue
	q.tickets.remove(r)
	a.queue.remove(r)
	a.cost -= r.cost()
	a.slotSeconds -= r.slotSeconds
	if r.returning {
		a.returning--
		a.returningSeconds -= r.slotSeconds
	}
	a.bucket.slotSeconds -= r.slotSeconds
	a.bucket.queued--
	if q.tickets.len() == 0 {
		delete(q.flow.workQueues, q.work)
	}
	if a.queue.len() == 0 {
		// Rounding errors add up in floating-point sums; an empty queue allows them to be reset.
		a.cost, a.slotSeconds, a.returningSeconds = 0, 0, 0
		a.bucket.active.remove(a)
		a.bucket.activeWeight -= a.weight
	}
	if a.bucket.queued == 0 {
		a.bucket.slotSeconds, a.bucket.activeWeight = 0, 0
	}
	a.reorder()
	q.flow.reorder()
}

// activate raises the counter to the lowest active one, or to virtualTime if none is active, so that a workspace
// gathers no credit while it is idle.
func (a *account) activate() {
	floor := a.bucket.virtualTime
	if first, ok := a.bucket.active.top(); ok {
		floor = first.counter
	}
	a.counter = math.Max(a.counter, floor)
	a.bucket.active.push(a)
	a.bucket.activeWeight += a.weight
}

// charge adds tokens of work to the counter; a negative number refunds them.
func (a *account) charge(tokens float64) {
	a.counter += tokens / a.weight
	a.bucket.active.fix(a)
	a.reorder()
	for _, f := range a.flows {
		f.reorder()
	}
}

// reorder updates the account's place in the shedding order.
func (a *account) reorder() {
	switch {
	case a.queue.len() == 0:
		a.bucket.shedOrder.remove(a)
	case a.shedIndex < 0:
		a.bucket.shedOrder.push(a)
	default:
		a.bucket.shedOrder.fix(a)
	}
}

// reorder updates the flow's oldest ticket and its place in the grant order.
func (f *flow) reorder() {
	flows := f.account.bucket.flows[f.class]
	f.head = f.oldest()
	switch {
	case f.head == nil:
		flows.remove(f)
	case f.index < 0:
		flows.push(f)
	default:
		flows.fix(f)
	}
}

// setWeight changes the weight of the fair share; the counter keeps its value.
func (a *account) setWeight(weight float64) {
	if a.queue.len() > 0 {
		a.bucket.activeWeight += weight - a.weight
	}
	a.weight = weight
	a.reorder()
}
