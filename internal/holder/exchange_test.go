package holder

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/ticketer"
)

// scriptedExchange returns the results of its script one after the other.
type scriptedExchange struct {
	script []SendResult
	sends  int
	// upstream is that of the last call.
	upstream cataloguer.Upstream
}

func (s *scriptedExchange) Send(_ context.Context, upstream *cataloguer.Upstream) SendResult {
	s.sends++
	s.upstream = *upstream
	sent := s.script[0]
	s.script = s.script[1:]
	return sent
}

// TestExchange guards against a request that may have run being refused as not run, and against a request that waits
// for a grant although no ticket is open for it. It also guards against a repeat that is sent to the engine that failed it, and
// against an upstream of which it isn't known whether it has been removed.
func TestExchange(t *testing.T) {
	full := &Refusal{Outcome: OutcomeNotRun, Code: CodeOverloaded}
	lost := &Refusal{Outcome: OutcomeUnknown, Code: CodeUpstreamLost}
	const (
		answered    = protocol.ReleaseKind_RELEASE_KIND_ANSWERED
		unreachable = protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE
		shed        = protocol.ReleaseKind_RELEASE_KIND_SHED
		lostKind    = protocol.ReleaseKind_RELEASE_KIND_LOST
	)
	cases := []struct {
		name    string
		script  []SendResult
		outcome Outcome
		sends   int
		// avoided are the engines that the last ticket names as failed.
		avoided []string
	}{
		{"answered", []SendResult{{Kind: answered}}, "", 1, nil},
		{"unreachable, then answered", []SendResult{{Kind: unreachable}, {Kind: answered}}, "", 2, nil},
		{"full", []SendResult{{Kind: shed, Refusal: full}}, OutcomeNotRun, 1, nil},
		{"full, then answered", []SendResult{{Kind: shed}, {Kind: answered}}, "", 2, nil},
		{"lost", []SendResult{{Kind: lostKind, Refusal: lost}}, OutcomeUnknown, 1, nil},
		{"lost and sent again", []SendResult{{Kind: lostKind, Resubmit: true}, {Kind: answered}}, "", 2, []string{"elsewhere"}},
		{"full after a lost run", []SendResult{{Kind: lostKind, Resubmit: true}, {Kind: shed, Refusal: full}}, OutcomeUnknown, 2, []string{"elsewhere"}},
		{"failed twice", []SendResult{{Kind: lostKind, Resubmit: true}, {Kind: lostKind, Resubmit: true}, {Kind: answered}}, "", 3,
			[]string{"elsewhere", "elsewhere"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(DefaultSettings())
			f.tickets.decide = func(_ int, handler ticketer.DecisionHandler) {
				handler.Granted(&protocol.Grant{Engine: "elsewhere", Address: "127.0.0.1:1", Registered: 7})
			}
			exchange := &scriptedExchange{script: c.script}
			request := f.request()
			request.Key = ""
			request.Exchange = exchange
			refusal := f.holder.Serve(t.Context(), request)
			assert.Equal(t, exchange.sends, c.sends)
			assert.DeepEqual(t, exchange.upstream, cataloguer.Upstream{Name: "elsewhere", Address: "127.0.0.1:1", Registered: 7})
			assert.DeepEqual(t, f.tickets.avoided, c.avoided)
			if c.outcome == "" {
				assert.Assert(t, refusal == nil)
				return
			}
			assert.Equal(t, refusal.Outcome, c.outcome)
		})
	}
}

// TestRefusedAfterRun guards against a request being refused as not run by the scheduler after an earlier upstream may
// have run it.
func TestRefusedAfterRun(t *testing.T) {
	f := newFixture(DefaultSettings())
	f.tickets.decide = func(attempt int, handler ticketer.DecisionHandler) {
		if attempt > 1 {
			handler.Refused(&protocol.Refusal{Code: string(CodeOverloaded)})
			return
		}
		handler.Granted(&protocol.Grant{Engine: "elsewhere", Address: "127.0.0.1:1"})
	}
	request := f.request()
	request.Key = ""
	request.Exchange = &scriptedExchange{script: []SendResult{{Kind: protocol.ReleaseKind_RELEASE_KIND_LOST, Resubmit: true}}}
	refusal := f.holder.Serve(t.Context(), request)
	assert.Equal(t, refusal.Outcome, OutcomeUnknown)
}

// TestReleaseOfStatedLoad guards against releases without the load that the upstream stated, in particular those of answers
// that failed or were shed, with a load that is stated by nobody, and with the time of the release as that of the statement.
func TestReleaseOfStatedLoad(t *testing.T) {
	f := newFixture(DefaultSettings())
	load := kernel.StatedLoad{Running: 3, Waiting: 1, Slots: 7, WorkPercent: 250}
	for kind := range protocol.ReleaseKind_name {
		result := SendResult{Kind: protocol.ReleaseKind(kind), Load: load, LoadAt: time.Now().Add(-time.Second)}
		got := exchangeRelease(f.request(), &protocol.Grant{}, result).GetLoad()
		assert.DeepEqual(t, []uint32{got.GetRunning(), got.GetWaiting(), got.GetSlots(), got.GetWorkPercent()}, []uint32{3, 1, 7, 250})
		assert.Assert(t, got.GetAgeMs() >= 1000 && got.GetAgeMs() < 60_000)
		result.Load = kernel.StatedLoad{}
		assert.Assert(t, exchangeRelease(f.request(), &protocol.Grant{}, result).GetLoad() == nil)
	}
}
