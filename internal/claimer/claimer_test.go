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
)

var depositScope = Scope{Workspace: "caruaru", Work: "deposit", Key: "k1", Fingerprint: 1}

// startTestClaimer runs a claimer and waits until it has read the log to the end. The returned function stops it.
func startTestClaimer(t *testing.T, log kernel.LogProtocol, router string, incarnation uint64) (*Claimer, func()) {
	t.Helper()
	return startTestClaimerWith(t, log, Identity{Router: router, Incarnation: incarnation}, Options{})
}

func startTestClaimerWith(t *testing.T, log kernel.LogProtocol, identity Identity, options Options) (*Claimer, func()) {
	t.Helper()
	c := New(log, identity, options, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return c.Run(ctx) })
	synctest.Wait()
	return c, func() {
		cancel()
		assert.Assert(t, errors.Is(group.Wait(), context.Canceled))
	}
}

func claimWithin(t *testing.T, c *Claimer, limit time.Duration, scope Scope) (Verdict, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	return c.Claim(ctx, scope, "request")
}

func isUnavailable(err error) bool {
	var unavailable *UnavailableError
	return errors.As(err, &unavailable)
}

// TestClaimFaults guards against a claim that fails because an acknowledgement of the log is lost, and against a
// rejected claim that keeps its scope claimed.
func TestClaimFaults(t *testing.T) {
	always := func(appendOutcome fakes.AppendOutcome) func(*fakes.Log) {
		return func(l *fakes.Log) {
			l.SetAppendOutcome(func(string, []byte) fakes.AppendOutcome { return appendOutcome })
		}
	}
	next := func(appendOutcome fakes.AppendOutcome) func(*fakes.Log) {
		return func(l *fakes.Log) { l.SetNextAppendOutcome(appendOutcome) }
	}
	cases := []struct {
		name  string
		fault func(*fakes.Log)
		won   bool
	}{
		{name: "no fault", fault: func(*fakes.Log) {}, won: true},
		{name: "acknowledgement lost, record stored", fault: next(fakes.AppendStoredUnacked), won: true},
		{name: "acknowledgement lost, record dropped", fault: next(fakes.AppendDroppedUnacked), won: true},
		{name: "acknowledgement lost, record delayed", fault: next(fakes.AppendDelayedUnacked), won: true},
		{name: "rate limited", fault: next(fakes.AppendRateLimited), won: true},
		{name: "slow", fault: func(l *fakes.Log) { l.SetDelay(4 * time.Second) }, won: true},
		{name: "too slow", fault: func(l *fakes.Log) { l.SetDelay(15 * time.Second) }},
		{name: "all records delayed", fault: always(fakes.AppendDelayedUnacked)},
		{name: "all records dropped", fault: always(fakes.AppendDroppedUnacked)},
		{name: "outage", fault: func(l *fakes.Log) { l.SetOutage(true) }},
		{name: "reads unavailable", fault: func(l *fakes.Log) { l.SetReadOutage(true) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := fakes.NewLog()
				a, stopA := startTestClaimer(t, log, "a", 1)
				defer stopA()
				b, stopB := startTestClaimer(t, log, "b", 1)
				defer stopB()
				c.fault(log)
				verdict, err := claimWithin(t, a, 20*time.Second, depositScope)
				log.SetAppendOutcome(nil)
				log.SetDelay(0)
				log.SetOutage(false)
				log.StoreDelayed()
				time.Sleep(time.Minute)
				again, err2 := claimWithin(t, b, time.Second, depositScope)
				assert.NilError(t, err2)
				if c.won {
					assert.NilError(t, err)
					assert.Equal(t, verdict.State, Won)
					assert.Equal(t, again.State, Duplicate)
					assert.Equal(t, again.ClaimID, verdict.ClaimID)
					return
				}
				assert.Assert(t, isUnavailable(err), "%v", err)
				assert.Equal(t, again.State, Won)
			})
		})
	}
}

// TestClaimCopy guards against a winning claim that is voided because a second copy of its record is read: the first
// append is not acknowledged and is repeated, and its record is stored later.
func TestClaimCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := fakes.NewLog()
		a, stopA := startTestClaimer(t, log, "a", 1)
		defer stopA()
		log.SetNextAppendOutcome(fakes.AppendDelayedUnacked)
		verdict, err := claimWithin(t, a, time.Second, depositScope)
		assert.NilError(t, err)
		assert.Equal(t, verdict.State, Won)
		assert.Equal(t, log.StoreDelayed(), 1)
		time.Sleep(time.Second)
		b, stopB := startTestClaimer(t, log, "b", 1)
		defer stopB()
		again, err := claimWithin(t, b, time.Second, depositScope)
		assert.NilError(t, err)
		assert.Equal(t, again.State, Duplicate)
	})
}

// TestClaimRepeats guards against a repeated request that runs again, gets the wrong result or is accepted with another
// body, and against a router that takes over the claim of a previous run.
func TestClaimRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := fakes.NewLog()
		a, stopA := startTestClaimer(t, log, "a", 1)
		won, err := claimWithin(t, a, time.Second, depositScope)
		assert.NilError(t, err)
		assert.Equal(t, won.State, Won)
		stopA()
		a, stopA = startTestClaimer(t, log, "a", 2)
		defer stopA()
		other := depositScope
		other.Fingerprint = 2
		for range 2 {
			repeat, err := claimWithin(t, a, time.Second, depositScope)
			assert.NilError(t, err)
			assert.Equal(t, repeat.State, Duplicate)
			_, err = claimWithin(t, a, time.Second, other)
			var mismatch *FingerprintMismatchError
			assert.Assert(t, errors.As(err, &mismatch), "%v", err)
			time.Sleep(time.Hour)
		}
		result := Result{Status: 201, ContentType: "text/plain", Body: []byte("booked")}
		assert.NilError(t, a.RecordResult(t.Context(), depositScope, won.ClaimID, result))
		assert.NilError(t, a.Void(t.Context(), depositScope, won.ClaimID))
		synctest.Wait()
		repeat, err := claimWithin(t, a, time.Second, depositScope)
		assert.NilError(t, err)
		assert.Equal(t, repeat.State, Answered)
		assert.DeepEqual(t, *repeat.Result, result)
	})
}

// TestClaimRace guards against two routers that both win a scope, and against a losing router that isn't told which
// claim won.
func TestClaimRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := fakes.NewLog()
		var claimers []*Claimer
		for i := range 3 {
			c, stop := startTestClaimer(t, log, fmt.Sprint(i), 1)
			defer stop()
			claimers = append(claimers, c)
		}
		log.SetDelay(20 * time.Millisecond)
		verdicts := make([]Verdict, len(claimers))
		var group errgroup.Group
		for i, c := range claimers {
			group.Go(func() (err error) {
				verdicts[i], err = c.Claim(t.Context(), depositScope, "request")
				return err
			})
		}
		assert.NilError(t, group.Wait())
		won := 0
		for _, verdict := range verdicts {
			assert.Equal(t, verdict.ClaimID, verdicts[0].ClaimID)
			if verdict.State == Won {
				won++
			}
		}
		assert.Equal(t, won, 1)
	})
}

// TestClaimGap guards against a key that is treated as unclaimed although a record removed by retention may hold its
// claim.
func TestClaimGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := fakes.NewLog()
		a, stopA := startTestClaimer(t, log, "a", 1)
		_, err := claimWithin(t, a, time.Second, depositScope)
		assert.NilError(t, err)
		log.Trim(Stream, 1)
		time.Sleep(time.Hour)
		kept := Scope{Key: "kept"}
		_, err = claimWithin(t, a, time.Second, kept)
		assert.NilError(t, err)
		stopA()

		b, stopB := startTestClaimer(t, log, "b", 1)
		defer stopB()
		_, err = claimWithin(t, b, time.Second, depositScope)
		assert.Assert(t, isUnavailable(err), "%v", err)
		verdict, err := claimWithin(t, b, time.Second, kept)
		assert.NilError(t, err)
		assert.Equal(t, verdict.State, Duplicate)
		time.Sleep(2 * time.Hour)
		verdict, err = claimWithin(t, b, time.Second, Scope{Key: uuidV7At(time.Now())})
		assert.NilError(t, err)
		assert.Equal(t, verdict.State, Won)
		_, err = claimWithin(t, b, time.Second, Scope{Key: uuidV7At(time.Now().Add(-4 * time.Hour))})
		assert.Assert(t, isUnavailable(err), "%v", err)
		time.Sleep(24 * time.Hour)
		verdict, err = claimWithin(t, b, time.Second, depositScope)
		assert.NilError(t, err)
		assert.Equal(t, verdict.State, Won)
	})
}

// TestVoidInOutage guards against a scope that stays claimed because its void could not be appended during an outage of
// the log.
func TestVoidInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := fakes.NewLog()
		a, stop := startTestClaimer(t, log, "a", 1)
		defer stop()
		verdict, err := claimWithin(t, a, time.Second, depositScope)
		assert.NilError(t, err)
		log.SetOutage(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err = a.Void(ctx, depositScope, verdict.ClaimID)
		assert.Assert(t, isUnavailable(err), "%v", err)
		log.SetOutage(false)
		time.Sleep(10 * time.Second)
		verdict, err = claimWithin(t, a, time.Second, depositScope)
		assert.NilError(t, err)
		assert.Equal(t, verdict.State, Won)
	})
}

// TestClaimMarkers guards against a router that starts on an idle stream and rejects every key for most of the
// retention time, because without markers it has no upper bound for the times of the removed records. It also guards
// against every router appending markers.
func TestClaimMarkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := fakes.NewLog()
		options := Options{Retention: time.Hour}
		for i := range 3 {
			c, stop := startTestClaimerWith(t, log, Identity{Router: fmt.Sprint(i)}, options)
			defer stop()
			if i == 0 {
				_, err := claimWithin(t, c, time.Second, depositScope)
				assert.NilError(t, err)
			}
		}
		time.Sleep(65 * time.Minute)
		records := log.Records(Stream)
		assert.Assert(t, len(records) > 50 && len(records) < 150, "%d records", len(records))
		for _, record := range records {
			if b, err := decodeBatch(record); err == nil && time.Since(time.UnixMilli(b.UnixMS)) > time.Hour {
				log.Trim(Stream, record.Offset+1)
			}
		}
		fresh, stop := startTestClaimerWith(t, log, Identity{Router: "fresh"}, options)
		defer stop()
		time.Sleep(4 * time.Minute)
		verdict, err := claimWithin(t, fresh, time.Second, Scope{Key: "new"})
		assert.NilError(t, err)
		assert.Equal(t, verdict.State, Won)
	})
}
