package holder

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/claimer"
	"coltsfootplank/internal/dispatcher"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/recorder"
	"coltsfootplank/internal/ticketer"
)

// fakeTickets calls decide on each attempt and records the releases.
type fakeTickets struct {
	mu       sync.Mutex
	decide   func(attempt int, handler ticketer.DecisionHandler)
	handler  ticketer.DecisionHandler
	attempts int
	releases []protocol.ReleaseKind
	cancels  int
	avoided  []string
}

func (f *fakeTickets) Submit(ticket *protocol.Ticket, handler ticketer.DecisionHandler) {
	f.handler, f.avoided = handler, ticket.GetAvoid()
	f.next()
}

func (f *fakeTickets) next() {
	f.mu.Lock()
	f.attempts++
	attempt := f.attempts
	f.mu.Unlock()
	f.decide(attempt, f.handler)
}

func (f *fakeTickets) Cancel(string) { f.cancels++ }

func (f *fakeTickets) Release(release *protocol.Release) {
	f.releases = append(f.releases, release.GetKind())
	switch release.GetKind() {
	case protocol.ReleaseKind_RELEASE_KIND_UNUSED, protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE,
		protocol.ReleaseKind_RELEASE_KIND_SHED:
		if f.cancels == 0 {
			f.next()
		}
	default:
	}
}

// fakeClaims gives the same verdict on every claim and counts voided claims and recorded results.
type fakeClaims struct {
	verdict claimer.Verdict
	err     error
	voided  int
	results int
}

func (f *fakeClaims) Claim(context.Context, claimer.Scope, string) (claimer.Verdict, error) {
	return f.verdict, f.err
}

func (f *fakeClaims) Void(context.Context, claimer.Scope, string) error {
	f.voided++
	return nil
}

func (f *fakeClaims) RecordResult(context.Context, claimer.Scope, string, claimer.Result) error {
	f.results++
	return nil
}

// fakeService fails its first calls with the listed errors, then answers after runTime.
type fakeService struct {
	kernel.ServiceProtocol
	errs    []error
	calls   int
	runs    int
	runTime time.Duration
}

func (f *fakeService) Call(ctx context.Context, _ kernel.ServiceRequest) (kernel.ServiceResponse, error) {
	f.calls++
	if len(f.errs) > 0 {
		err := f.errs[0]
		f.errs = f.errs[1:]
		var notSent *kernel.NotSentError
		if !errors.As(err, &notSent) {
			f.runs++
		}
		return kernel.ServiceResponse{}, err
	}
	f.runs++
	timer := time.NewTimer(f.runTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return kernel.ServiceResponse{}, &kernel.ConnectionLostError{Cause: context.Cause(ctx)}
	case <-timer.C:
	}
	return kernel.ServiceResponse{Status: 200, Body: []byte("booked")}, nil
}

type fakeCatalogue struct{ catalogue *cataloguer.Catalogue }

func (f fakeCatalogue) Current() *cataloguer.Catalogue { return f.catalogue }

// fakeAnswer records the response of a service.
type fakeAnswer struct{ body string }

func (f *fakeAnswer) Token(kernel.Frame) error { return nil }
func (f *fakeAnswer) Finish(int) error         { return nil }
func (f *fakeAnswer) Response(response kernel.ServiceResponse) error {
	f.body = string(response.Body)
	return nil
}

// fixture is a holder with one service upstream and fake dependencies.
type fixture struct {
	holder  *Holder
	tickets *fakeTickets
	claims  *fakeClaims
	service *fakeService
	work    *cataloguer.Work
}

// registered is the service that the plug-in "holder_test" returns; each fixture sets its own.
var registered = struct {
	sync.Mutex
	service *fakeService
}{}

func init() {
	kernel.Services.Register("holder_test", func(string) (kernel.ServiceProtocol, func(), error) {
		return registered.service, func() {}, nil
	})
}

func newFixture(settings Settings) *fixture {
	catalogue := (&cataloguer.Catalogue{
		Revision: 1,
		Pools: []cataloguer.Pool{{
			Name: "desk", Protocol: "holder_test",
			Upstreams: []cataloguer.Upstream{{Name: "desk-1", Address: "127.0.0.1:1", Slots: 1}},
		}},
		Works: []cataloguer.Work{{Name: "booking", Class: cataloguer.ClassUnary, Pool: "desk", Path: "/bookings"}},
	}).Index()
	f := &fixture{
		tickets: &fakeTickets{}, service: &fakeService{}, work: &catalogue.Works[0],
		claims: &fakeClaims{verdict: claimer.Verdict{State: claimer.Won, ClaimID: "c"}},
	}
	f.tickets.decide = func(_ int, handler ticketer.DecisionHandler) {
		handler.Granted(&protocol.Grant{Engine: "desk-1"})
	}
	registered.service = f.service
	clients, _ := dispatcher.NewClients()
	f.holder = New(settings, fakeCatalogue{catalogue}, f.tickets, f.claims, clients,
		recorder.New("r", 100), metrics.NewRegistry(), zap.NewNop())
	return f
}

func (f *fixture) request() *Request {
	return &Request{
		ID: "id", Workspace: "w", Work: f.work, Key: "k", Arrived: time.Now(), Answer: &fakeAnswer{},
	}
}

// TestServe guards against a request that runs twice, a request that ran but is refused as not run, a claim that isn't
// voided although nothing ran, a grant that is never released, and a request whose end isn't recorded.
func TestServe(t *testing.T) {
	notSent := &kernel.NotSentError{Cause: io.EOF}
	lost := &kernel.ConnectionLostError{Cause: io.EOF}
	refuse := func(code Code) func(int, ticketer.DecisionHandler) {
		return func(_ int, handler ticketer.DecisionHandler) { handler.Refused(&protocol.Refusal{Code: string(code)}) }
	}
	grantUnknownEngineFirst := func(attempt int, handler ticketer.DecisionHandler) {
		engine := "desk-1"
		if attempt == 1 {
			engine = "gone"
		}
		handler.Granted(&protocol.Grant{Engine: engine})
	}
	cases := []struct {
		name     string
		arrange  func(f *fixture)
		outcome  Outcome
		code     Code
		runs     int
		voided   int
		results  int
		releases []protocol.ReleaseKind
	}{
		{
			name: "answered", runs: 1, results: 1,
			releases: []protocol.ReleaseKind{protocol.ReleaseKind_RELEASE_KIND_ANSWERED},
		},
		{
			name: "not sent, then answered", arrange: func(f *fixture) { f.service.errs = []error{notSent} },
			runs: 1, results: 1, releases: []protocol.ReleaseKind{
				protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE, protocol.ReleaseKind_RELEASE_KIND_ANSWERED,
			},
		},
		{
			name: "lost after the first byte", arrange: func(f *fixture) { f.service.errs = []error{lost} },
			outcome: OutcomeUnknown, code: CodeUpstreamLost, runs: 1,
			releases: []protocol.ReleaseKind{protocol.ReleaseKind_RELEASE_KIND_LOST},
		},
		{
			name: "grant for an engine that left the catalogue", arrange: func(f *fixture) {
				f.tickets.decide = grantUnknownEngineFirst
			},
			runs: 1, results: 1, releases: []protocol.ReleaseKind{
				protocol.ReleaseKind_RELEASE_KIND_UNUSED, protocol.ReleaseKind_RELEASE_KIND_ANSWERED,
			},
		},
		{
			name: "shed", arrange: func(f *fixture) { f.tickets.decide = refuse(CodeOverloaded) },
			outcome: OutcomeNotRun, code: CodeOverloaded, voided: 1,
		},
		{
			name:    "no decision before the deadline",
			arrange: func(f *fixture) { f.tickets.decide = func(int, ticketer.DecisionHandler) {} },
			outcome: OutcomeNotRun, code: CodeDeadlineExpired, voided: 1,
		},
		{
			name: "claimed before", arrange: func(f *fixture) { f.claims.verdict = claimer.Verdict{State: claimer.Duplicate} },
			outcome: OutcomeUnknown, code: CodeDuplicate,
		},
		{
			name: "answered before", arrange: func(f *fixture) {
				f.claims.verdict = claimer.Verdict{State: claimer.Answered, Result: &claimer.Result{Status: 200, Body: []byte("booked")}}
			},
		},
		{
			name: "log down", arrange: func(f *fixture) { f.claims.err = &claimer.UnavailableError{Reason: "down"} },
			outcome: OutcomeNotRun, code: CodeClaimUnavailable,
		},
		{
			name:    "grant and refusal at the same moment",
			arrange: func(f *fixture) { f.tickets.decide = refuseThenGrant },
			outcome: OutcomeNotRun, code: CodeOverloaded, voided: 1,
			releases: []protocol.ReleaseKind{protocol.ReleaseKind_RELEASE_KIND_UNUSED},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(DefaultSettings())
				if c.arrange != nil {
					c.arrange(f)
				}
				request := f.request()
				refusal := f.holder.Serve(t.Context(), request)
				if c.outcome == "" {
					assert.Assert(t, refusal == nil, "%v", refusal)
					assert.Equal(t, request.Answer.(*fakeAnswer).body, "booked")
				} else {
					assert.Equal(t, refusal.Outcome, c.outcome)
					assert.Equal(t, refusal.Code, c.code)
				}
				assert.Equal(t, f.service.runs, c.runs)
				assert.Equal(t, f.claims.voided, c.voided)
				assert.Equal(t, f.claims.results, c.results)
				assert.DeepEqual(t, f.tickets.releases, c.releases)
				assert.Equal(t, len(f.holder.Requests()), 0)
				events := f.holder.recorder.Events()
				last := events[len(events)-1].Kind
				assert.Equal(t, last == recorder.Answered, c.outcome == "", "%s", last)
				assert.Equal(t, last == recorder.Refused, c.outcome != "", "%s", last)
			})
		})
	}
}

func refuseThenGrant(_ int, handler ticketer.DecisionHandler) {
	handler.Refused(&protocol.Refusal{Code: string(CodeOverloaded)})
	handler.Granted(&protocol.Grant{Engine: "desk-1"})
}

// TestServeCallerGone guards against a call that isn't idempotent being cancelled because its caller disconnected after
// dispatch.
func TestServeCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(DefaultSettings())
		f.service.runTime = 2 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		refusal := f.holder.Serve(ctx, f.request())
		assert.Assert(t, refusal == nil, "%v", refusal)
		assert.Equal(t, f.claims.results, 1)
	})
}

// TestDrain guards against a drain that cancels an accepted request or accepts a new one.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(DefaultSettings())
		f.service.runTime = 3 * time.Second
		var group sync.WaitGroup
		var first *Refusal
		group.Go(func() { first = f.holder.Serve(t.Context(), f.request()) })
		time.Sleep(time.Second)
		drained := make(chan time.Time, 1)
		group.Go(func() {
			assert.Check(t, f.holder.Drain(t.Context()))
			drained <- time.Now()
		})
		synctest.Wait()
		second := f.request()
		second.ID = "second"
		refusal := f.holder.Serve(t.Context(), second)
		assert.Equal(t, refusal.Code, CodeDraining)
		assert.Equal(t, refusal.Outcome, OutcomeNotRun)
		began := time.Now()
		group.Wait()
		assert.Assert(t, first == nil, "%v", first)
		assert.Equal(t, (<-drained).Sub(began), 2*time.Second)
		assert.Equal(t, f.service.runs, 1)
	})
}

// TestWaitingAtEndOfDrain guards against requests that still wait at the end of a planned stop being cut off without an
// answer, and against requests being passed on when their answers can't arrive any more.
func TestWaitingAtEndOfDrain(t *testing.T) {
	const drainTime = 2 * time.Second
	lost := SendResult{Kind: protocol.ReleaseKind_RELEASE_KIND_LOST, Resubmit: true}
	for _, c := range []struct {
		name string
		// grants are when the scheduler grants the first and the second attempt; 0 means never.
		grants  []time.Duration
		script  []SendResult
		sends   int
		outcome Outcome
	}{
		{"never granted", []time.Duration{0}, nil, 0, OutcomeNotRun},
		{"granted after the drain", []time.Duration{drainTime + time.Millisecond}, nil, 0, OutcomeNotRun},
		{"lost and not granted again", []time.Duration{time.Second, 0}, []SendResult{lost}, 1, OutcomeUnknown},
		{"answered", []time.Duration{time.Second}, []SendResult{{Kind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED}}, 1, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(DefaultSettings())
				f.tickets.decide = func(attempt int, handler ticketer.DecisionHandler) {
					if attempt <= len(c.grants) && c.grants[attempt-1] > 0 {
						time.AfterFunc(c.grants[attempt-1], func() { handler.Granted(&protocol.Grant{Engine: "elsewhere", Address: "127.0.0.1:1"}) })
					}
				}
				exchange := &scriptedExchange{script: c.script}
				request := f.request()
				request.Key, request.Exchange = "", exchange
				request.Deadline = time.Now().Add(time.Minute)
				var group sync.WaitGroup
				var refusal *Refusal
				group.Go(func() { refusal = f.holder.Serve(t.Context(), request) })
				synctest.Wait()
				ctx, cancel := context.WithTimeout(t.Context(), drainTime)
				defer cancel()
				assert.NilError(t, f.holder.Drain(ctx))
				group.Wait()
				assert.Equal(t, exchange.sends, c.sends)
				if c.outcome == "" {
					assert.Assert(t, refusal == nil)
					return
				}
				assert.Equal(t, refusal.Outcome, c.outcome)
				assert.Equal(t, refusal.Code, CodeDraining)
			})
		})
	}
}

// TestWaitingLimit guards against shedding a request of a higher priority tier while one of a lower tier waits.
func TestWaitingLimit(t *testing.T) {
	cases := []struct {
		name     string
		tiers    []int
		wantShed int
	}{
		{"new request of the lowest tier", []int{0, 1, 3}, 2},
		{"waiting request of a lower tier", []int{3, 0, 0}, 0},
		{"newest of the lowest tier", []int{2, 2, 0}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newRequestTable(2)
			requests := make([]*Request, 0, len(c.tiers))
			var shed *Request
			for _, tier := range c.tiers {
				request := &Request{Work: &cataloguer.Work{Tier: tier}}
				requests = append(requests, request)
				shed = table.add(request)
			}
			assert.Assert(t, shed == requests[c.wantShed])
			assert.Equal(t, table.waitingCount, 2)
		})
	}
}

// TestErrorResult guards against an error that is classified by the error that it wraps. For example, a lost connection
// whose cause is a "not sent" error must not count as not sent: the request may have run, so it must neither be sent
// again nor be reported as failed or not run.
func TestErrorResult(t *testing.T) {
	notSent := &kernel.NotSentError{Cause: io.EOF}
	rejected := &kernel.RejectedError{Status: 500}
	cases := []struct {
		name    string
		err     error
		notSent bool
		outcome Outcome
		code    Code
	}{
		{"not sent", notSent, true, "", ""},
		{"resume could not connect", &dispatcher.TruncatedError{Tokens: 3, Cause: notSent},
			false, OutcomeUnknown, CodeStreamTruncated},
		{"no token, resume could not connect", &dispatcher.TruncatedError{Cause: notSent},
			false, OutcomeUnknown, CodeUpstreamLost},
		{"resume was rejected",
			&dispatcher.TruncatedError{Tokens: 3, Cause: &kernel.ConnectionLostError{Cause: rejected}},
			false, OutcomeUnknown, CodeStreamTruncated},
		{"lost, wrapping not sent", &kernel.ConnectionLostError{Cause: notSent}, false, OutcomeUnknown, CodeUpstreamLost},
		{"lost, wrapping rejected", &kernel.ConnectionLostError{Cause: rejected}, false, OutcomeUnknown, CodeUpstreamLost},
		{"caller gone, wrapping not sent", &dispatcher.CallerGoneError{Cause: notSent}, false, OutcomeUnknown, CodeCallerGone},
		{"rejected", rejected, false, OutcomeFailed, CodeUpstreamFailed},
	}
	for _, c := range cases {
		result := errorResult(c.err)
		assert.Equal(t, result.notSent, c.notSent, c.name)
		if !c.notSent {
			assert.Equal(t, result.refusal.Outcome, c.outcome, c.name)
			assert.Equal(t, result.refusal.Code, c.code, c.name)
		}
	}
}
