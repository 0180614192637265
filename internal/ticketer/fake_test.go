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

// fakeScheduler is the scheduler end of the streams to one router. It records the messages that it receives.
type fakeScheduler struct {
	mu       sync.Mutex
	down     bool
	messages []*protocol.HolderMessage
	receive  func(*protocol.SchedulerMessage)
	fail     context.CancelFunc
}

type refusedError struct{}

func (refusedError) Error() string { return "connection refused" }

func (s *fakeScheduler) Schedule(
	ctx context.Context, _ string, outbox *messenger.Outbox[protocol.HolderMessage],
	receive func(*protocol.SchedulerMessage),
) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	down := s.down
	s.receive, s.fail = receive, cancel
	s.mu.Unlock()
	if down {
		return refusedError{}
	}
	s.reply(&protocol.SchedulerMessage{Heartbeat: true})
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

func (s *fakeScheduler) reply(message *protocol.SchedulerMessage) {
	s.mu.Lock()
	receive := s.receive
	s.mu.Unlock()
	receive(message)
}

func (s *fakeScheduler) grant(attempt uint32) {
	s.reply(&protocol.SchedulerMessage{
		Grants: []*protocol.Grant{{RequestId: "r", Engine: "e", Attempt: attempt, Pool: "chat"}},
	})
}

// breakStream breaks the stream. If down is set, new streams are refused.
func (s *fakeScheduler) breakStream(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.fail()
}

// received returns what the scheduler received since the last call, one string per item.
func (s *fakeScheduler) received() []string {
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
			items = append(items, fmt.Sprintf("ticket %s#%d age %d left %d",
				tk.GetRequestId(), tk.GetAttempt(), tk.GetAgeMs(), tk.GetDeadlineMs()))
		}
	}
	s.messages = nil
	return items
}

type fakeHandler struct {
	mu     sync.Mutex
	events []string
}

func (h *fakeHandler) Granted(g *protocol.Grant)   { h.add(fmt.Sprintf("granted#%d", g.GetAttempt())) }
func (h *fakeHandler) Refused(r *protocol.Refusal) { h.add("refused " + r.GetCode()) }

func (h *fakeHandler) add(event string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, event)
}

func (h *fakeHandler) decisions() []string {
	synctest.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string{}, h.events...)
}

type fakeCatalogue struct{ current *cataloguer.Catalogue }

func (c fakeCatalogue) Current() *cataloguer.Catalogue               { return c.current }
func (c fakeCatalogue) Subscribe(func(*cataloguer.Catalogue)) func() { return func() {} }

// fixture is a ticketer with fake schedulers. ranked lists the other routers by their rank for the role chat/0; the
// router of the ticketer itself is ranked last.
type fixture struct {
	ticketer   *Ticketer
	detector   *detector.Detector
	schedulers map[string]*fakeScheduler
	local      *fakeScheduler
	ranked     []string
	handler    *fakeHandler
}

// Schedule opens a stream to the fake scheduler with the given address, which is also its name.
func (s *fixture) Schedule(
	ctx context.Context, address string, outbox *messenger.Outbox[protocol.HolderMessage],
	receive func(*protocol.SchedulerMessage),
) error {
	return s.schedulers[address].Schedule(ctx, address, outbox, receive)
}

// setMember passes the state of a member to the detector.
func (s *fixture) setMember(t *testing.T, name string, incarnation uint64, state protocol.MemberState) {
	t.Helper()
	row := &protocol.Member{Name: name, Address: name, Incarnation: incarnation, State: state}
	_, err := s.detector.Handle(t.Context(), &protocol.GossipRequest{From: row})
	assert.NilError(t, err)
}

// runWithTicketer runs a test with a ticketer on virtual time.
func runWithTicketer(t *testing.T, test func(t *testing.T, s *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &fixture{schedulers: make(map[string]*fakeScheduler), local: &fakeScheduler{}, handler: &fakeHandler{}}
		ranking := ranker.Rank("chat/0", []string{"a", "b", "c", "d", "e"})
		self := ranking[len(ranking)-1]
		s.ranked = ranking[:len(ranking)-1]
		s.detector = detector.New(detector.Settings{Name: self, Address: self}, nil)
		s.detector.Ready()
		for _, name := range s.ranked {
			s.schedulers[name] = &fakeScheduler{}
			s.setMember(t, name, 1, protocol.MemberState_MEMBER_STATE_ALIVE)
		}
		pools := []cataloguer.Pool{{Name: "chat", Upstreams: make([]cataloguer.Upstream, 1)}}
		s.ticketer = New(Options{
			Self: self, Members: s.detector, Catalogue: fakeCatalogue{&cataloguer.Catalogue{Pools: pools}}, Remote: s, Local: s.local,
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

func (s *fixture) submit(deadline time.Duration) {
	s.ticketer.Submit(&protocol.Ticket{RequestId: "r", Pool: "chat", DeadlineMs: deadline.Milliseconds()}, s.handler)
}
