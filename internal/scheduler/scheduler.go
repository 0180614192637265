package scheduler

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/estimator"
	"coltsfootplank/internal/isolator"
	"coltsfootplank/internal/limiter"
	"coltsfootplank/internal/protocol"
)

// tierCount is the number of tiers.
const tierCount = cataloguer.TierCount

// Scheduler holds the queue, the grants and the view of the engines of one pool cell.
type Scheduler struct {
	pool           string
	settings       Settings
	logger         *zap.Logger
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
	// standIn is set while another scheduler may grant the bursts of the allowances.
	standIn      bool
	allowances   map[string]cataloguer.Allowance
	sequence     uint64
	queuedByTier [tierCount]int
	// deadlines orders the queued tickets that have a latest start by that time.
	deadlines    *indexedHeap[*request]
	lengths      *estimator.Lengths
	limiter      *limiter.Limiter
	retries      *limiter.RetryBudget
	allowanceUse *limiter.Allowances
	isolator     *isolator.Isolator
	// throttled orders the work queues that are blocked by a limit by the time of their next check.
	throttled  *indexedHeap[*workQueue]
	limitShare float64
	// returning remembers the refused requests whose callers were promised room.
	returning returning
	// floorWork is the recent work, in seconds of slot time, that was granted because of the tier floors.
	floorWork decayingSum

	// recheckAt is when to check again the tickets that wait for prefills of other requests to finish, or for engines that
	// have turned their holder away.
	recheckAt time.Time
	decisions []Decision
	// dirty is set by every input, so that the next Step looks for grants.
	dirty    bool
	counters Counters
}

// New returns a scheduler without engines. It panics with a *kernel.UnknownPluginError if the settings name a policy
// that isn't registered; the host must validate them with Settings.Check first.
func New(pool string, settings Settings, logger *zap.Logger, now time.Time) *Scheduler {
	order, err := OrderPolicies.Lookup(settings.OrderPolicy)
	if err != nil {
		panic(err)
	}
	choose, err := EngineChoices.Lookup(settings.EngineChoice)
	if err != nil {
		panic(err)
	}
	s := &Scheduler{
		pool: pool, settings: settings, logger: logger, order: order, choose: choose,
		limitShare: 1, allowanceShare: 1,
		random:   rand.New(rand.NewPCG(settings.Seed, uint64(len(pool)))),
		requests: make(map[string]*request), holders: make(map[string]map[string]*request),
		counters: Counters{Since: now, Refusals: make(map[string]int)},
	}
	s.engines = newEngineSet(&s.settings, s.random)
	s.engines.refresh()
	s.lengths = estimator.NewLengths()
	s.engines.noUsableSince = now
	s.limiter = limiter.New()
	s.allowanceUse = limiter.NewAllowances(now, settings.AllowanceWindow)
	s.isolator = isolator.New(settings.Isolation)
	s.retries = limiter.NewRetryBudget(settings.Retries)
	s.throttled = newIndexedHeap(func(a, b *workQueue) bool { return a.wakeAt.Before(b.wakeAt) },
		func(q *workQueue) *int { return &q.throttledIndex })
	s.deadlines = newIndexedHeap(func(a, b *request) bool { return a.latestStart.Before(b.latestStart) },
		func(r *request) *int { return &r.deadlineIndex })
	for range tierCount {
		s.buckets = append(s.buckets, newBucket(order))
	}
	return s
}

// recordInput sets the time of an input and marks the scheduler as dirty.
func (s *Scheduler) recordInput(now time.Time) {
	s.engines.now = now
	s.dirty = true
}

// SetEngines replaces the engines of the cell.
func (s *Scheduler) SetEngines(now time.Time, engines []EngineInfo) {
	s.recordInput(now)
	s.observeRegistrations(now, engines)
	s.engines.replace(engines)
}

// SetWorkspaceWeights sets the weights of the workspaces' fair shares; a workspace that isn't listed has weight 1.
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

// SetWorks sets the kinds of work, which define expected output lengths and limits.
func (s *Scheduler) SetWorks(works map[string]cataloguer.Work) {
	s.works = works
	for s.throttled.len() > 0 {
		q, _ := s.throttled.top()
		s.unthrottle(q)
	}
	s.dirty = true
}

// SetAllowances sets the allowance of each workspace; a workspace that isn't listed has no limit.
func (s *Scheduler) SetAllowances(allowances map[string]cataloguer.Allowance) {
	s.allowances = allowances
}

// SetAllowanceShare sets the part of each allowance that this scheduler may grant, above 0, and whether the burst belongs to it. A
// smaller capacity share applies to the allowances too.
func (s *Scheduler) SetAllowanceShare(share float64, burst bool) {
	s.allowanceShare, s.standIn = share, !burst
}

// SetCapacityShare sets the part of every engine's capacity that this scheduler may use: 1, or 1/members when a router
// schedules without contact to the others.
func (s *Scheduler) SetCapacityShare(share float64) {
	s.engines.share = share
	s.engines.refresh()
	s.dirty = true
}

// SetLeaving sets whether an engine is leaving; a leaving engine gets no new work.
func (s *Scheduler) SetLeaving(now time.Time, engine string, leaving bool) {
	s.recordInput(now)
	if e := s.engines.byName[engine]; e != nil {
		e.leaving = leaving
		s.engines.refresh()
	}
}

// Backlog returns the number of queued tickets by tier; the last element includes all less urgent tiers.
func (s *Scheduler) Backlog() [4]int {
	var backlog [4]int
	for level, n := range s.queuedByTier {
		backlog[min(level, len(backlog)-1)] += n
	}
	return backlog
}

// queued returns the number of queued tickets.
func (s *Scheduler) queued() int {
	var sum int
	for _, n := range s.queuedByTier {
		sum += n
	}
	return sum
}

// enqueue adds a request to its queue, at the place given by its arrival.
func (s *Scheduler) enqueue(r *request) {
	r.account.add(r)
	s.queuedByTier[r.tier]++
	if !r.latestStart.IsZero() {
		s.deadlines.push(r)
	}
}

// dequeue removes a queued request from its queue.
func (s *Scheduler) dequeue(r *request) {
	q := r.workQueue
	r.account.remove(r)
	if q.tickets.len() == 0 {
		s.throttled.remove(q)
	}
	r.workQueue = nil
	s.deadlines.remove(r)
	s.queuedByTier[r.tier]--
}

// addRequest indexes a request by its id and by its holder.
func (s *Scheduler) addRequest(r *request) {
	id := r.ticket.GetRequestId()
	s.requests[id] = r
	held := s.holders[r.holder]
	if held == nil {
		held = make(map[string]*request)
		s.holders[r.holder] = held
	}
	held[id] = r
}

// removeRequest removes a request from all queues and indexes, whatever its state, and frees what it holds.
func (s *Scheduler) removeRequest(r *request) {
	if r.workQueue != nil {
		s.dequeue(r)
	}
	if r.engine != nil {
		s.endGrant(r, s.engines.now)
	} else {
		s.allowanceUse.Refund(r.ticket.GetWorkspace(), r.allowanceCharge)
	}
	r.allowanceCharge = 0
	s.engines.unreserve(r)
	id := r.ticket.GetRequestId()
	s.isolator.EndTrial(s.engines.now, id)
	if s.requests[id] == r {
		delete(s.requests, id)
	}
	held := s.holders[r.holder]
	delete(held, id)
	if len(held) == 0 {
		delete(s.holders, r.holder)
	}
}

// tierOf returns a ticket's tier; an unknown one counts as the lowest.
func tierOf(ticket *protocol.Ticket) int {
	return int(min(ticket.GetTier(), tierCount-1))
}
