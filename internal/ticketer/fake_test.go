package ticketer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/ranker"
)

// scheduler is the other end of the streams to one router. It records what it is sent.
type scheduler struct {
	mu       sync.Mutex
	down     bool
	messages []*protocol.HolderMessage
	receive  func(*protocol.SchedulerMessage)
	fail     context.CancelFunc
}

type refusedError struct{}

func (refusedError) Error() string { return "connection refused" }

func (s *scheduler) Schedule(ctx context.Context, _ string, outbox *messenger.Outbox[protocol.HolderMessage], receive func(*protocol.SchedulerMessage)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	down := s.down
	s.receive, s.fail = receive, cancel
	s.mu.Unlock()
	if down {
		return refusedError{}
	}
	s.answer(&protocol.SchedulerMessage{Heartbeat: true})
	for {
		select {
		case <-ctx.Done():
			outbox.Close()
			return ctx.Err()
		case <-outbox.Ready():
		}
		message, err := outbox.Take()
		if err != nil {
			return err
		}
		if message != nil {
			s.mu.Lock()
			s.messages = append(s.messages, message)
			s.mu.Unlock()
		}
	}
}

func (s *scheduler) answer(message *protocol.SchedulerMessage) {
	s.mu.Lock()
	receive := s.receive
	s.mu.Unlock()
	receive(message)
}

func (s *scheduler) grant(attempt uint32) {
	s.answer(&protocol.SchedulerMessage{Grants: []*protocol.Grant{{RequestId: "r", Engine: "e", Attempt: attempt, Pool: "chat"}}})
}

// breakStream breaks the stream; down keeps it from being opened again.
func (s *scheduler) breakStream(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.fail()
}

// sent returns what was sent so far, one word per item, and forgets it.
func (s *scheduler) sent() []string {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []string{}
	for _, m := range s.messages {
		if m.GetHello() != nil {
			items = append(items, fmt.Sprintf("hello%v", m.GetHello().GetHeld()))
		}
		for _, id := range m.GetCancels() {
			items = append(items, "cancel "+id)
		}
		for _, r := range m.GetReleases() {
			items = append(items, fmt.Sprintf("release %s#%d %s", r.GetRequestId(), r.GetAttempt(), r.GetKind()))
		}
		for _, tk := range m.GetTickets() {
			items = append(items, fmt.Sprintf("ticket %s#%d age %d left %d", tk.GetRequestId(), tk.GetAttempt(), tk.GetAgeMs(), tk.GetDeadlineMs()))
		}
	}
	s.messages = nil
	return items
}

type decider struct {
	mu     sync.Mutex
	events []string
}

func (d *decider) Granted(g *protocol.Grant)   { d.add(fmt.Sprintf("granted#%d", g.GetAttempt())) }
func (d *decider) Refused(r *protocol.Refusal) { d.add("refused " + r.GetCode()) }

func (d *decider) add(event string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, event)
}

func (d *decider) seen() []string {
	synctest.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string{}, d.events...)
}

type catalogue struct{ current *cataloguer.Catalogue }

func (c catalogue) Current() *cataloguer.Catalogue               { return c.current }
func (c catalogue) Subscribe(func(*cataloguer.Catalogue)) func() { return func() {} }

// setup is one ticketer with fake schedulers. ranked lists the other routers by their rank for chat/0; the
// router of the ticketer itself is ranked last.
type setup struct {
	ticketer   *Ticketer
	detector   *detector.Detector
	schedulers map[string]*scheduler
	local      *scheduler
	ranked     []string
	decider    *decider
}

// Schedule dials a fake scheduler by its address, which is its name.
func (s *setup) Schedule(ctx context.Context, address string, outbox *messenger.Outbox[protocol.HolderMessage], receive func(*protocol.SchedulerMessage)) error {
	return s.schedulers[address].Schedule(ctx, address, outbox, receive)
}

// tell gives the detector a row about a member.
func (s *setup) tell(t *testing.T, name string, incarnation uint64, state protocol.MemberState) {
	t.Helper()
	row := &protocol.Member{Name: name, Address: name, Incarnation: incarnation, State: state}
	_, err := s.detector.Handle(t.Context(), &protocol.GossipRequest{From: row})
	assert.NilError(t, err)
}

// run starts a ticketer on virtual time.
func run(t *testing.T, test func(t *testing.T, s *setup)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &setup{schedulers: make(map[string]*scheduler), local: &scheduler{}, decider: &decider{}}
		ranking := ranker.Rank("chat/0", []string{"a", "b", "c", "d", "e"})
		self := ranking[len(ranking)-1]
		s.ranked = ranking[:len(ranking)-1]
		s.detector = detector.New(detector.Settings{Name: self, Address: self}, nil)
		s.detector.Ready()
		for _, name := range s.ranked {
			s.schedulers[name] = &scheduler{}
			s.tell(t, name, 1, protocol.MemberState_MEMBER_STATE_ALIVE)
		}
		pools := []cataloguer.Pool{{Name: "chat", Upstreams: make([]cataloguer.Upstream, 1)}}
		s.ticketer = New(Options{
			Self: self, Members: s.detector, Catalogue: catalogue{&cataloguer.Catalogue{Pools: pools}}, Remote: s, Local: s.local,
		})
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return s.ticketer.Run(ctx) })
		synctest.Wait()
		test(t, s)
		cancel()
		assert.ErrorIs(t, group.Wait(), context.Canceled)
	})
}

func (s *setup) submit(deadline time.Duration) {
	s.ticketer.Submit(&protocol.Ticket{RequestId: "r", Pool: "chat", DeadlineMs: deadline.Milliseconds()}, s.decider)
}
