package claimer

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/fakes"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

// TestMemoryRegister guards against two claims of a scope that both win, and against a router that reports a claim as
// won although a restart may have lost an earlier one.
func TestMemoryRegister(t *testing.T) {
	const (
		released  = protocol.ClaimState_CLAIM_STATE_UNSPECIFIED
		won       = protocol.ClaimState_CLAIM_STATE_WON
		lost      = protocol.ClaimState_CLAIM_STATE_LOST
		uncertain = protocol.ClaimState_CLAIM_STATE_UNCERTAIN
	)
	steps := []struct {
		after     time.Duration
		scope     uint64
		id        string
		requestID string
		want      protocol.ClaimState
	}{
		{scope: 1, id: "a", requestID: "r", want: uncertain},
		{scope: 1, id: "b", requestID: "r", want: lost},
		{after: MemoryWindow - time.Second, scope: 2, id: "c", requestID: "r", want: uncertain},
		{after: time.Second, scope: 1, id: "b", requestID: "r", want: won},
		{scope: 1, id: "b", requestID: "r", want: won},
		{scope: 1, id: "d", requestID: "r", want: lost},
		{scope: 1, id: "d", want: released},
		{scope: 1, id: "e", requestID: "r", want: lost},
		{scope: 2, id: "c", requestID: "r", want: won},
		{scope: 1, id: "b", want: released},
		{scope: 1, id: "e", requestID: "r", want: won},
		{after: MemoryWindow - time.Second, scope: 1, id: "f", requestID: "r", want: lost},
		{after: time.Second, scope: 1, id: "f", requestID: "r", want: won},
	}
	synctest.Test(t, func(t *testing.T) {
		memory := NewMemoryClaims(nil)
		for i, s := range steps {
			time.Sleep(s.after)
			verdicts := memory.Register([]*protocol.ClaimEntry{{ScopeHash: s.scope, ClaimId: s.id, RequestId: s.requestID}})
			assert.Equal(t, verdicts[0].GetState(), s.want, "step %d", i)
			assert.Equal(t, verdicts[0].GetClaimId(), s.id)
		}
	})
}

// startTestClaimers runs n claimers, of which "0" and "1" are the home routers of every scope. Registering a claim
// fails at the routers for which down is true.
func startTestClaimers(t *testing.T, n int, log kernel.LogProtocol, down map[string]bool) []*Claimer {
	t.Helper()
	claimers := make(map[string]*Claimer)
	options := Options{
		RankRouters: func(uint64) []string { return []string{"0", "1", "2"} },
		RegisterRemote: func(_ context.Context, router string, entries []*protocol.ClaimEntry) ([]*protocol.ClaimVerdict, error) {
			time.Sleep(time.Millisecond)
			if down[router] {
				return nil, &kernel.NotSentError{Address: router}
			}
			return claimers[router].Register(entries), nil
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	list := make([]*Claimer, n)
	for i := range list {
		list[i] = New(log, Identity{Router: fmt.Sprint(i), Incarnation: 1}, options, zap.NewNop())
		claimers[fmt.Sprint(i)] = list[i]
		group.Go(func() error { return list[i].Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		assert.Assert(t, errors.Is(group.Wait(), context.Canceled))
	})
	time.Sleep(MemoryWindow)
	return list
}

var inMemoryScope = Scope{Workspace: "caruaru", Work: "brief", Key: "k", AllowInMemory: true}

// TestClaimInMemory guards against a keyed request that runs twice while the log is unavailable or stays blocked after
// it was rejected, and against a claim in memory for a scope that doesn't allow it.
func TestClaimInMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := fakes.NewLog()
		down := map[string]bool{}
		claimers := startTestClaimers(t, 4, log, down)
		log.SetOutage(true)
		_, err := claimWithin(t, claimers[2], time.Second, depositScope)
		assert.Assert(t, isUnavailable(err), "%v", err)
		down["1"] = true
		_, err = claimWithin(t, claimers[2], time.Second, inMemoryScope)
		assert.Assert(t, isUnavailable(err), "%v", err)
		down["1"] = false

		verdicts := make([]Verdict, len(claimers))
		var group errgroup.Group
		for i, c := range claimers {
			group.Go(func() (err error) {
				verdicts[i], err = c.Claim(t.Context(), inMemoryScope, "request")
				return err
			})
		}
		assert.NilError(t, group.Wait())
		winner := -1
		for i, verdict := range verdicts {
			if verdict.State == Won {
				assert.Equal(t, winner, -1, "%v", verdicts)
				winner = i
			}
		}
		assert.Assert(t, winner >= 0, "%v", verdicts)

		log.SetOutage(false)
		time.Sleep(MemoryWindow)
		laterReader := startTestClaimers(t, 1, log, down)[0]
		again, err := claimWithin(t, laterReader, time.Second, inMemoryScope)
		assert.NilError(t, err)
		assert.Equal(t, again.State, Duplicate)
		assert.Equal(t, again.ClaimID, verdicts[winner].ClaimID)
		assert.NilError(t, claimers[winner].RecordResult(t.Context(), inMemoryScope, again.ClaimID, Result{Status: 200}))
		synctest.Wait()
		again, err = claimWithin(t, laterReader, time.Second, inMemoryScope)
		assert.NilError(t, err)
		assert.Equal(t, again.State, Answered)
	})
}

// TestClaimAfterOutage guards against a claim that wins on the log after an outage although an earlier claim won in
// memory and its record is not on the log yet.
func TestClaimAfterOutage(t *testing.T) {
	cases := []struct {
		name  string
		down  map[string]bool
		after time.Duration
		want  State
	}{
		{name: "both home routers reachable", want: Duplicate},
		{name: "one home router reachable", down: map[string]bool{"0": true}, want: Duplicate},
		{name: "no home router reachable", down: map[string]bool{"0": true, "1": true}},
		{name: "no home router reachable after the grace period", down: map[string]bool{"0": true, "1": true}, after: recoveryGrace + time.Second, want: Won},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := fakes.NewLog()
				down := map[string]bool{}
				claimers := startTestClaimers(t, 4, log, down)
				log.SetOutage(true)
				time.Sleep(5 * time.Second)
				first, err := claimWithin(t, claimers[2], time.Second, inMemoryScope)
				assert.NilError(t, err)
				assert.Equal(t, first.State, Won)
				log.SetAppendOutcome(func(_ string, data []byte) fakes.AppendOutcome {
					if b, err := decodeBatch(kernel.LogRecord{Data: data}); err == nil && b.Router == "2" {
						return fakes.AppendRateLimited
					}
					return fakes.AppendAcked
				})
				log.SetOutage(false)
				time.Sleep(3*time.Second + c.after)
				for router := range c.down {
					down[router] = true
				}
				second, err := claimWithin(t, claimers[3], time.Second, inMemoryScope)
				if c.want == 0 {
					assert.Assert(t, isUnavailable(err), "%v", err)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, second.State, c.want)
			})
		})
	}
}
