package ticketer

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/protocol"
)

// maintainInterval is the interval between checks for broken and idle links.
const maintainInterval = 100 * time.Millisecond

// Ticketer manages the open tickets of one router. Its methods may be called concurrently.
type Ticketer struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	group   errgroup.Group
	wake    chan struct{}

	mu        sync.Mutex
	stopped   bool
	catalogue *cataloguer.Catalogue
	// cellsChanged is set when the number of cells may have changed.
	cellsChanged bool
	tickets      map[string]*ticket
	links        map[string]*link
	// deferred contains the decisions that Run delivers next.
	deferred []decision
}

// New returns a ticketer. It operates only while Run is running.
func New(options Options) *Ticketer {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Ticketer{
		options: options, ctx: ctx, cancel: cancel,
		wake:      make(chan struct{}, 1),
		catalogue: options.Catalogue.Current(),
		tickets:   make(map[string]*ticket),
		links:     make(map[string]*link),
	}
}

// Run applies changes of the member table and the catalogue until ctx ends, then closes the streams.
func (t *Ticketer) Run(ctx context.Context) error {
	defer t.options.Members.Subscribe(func(*detector.View) { t.wakeRun() })()
	defer t.options.Catalogue.Subscribe(func(*cataloguer.Catalogue) { t.wakeRun() })()
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		t.refresh()
		select {
		case <-ctx.Done():
			t.stop(t.cancel)
			_ = t.group.Wait()
			return ctx.Err()
		case <-t.wake:
		case <-ticker.C:
		}
	}
}

// wakeRun makes Run call refresh without waiting for the next tick.
func (t *Ticketer) wakeRun() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// refresh applies the latest member table and catalogue and delivers deferred decisions.
func (t *Ticketer) refresh() {
	t.mu.Lock()
	now := time.Now()
	t.updateCatalogue()
	decisions := append(t.deferred, t.reassign(now)...)
	t.deferred = nil
	t.maintainLinks(now)
	t.mu.Unlock()
	deliver(decisions)
}

// updateCatalogue takes over the latest catalogue. The waiting tickets are assigned to its cells by the next refresh.
func (t *Ticketer) updateCatalogue() {
	if current := t.options.Catalogue.Current(); current != t.catalogue {
		t.catalogue, t.cellsChanged = current, true
	}
}

// Submit sends a ticket to its scheduler. The handler receives at most one grant until a Release returns it as not run;
// after such a Release the ticket waits again. A refusal ends the ticket.
func (t *Ticketer) Submit(message *protocol.Ticket, handler DecisionHandler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.updateCatalogue()
	tk := &ticket{message: message, handler: handler, submitted: now, attempt: message.GetAttempt()}
	t.tickets[message.GetRequestId()] = tk
	if !t.chooseCell(tk) {
		t.deferDecisions(t.refuse(tk, codeNoUpstream, "the pool is not in the catalogue"))
		return
	}
	t.deferDecisions(t.send(now, tk, t.pickScheduler(now, tk.role))...)
}

// deferDecisions leaves the delivery of decisions to Run, so that no handler is called from within Submit or Release.
func (t *Ticketer) deferDecisions(decisions ...decision) {
	if len(decisions) == 0 {
		return
	}
	t.deferred = append(t.deferred, decisions...)
	t.wakeRun()
}

// Cancel removes a ticket. A grant that it holds is released as unused, so its request must not have been dispatched.
func (t *Ticketer) Cancel(requestID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tk, ok := t.tickets[requestID]
	if !ok {
		return
	}
	delete(t.tickets, requestID)
	if !tk.granted {
		t.withdraw(tk)
		return
	}
	t.releaseGrant(time.Now(), tk, &protocol.Release{Kind: protocol.ReleaseKind_RELEASE_KIND_UNUSED})
}

// Release ends the use of a grant. The release is sent to the scheduler that made the grant, or dropped if that
// scheduler is no longer reachable. A release for a request that holds no grant is ignored.
func (t *Ticketer) Release(release *protocol.Release) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	tk, ok := t.tickets[release.GetRequestId()]
	if !ok || !tk.granted || release.GetAttempt() != 0 && release.GetAttempt() != tk.attempt {
		return
	}
	t.releaseGrant(now, tk, release)
	if !release.GetKind().NotRun() {
		delete(t.tickets, release.GetRequestId())
		return
	}
	tk.granted, tk.engine, tk.outbox = false, "", nil
	if !t.chooseCell(tk) {
		t.deferDecisions(t.refuse(tk, codeNoUpstream, "the pool is not in the catalogue"))
		return
	}
	t.deferDecisions(t.send(now, tk, t.pickScheduler(now, tk.role))...)
}

// releaseGrant sends the release of a ticket's grant to the scheduler that made it, if a link to it still exists, and
// to the schedulers that adopted the request.
func (t *Ticketer) releaseGrant(now time.Time, tk *ticket, release *protocol.Release) {
	if l, ok := t.links[tk.target]; ok {
		l.release(now, tk.completeRelease(release))
	}
	for name := range tk.adopters {
		if l, ok := t.links[name]; ok && name != tk.target {
			l.release(now, tk.completeRelease(release))
		}
	}
	tk.adopters = nil
}

// receive processes a message from a scheduler. Messages of a replaced stream are dropped, because the hello of the new
// stream tells the scheduler which grants are held.
func (t *Ticketer) receive(l *link, outbox *messenger.Outbox[protocol.HolderMessage], message *protocol.SchedulerMessage) {
	t.mu.Lock()
	if l.outbox != outbox {
		t.mu.Unlock()
		return
	}
	now := time.Now()
	if !l.confirmed {
		l.confirmed, l.confirmedAt = true, now
	}
	var decisions []decision
	for _, grant := range message.GetGrants() {
		tk := t.tickets[grant.GetRequestId()]
		switch {
		case t.isCurrent(tk, l, grant.GetAttempt()):
			tk.granted, tk.engine, tk.grantedAt = true, grant.GetEngine(), now
			l.held[grant.GetRequestId()] = true
			decisions = append(decisions, decision{handler: tk.handler, grant: grant})
		case tk == nil || !tk.granted || tk.target != l.name || tk.attempt != grant.GetAttempt():
			l.send(&protocol.HolderMessage{Releases: []*protocol.Release{unusedRelease(grant)}})
		}
	}
	for _, refusal := range message.GetRefusals() {
		if tk := t.tickets[refusal.GetRequestId()]; t.isCurrent(tk, l, refusal.GetAttempt()) {
			delete(t.tickets, refusal.GetRequestId())
			decisions = append(decisions, decision{handler: tk.handler, refusal: refusal})
		}
	}
	if len(message.GetNotScheduler()) > 0 {
		t.handleRefusedRoles(now, l, message.GetNotScheduler())
	}
	t.mu.Unlock()
	deliver(decisions)
}

// isCurrent reports whether a decision on an attempt, received on a link, is the one that the ticket waits for.
func (t *Ticketer) isCurrent(tk *ticket, l *link, attempt uint32) bool {
	return tk != nil && !tk.granted && tk.target == l.name && tk.outbox == l.outbox && tk.attempt == attempt
}

// handleRefusedRoles marks the tickets of the refused roles for resending to other routers. Run resends them, which
// limits the rate of attempts while two routers disagree about the ranking.
func (t *Ticketer) handleRefusedRoles(now time.Time, l *link, roles []string) {
	for _, role := range roles {
		l.refusedUntil[role] = now.Add(refusedRoleTimeout)
		for _, tk := range t.tickets {
			if !tk.granted && tk.role == role && tk.target == l.name {
				tk.outbox = nil
			}
		}
	}
	if l.name != t.options.Self {
		t.wakeRun()
	}
}
