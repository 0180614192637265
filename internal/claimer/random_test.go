package claimer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootplank/internal/fakes"
)

type randomStep struct {
	Kind           string
	Router         int
	Key            int
	Wait           time.Duration
	AppendOutcomes []fakes.AppendOutcome
}

func drawSteps(t *rapid.T) []randomStep {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) randomStep {
		return randomStep{
			Kind: rapid.SampledFrom([]string{
				"answer", "answer", "dispatch", "refuse", "refuse", "outage", "slow", "heal", "late", "fates", "restart",
			}).Draw(t, "kind"),
			Router:         rapid.IntRange(0, 2).Draw(t, "router"),
			Key:            rapid.IntRange(0, 1).Draw(t, "key"),
			Wait:           time.Duration(rapid.SampledFrom([]int{0, 1, 30, 500, 5000}).Draw(t, "wait_ms")) * time.Millisecond,
			AppendOutcomes: rapid.SliceOfN(rapid.SampledFrom([]fakes.AppendOutcome{0, 1, 2, 3, 4}), 1, 4).Draw(t, "fates"),
		}
	}), 1, 25).Draw(t, "steps")
}

// randomRun executes steps against three routers and records which claims were dispatched.
type randomRun struct {
	log        *fakes.Log
	mu         sync.Mutex
	dispatched map[int][]string
	answered   map[int]bool
	problems   []string
}

func (r *randomRun) addProblem(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, fmt.Sprintf(format, arguments...))
}

func (r *randomRun) request(c *Claimer, s randomStep) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second+s.Wait)
	defer cancel()
	scope := Scope{Key: fmt.Sprint(s.Key)}
	verdict, err := c.Claim(ctx, scope, "request")
	if err != nil || verdict.State != Won {
		return
	}
	if s.Kind == "refuse" {
		_ = c.Void(ctx, scope, verdict.ClaimID) // stored later if the log is down now
		return
	}
	r.mu.Lock()
	r.dispatched[s.Key] = append(r.dispatched[s.Key], verdict.ClaimID)
	r.mu.Unlock()
	if s.Kind == "answer" && c.RecordResult(ctx, scope, verdict.ClaimID, Result{Status: 200 + s.Key}) == nil {
		r.mu.Lock()
		r.answered[s.Key] = true
		r.mu.Unlock()
	}
}

func (r *randomRun) run(t *testing.T, steps []randomStep) {
	r.log = fakes.NewLog()
	claimers := make([]*Claimer, 3)
	stops := make([]func(), 3)
	restarts := uint64(0)
	for i := range claimers {
		claimers[i], stops[i] = startTestClaimer(t, r.log, fmt.Sprint(i), restarts)
	}
	var group errgroup.Group
	for _, s := range steps {
		switch s.Kind {
		case "outage":
			r.log.SetOutage(true)
		case "slow":
			r.log.SetDelay(s.Wait / 2)
		case "heal":
			r.log.SetOutage(false)
			r.log.SetDelay(0)
			r.log.SetAppendOutcome(nil)
		case "late":
			r.log.StoreDelayed()
		case "fates":
			call := 0
			r.log.SetAppendOutcome(func(string, []byte) fakes.AppendOutcome { call++; return s.AppendOutcomes[call%len(s.AppendOutcomes)] })
		case "restart":
			stops[s.Router]()
			restarts++
			claimers[s.Router], stops[s.Router] = startTestClaimer(t, r.log, fmt.Sprint(s.Router), restarts)
		default:
			c := claimers[s.Router]
			group.Go(func() error {
				r.request(c, s)
				return nil
			})
		}
		time.Sleep(s.Wait)
	}
	r.log.SetOutage(false)
	r.log.SetDelay(0)
	r.log.SetAppendOutcome(nil)
	_ = group.Wait() // request returns no errors
	r.log.StoreDelayed()
	time.Sleep(time.Minute)
	r.check(t, restarts > 0)
	for _, stop := range stops {
		stop()
	}
}

func (r *randomRun) check(t *testing.T, restarted bool) {
	c, stop := startTestClaimer(t, r.log, "check", 1)
	defer stop()
	for key := range 2 {
		verdict, err := claimWithin(t, c, time.Second, Scope{Key: fmt.Sprint(key)})
		runs := r.dispatched[key]
		switch {
		case err != nil:
			r.addProblem("key %d: %v", key, err)
		case len(runs) > 1:
			r.addProblem("key %d ran %d times", key, len(runs))
		case len(runs) == 1 && verdict.ClaimID != runs[0]:
			r.addProblem("key %d: claim %s ran, but %s holds it (%v)", key, runs[0], verdict.ClaimID, verdict.State)
		case len(runs) == 1 && r.answered[key] && verdict.State != Answered:
			r.addProblem("key %d: the result is lost", key)
		case len(runs) == 0 && verdict.State != Won && !restarted:
			r.addProblem("key %d never ran and stays blocked", key)
		}
	}
}

// TestClaimRandom guards against a scope that runs twice, stays blocked without having run, or loses its
// result, under random sequences of outages, lost acknowledgements, delayed records, timeouts and restarts.
func TestClaimRandom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		r := &randomRun{dispatched: make(map[int][]string), answered: make(map[int]bool)}
		synctest.Test(t, func(t *testing.T) { r.run(t, steps) })
		assert.Equal(rt, len(r.problems), 0, "%v", r.problems)
	})
}
