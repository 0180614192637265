package scheduler

import (
	"math/rand/v2"
	"time"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/estimator"
	"coltsfootplank/internal/isolator"
	"coltsfootplank/internal/limiter"
	"coltsfootplank/internal/protocol"
)

// tiers is the number of queues.
const tiers = cataloguer.PriorityLevels

// Scheduler holds the queue, the grants and the view of the engines of one pool cell.
type Scheduler struct {
	pool           string
	settings       Settings
	order          OrderPolicy
	choose         EngineChoice
	random         *rand.Rand
	engines        *engineSet
	buckets        []*bucket
	requests       map[string]*request
	holders        map[string]map[string]*request
	weights        map[string]float64
	works          map[string]cataloguer.Work
	allowanceShare float64
	allowances     map[string]cataloguer.Allowance
	sequence       uint64
	byTier         [tiers]int
	// deadlines orders the queued tickets that have a deadline by their latest start.
	deadlines *indexedHeap[*request]
	lengths   *estimator.Lengths
	limiter   *limiter.Limiter
	retries   *limiter.RetryBudget
	allowed   *limiter.Allowances
	isolator  *isolator.Isolator
	// parked orders the lanes that wait for a limit by their next look.
	parked     *indexedHeap[*lane]
	limitShare float64
	// owed is the work in seconds that was granted to starved tiers.
	owed decaying

	// recheck is when tickets that wait for the prefills of others are looked at again.
	recheck   time.Time
	decisions []Decision
	// dirty is set by every input, so that the next Step looks for grants.
	dirty    bool
	counters Counters
}

// New returns a scheduler without engines. It panics with a *kernel.UnknownPluginError if the settings name a
// policy that isn't registered; the host validates settings by Settings.Check before.
func New(pool string, settings Settings, now time.Time) *Scheduler {
	order, err := OrderPolicies.Lookup(settings.OrderPolicy)
	if err != nil {
		panic(err)
	}
	choose, err := EngineChoices.Lookup(settings.EngineChoice)
	if err != nil {
		panic(err)
	}
	s := &Scheduler{
		pool: pool, settings: settings, order: order, choose: choose,
		limitShare: 1, allowanceShare: 1,
		random:   rand.New(rand.NewPCG(settings.Seed, uint64(len(pool)))),
		requests: make(map[string]*request), holders: make(map[string]map[string]*request),
		counters: Counters{Since: now, Refusals: make(map[string]int)},
	}
	s.engines = newEngineSet(&s.settings, s.random)
	s.engines.refresh()
	s.lengths = estimator.NewLengths()
	s.engines.noneSince = now
	s.limiter = limiter.New()
	s.allowed = limiter.NewAllowances(now, settings.AllowanceWindow)
	s.isolator = isolator.New(settings.Isolation)
	s.retries = limiter.NewRetryBudget(settings.Retries)
	s.parked = newIndexedHeap(func(a, b *lane) bool { return a.wakeAt.Before(b.wakeAt) },
		func(l *lane) *int { return &l.parkPos })
	s.deadlines = newIndexedHeap(func(a, b *request) bool { return a.latestStart.Before(b.latestStart) },
		func(r *request) *int { return &r.deadlineIndex })
	for range tiers {
		s.buckets = append(s.buckets, newBucket(order))
	}
	return s
}

// at notes an input and its time.
func (s *Scheduler) at(now time.Time) {
	s.engines.now = now
	s.dirty = true
}

// SetEngines replaces the engines of the cell.
func (s *Scheduler) SetEngines(now time.Time, engines []EngineInfo) {
	s.at(now)
	s.engines.replace(engines)
}

// SetWorkspaceWeights sets the weights of the fair shares; a workspace that isn't listed has weight 1.
func (s *Scheduler) SetWorkspaceWeights(weights map[string]float64) {
	s.weights = weights
	for _, b := range s.buckets {
		for workspace, a := range b.accounts {
			a.setWeight(s.weight(workspace))
		}
	}
	s.dirty = true
}

func (s *Scheduler) weight(workspace string) float64 {
	if w := s.weights[workspace]; w > 0 {
		return w
	}
	return 1
}

// SetWorks sets the kinds of work, which bring expected lengths and limits.
func (s *Scheduler) SetWorks(works map[string]cataloguer.Work) {
	s.works = works
	for s.parked.len() > 0 {
		l, _ := s.parked.top()
		s.unpark(l)
	}
	s.dirty = true
}

// SetAllowances sets what the requests of each workspace may use; a workspace that isn't listed has no limit.
func (s *Scheduler) SetAllowances(allowances map[string]cataloguer.Allowance) {
	s.allowances = allowances
}

// SetAllowanceShare bounds the part of the allowances that this scheduler grants, besides its share of the capacity.
func (s *Scheduler) SetAllowanceShare(share float64) { s.allowanceShare = share }

// SetCapacityShare bounds the part of every engine's capacity that this scheduler uses: 1, or 1/members when a
// router schedules alone.
func (s *Scheduler) SetCapacityShare(share float64) {
	s.engines.share = share
	s.engines.refresh()
	s.dirty = true
}

// SetLeaving says whether an engine is leaving; a leaving engine gets no new work.
func (s *Scheduler) SetLeaving(now time.Time, engine string, leaving bool) {
	s.at(now)
	if e := s.engines.byName[engine]; e != nil {
		e.leaving = leaving
		s.engines.refresh()
	}
}

// Backlog returns the number of queued tickets by tier; the last one includes the less urgent levels.
func (s *Scheduler) Backlog() [4]int {
	var backlog [4]int
	for level, n := range s.byTier {
		backlog[min(level, len(backlog)-1)] += n
	}
	return backlog
}

// queued is the number of queued tickets.
func (s *Scheduler) queued() int {
	var sum int
	for _, n := range s.byTier {
		sum += n
	}
	return sum
}

// enqueue puts a request at the place of its arrival.
func (s *Scheduler) enqueue(r *request) {
	r.account.add(r)
	s.byTier[r.tier]++
	if !r.latestStart.IsZero() {
		s.deadlines.push(r)
	}
}

// dequeue takes a queued request out of its queue.
func (s *Scheduler) dequeue(r *request) {
	l := r.lane
	r.account.remove(r)
	if l.queue.len() == 0 {
		s.parked.remove(l)
	}
	r.lane = nil
	s.deadlines.remove(r)
	s.byTier[r.tier]--
}

// remember indexes a request by its id and holder.
func (s *Scheduler) remember(r *request) {
	id := r.ticket.GetRequestId()
	s.requests[id] = r
	held := s.holders[r.holder]
	if held == nil {
		held = make(map[string]*request)
		s.holders[r.holder] = held
	}
	held[id] = r
}

// forgetRequest drops a request from all indexes, whatever its state.
func (s *Scheduler) forgetRequest(r *request) {
	if r.lane != nil {
		s.dequeue(r)
	}
	if r.engine != nil {
		s.endGrant(r, s.engines.now)
	}
	s.allowed.Refund(r.ticket.GetWorkspace(), r.prepaid)
	r.prepaid = 0
	s.engines.unreserve(r)
	id := r.ticket.GetRequestId()
	if s.requests[id] == r {
		delete(s.requests, id)
	}
	held := s.holders[r.holder]
	delete(held, id)
	if len(held) == 0 {
		delete(s.holders, r.holder)
	}
}

// tierOf bounds a ticket's tier to the known ones.
func tierOf(ticket *protocol.Ticket) int {
	return int(min(ticket.GetTier(), tiers-1))
}
