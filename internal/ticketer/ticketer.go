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

// maintainInterval is the time between looks at broken and idle links.
const maintainInterval = 100 * time.Millisecond

// Ticketer holds the open tickets of one router. Its methods may be called concurrently.
type Ticketer struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	group   errgroup.Group
	wake    chan struct{}

	mu        sync.Mutex
	stopped   bool
	catalogue *cataloguer.Catalogue
	// recell is set when the number of cells may have changed.
	recell   bool
	tickets  map[string]*ticket
	links    map[string]*link
	deferred []decision
}

// New returns a ticketer. It works while Run does.
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

// Run follows the member table and the catalogue until ctx ends, then closes the streams.
func (t *Ticketer) Run(ctx context.Context) error {
	defer t.options.Members.Subscribe(func(*detector.View) { t.signal() })()
	defer t.options.Catalogue.Subscribe(func(*cataloguer.Catalogue) { t.signal() })()
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

func (t *Ticketer) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// refresh applies the newest view and catalogue.
func (t *Ticketer) refresh() {
	t.mu.Lock()
	now := time.Now()
	if current := t.options.Catalogue.Current(); current != t.catalogue {
		t.catalogue, t.recell = current, true
	}
	decisions := append(t.deferred, t.reassign(now)...)
	t.deferred = nil
	t.maintain(now)
	t.mu.Unlock()
	deliver(decisions)
}

// Submit sends a ticket to its scheduler. The decider is told of one grant between Submit and a Release that returns it
// unused; after that Release the ticket waits again. A refusal ends the ticket.
func (t *Ticketer) Submit(message *protocol.Ticket, decider DecisionHandler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	tk := &ticket{message: message, decider: decider, submitted: now, attempt: message.GetAttempt()}
	t.tickets[message.GetRequestId()] = tk
	if !t.chooseCell(tk) {
		t.later(t.refuse(tk, codeNoUpstream, "the pool is not in the catalogue"))
		return
	}
	t.later(t.send(now, tk, t.pick(now, tk.role))...)
}

// later leaves decisions to Run, so that no decider is called from within Submit or Release.
func (t *Ticketer) later(decisions ...decision) {
	if len(decisions) == 0 {
		return
	}
	t.deferred = append(t.deferred, decisions...)
	t.signal()
}

// Cancel forgets a ticket. A grant that it holds is returned unused, so it must not have been dispatched.
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
	t.giveBack(time.Now(), tk, &protocol.Release{Kind: protocol.ReleaseKind_RELEASE_KIND_UNUSED})
}

// Release ends the use of a grant. It goes to the scheduler that granted, and is dropped when that one is gone. A
// release for a request that holds no grant is ignored.
func (t *Ticketer) Release(release *protocol.Release) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	tk, ok := t.tickets[release.GetRequestId()]
	if !ok || !tk.granted || release.GetAttempt() != 0 && release.GetAttempt() != tk.attempt {
		return
	}
	t.giveBack(now, tk, release)
	if !release.GetKind().NotRun() {
		delete(t.tickets, release.GetRequestId())
		return
	}
	tk.granted, tk.engine, tk.session = false, "", nil
	if !t.chooseCell(tk) {
		t.later(t.refuse(tk, codeNoUpstream, "the pool is not in the catalogue"))
		return
	}
	t.later(t.send(now, tk, t.pick(now, tk.role))...)
}

// giveBack sends the release of a ticket's grant if the link to its scheduler still exists, and to those that adopted it.
func (t *Ticketer) giveBack(now time.Time, tk *ticket, release *protocol.Release) {
	if l, ok := t.links[tk.target]; ok {
		l.release(now, tk.release(release))
	}
	for name := range tk.adopters {
		if l, ok := t.links[name]; ok && name != tk.target {
			l.release(now, tk.release(release))
		}
	}
	tk.adopters = nil
}

// receive applies a message of a scheduler. Messages of a stream that was replaced are dropped: the hello of
// the next stream tells the scheduler which grants are held.
func (t *Ticketer) receive(l *link, outbox *messenger.Outbox[protocol.HolderMessage], message *protocol.SchedulerMessage) {
	t.mu.Lock()
	if l.outbox != outbox {
		t.mu.Unlock()
		return
	}
	now := time.Now()
	if !l.confirmed {
		l.confirmed, l.since = true, now
	}
	var decisions []decision
	for _, grant := range message.GetGrants() {
		tk := t.tickets[grant.GetRequestId()]
		switch {
		case t.current(tk, l, grant.GetAttempt()):
			tk.granted, tk.engine, tk.grantedAt = true, grant.GetEngine(), now
			l.held[grant.GetRequestId()] = true
			decisions = append(decisions, decision{decider: tk.decider, grant: grant})
		case tk == nil || !tk.granted || tk.target != l.name || tk.attempt != grant.GetAttempt():
			l.send(&protocol.HolderMessage{Releases: []*protocol.Release{unused(grant)}})
		}
	}
	for _, refusal := range message.GetRefusals() {
		if tk := t.tickets[refusal.GetRequestId()]; t.current(tk, l, refusal.GetAttempt()) {
			delete(t.tickets, refusal.GetRequestId())
			decisions = append(decisions, decision{decider: tk.decider, refusal: refusal})
		}
	}
	if len(message.GetNotScheduler()) > 0 {
		t.notScheduler(now, l, message.GetNotScheduler())
	}
	t.mu.Unlock()
	deliver(decisions)
}

// current says whether a decision on an attempt, received on a link, is the one that the ticket waits for.
func (t *Ticketer) current(tk *ticket, l *link, attempt uint32) bool {
	return tk != nil && !tk.granted && tk.target == l.name && tk.session == l.outbox && tk.attempt == attempt
}

// notScheduler makes the tickets of the refused roles go elsewhere. Run sends them, which bounds the rate of tries
// while two routers disagree.
func (t *Ticketer) notScheduler(now time.Time, l *link, roles []string) {
	for _, role := range roles {
		l.refused[role] = now.Add(refusedTime)
		for _, tk := range t.tickets {
			if !tk.granted && tk.role == role && tk.target == l.name {
				tk.session = nil
			}
		}
	}
	if l.name != t.options.Self {
		t.signal()
	}
}
