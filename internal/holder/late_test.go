package holder

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/dispatcher"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/recorder"
	"coltsfootplank/internal/ticketer"
)

// lateUpstream answers with two tokens. While the first attempt runs, it delivers decisions to the request: before the
// first token, or after it.
type lateUpstream struct {
	kernel.EngineProtocol
	t          *testing.T
	request    *Request
	decisions  []decision
	afterToken bool
	lost       bool
	attempts   int
	running    int
}

func (u *lateUpstream) begin() {
	u.attempts++
	u.running++
	assert.Equal(u.t, u.running, 1, "attempts at the same time")
}

func (u *lateUpstream) deliverLate(now bool) {
	if !now || u.attempts != 1 {
		return
	}
	for _, d := range u.decisions {
		if d.grant != nil {
			u.request.Granted(d.grant)
		} else {
			u.request.Refused(&protocol.Refusal{Code: string(d.refusal.Code)})
		}
	}
	time.Sleep(time.Second)
}

// Send implements Exchange. A lost attempt has sent the first token.
func (u *lateUpstream) Send(context.Context, *cataloguer.Upstream) SendResult {
	u.begin()
	defer func() { u.running-- }()
	answer := u.request.Answer.(*strictAnswer)
	u.deliverLate(!u.afterToken)
	if answer.tokens == 0 {
		assert.NilError(u.t, answer.Token(kernel.Frame{}))
	}
	u.deliverLate(u.afterToken)
	if u.lost && u.attempts == 1 {
		return SendResult{Kind: protocol.ReleaseKind_RELEASE_KIND_LOST, Resubmit: true}
	}
	assert.NilError(u.t, answer.Token(kernel.Frame{Index: 1}))
	assert.NilError(u.t, answer.Finish(2))
	return SendResult{Kind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED}
}

func (u *lateUpstream) Generate(context.Context, kernel.GenerateRequest) (kernel.TokenStream, error) {
	u.begin()
	u.deliverLate(!u.afterToken)
	return &lateStream{upstream: u}, nil
}

func (u *lateUpstream) Resume(_ context.Context, _ string, from int) (kernel.TokenStream, error) {
	u.begin()
	return &lateStream{upstream: u, next: from}, nil
}

type lateStream struct {
	upstream *lateUpstream
	next     int
}

func (s *lateStream) Next() (kernel.Frame, error) {
	frame := kernel.Frame{StreamID: s.upstream.request.ID, Index: s.next}
	if s.next == 1 {
		s.upstream.deliverLate(s.upstream.afterToken)
		if s.upstream.lost && s.upstream.attempts == 1 {
			return kernel.Frame{}, &kernel.ConnectionLostError{Cause: io.ErrUnexpectedEOF}
		}
	}
	if s.next == 2 {
		frame.Done, frame.Total = true, 2
	}
	s.next++
	return frame, nil
}

func (s *lateStream) Close() error {
	s.upstream.running--
	return nil
}

// strictAnswer fails the test if the tokens aren't in order or if something follows the end of the answer or of Serve.
type strictAnswer struct {
	t               *testing.T
	tokens          int
	ended, returned bool
}

func (a *strictAnswer) Token(frame kernel.Frame) error {
	assert.Assert(a.t, !a.ended && !a.returned && frame.Index == a.tokens, "token %d: %+v", frame.Index, a)
	a.tokens++
	return nil
}

func (a *strictAnswer) Finish(total int) error {
	assert.Assert(a.t, !a.ended && !a.returned && total == a.tokens, "end at %d: %+v", total, a)
	a.ended = true
	return nil
}

func (a *strictAnswer) Response(kernel.ServiceResponse) error {
	a.t.Errorf("whole answer in a stream: %+v", a)
	return nil
}

var lateEngine *lateUpstream

func init() {
	kernel.Engines.Register("holder_late_test", func(string) (kernel.EngineProtocol, func(), error) {
		return lateEngine, func() {}, nil
	})
}

// TestLateDecisions guards against an answer that a decision changes after the answer has begun: a refusal or another
// grant that arrives while the first attempt runs, or after the end.
func TestLateDecisions(t *testing.T) {
	grant := decision{grant: &protocol.Grant{Engine: "e", Address: "127.0.0.1:1"}}
	refusal := decision{refusal: &Refusal{Code: CodeOverloaded}}
	late := [][]decision{
		nil, {refusal}, {grant}, {grant, grant}, {refusal, grant}, {grant, refusal},
		{grant, grant, grant, grant, grant, grant, refusal},
	}
	for _, opaque := range []bool{false, true} {
		for _, lost := range []bool{false, true} {
			for _, afterToken := range []bool{false, true} {
				for _, decisions := range late {
					name := fmt.Sprintf("opaque=%t/lost=%t/after_token=%t/%s", opaque, lost, afterToken, decisionNames(decisions))
					t.Run(name, func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							u := &lateUpstream{t: t, decisions: decisions, afterToken: afterToken, lost: lost}
							runLate(t, u, opaque, grant)
						})
					})
				}
			}
		}
	}
}

func decisionNames(decisions []decision) string {
	names := []string{"late"}
	for _, d := range decisions {
		if d.grant != nil {
			names = append(names, "grant")
		} else {
			names = append(names, "refusal")
		}
	}
	return strings.Join(names, "_")
}

// lateTickets grants each ticket once. As with the ticketer, a release of a request that holds no grant has no effect.
type lateTickets struct {
	grant    *protocol.Grant
	open     bool
	handler  ticketer.DecisionHandler
	submits  int
	releases []protocol.ReleaseKind
}

func (l *lateTickets) Submit(_ *protocol.Ticket, handler ticketer.DecisionHandler) {
	l.open, l.handler = true, handler
	l.submits++
	handler.Granted(l.grant)
}

func (l *lateTickets) Cancel(string) { l.open = false }

func (l *lateTickets) Release(release *protocol.Release) {
	if !l.open {
		return
	}
	l.releases = append(l.releases, release.GetKind())
	l.open = release.GetKind().NotRun()
	if l.open {
		l.handler.Granted(l.grant)
	}
}

// runLate serves a request, which must be answered whole whatever arrives late.
func runLate(t *testing.T, u *lateUpstream, opaque bool, grant decision) {
	catalogue := (&cataloguer.Catalogue{
		Revision: 1,
		Pools: []cataloguer.Pool{{
			Name: "models", Protocol: "holder_late_test", Upstreams: []cataloguer.Upstream{{Name: "e", Address: "127.0.0.1:1", Slots: 1}},
		}},
		Works: []cataloguer.Work{{Name: "brief", Class: cataloguer.ClassStream, Pool: "models", Model: "m", Idempotent: true}},
	}).Index()
	tickets := &lateTickets{grant: grant.grant}
	clients, _ := dispatcher.NewClients()
	h := New(DefaultSettings(), fakeCatalogue{catalogue}, tickets, nil, clients, recorder.New("r", 100),
		metrics.NewRegistry(), zap.NewNop())
	answer := &strictAnswer{t: t}
	u.request = &Request{ID: "id", Workspace: "w", Work: &catalogue.Works[0], Arrived: time.Now(), Answer: answer}
	lateEngine = u
	if opaque {
		u.request.Exchange = u
	}
	refusal := h.Serve(t.Context(), u.request)
	answer.returned = true
	assert.Equal(t, u.running, 0)
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Assert(t, answer.ended)
	for range 2 * decisionBuffer {
		u.request.Granted(grant.grant)
		u.request.Refused(&protocol.Refusal{Code: string(CodeOverloaded)})
	}
	time.Sleep(time.Minute)
	assert.Equal(t, u.running, 0)
	assert.Equal(t, len(h.Requests()), 0)
	assert.Assert(t, !tickets.open, "the ticket stays open")
	assert.Equal(t, len(tickets.releases), tickets.submits, "%v", tickets.releases)
}
