package leaser

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

func startTestLeaser(t *testing.T, log kernel.LogProtocol, router string) *Leaser {
	t.Helper()
	l := New(log, Identity{Router: router, Incarnation: 1}, Options{}, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return l.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		assert.Assert(t, errors.Is(group.Wait(), context.Canceled))
	})
	synctest.Wait()
	return l
}

func acquire(t *testing.T, l *Leaser) (Lease, error) {
	synctest.Wait() // all followers have read the log to the end
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return l.Acquire(ctx, "e")
}

func isHeld(err error) bool {
	var held *HeldError
	return errors.As(err, &held)
}

// TestLeaseTimes guards against two holders at the same time: a takeover before the lease has expired and the margin
// has passed, or a holder that continues after its TTL, which is measured from before its append.
func TestLeaseTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := fakes.NewLog()
		a, b := startTestLeaser(t, log, "a"), startTestLeaser(t, log, "b")
		log.SetDelay(2 * time.Second)
		lease, err := acquire(t, a)
		assert.NilError(t, err)
		log.SetDelay(0)
		_, ok := a.Held("e")
		assert.Assert(t, ok)
		time.Sleep(time.Until(lease.Until()) - time.Millisecond)
		_, ok = a.Held("e")
		assert.Assert(t, ok)
		time.Sleep(time.Millisecond)
		_, ok = a.Held("e")
		assert.Assert(t, !ok)
		_, err = acquire(t, b)
		assert.Assert(t, isHeld(err), "%v", err)
		_, err = a.Renew(t.Context(), "e")
		var notHeld *NotHeldError
		assert.Assert(t, errors.As(err, &notHeld), "%v", err)
		time.Sleep(10 * time.Second)
		taken, err := acquire(t, b)
		assert.NilError(t, err)
		assert.Assert(t, taken.Fencing() > lease.Fencing())
		assert.NilError(t, b.Release(t.Context(), "e"))
		_, ok = b.Held("e")
		assert.Assert(t, !ok)
		_, err = acquire(t, a)
		assert.NilError(t, err)
	})
}

// TestAcquireFaults guards against a lease that counts as held without a valid record, and against a lease that can't
// be acquired any more after the acknowledgement of an append was lost.
func TestAcquireFaults(t *testing.T) {
	cases := []struct {
		appendOutcome fakes.AppendOutcome
		held          bool
	}{
		{appendOutcome: fakes.AppendAcked, held: true},
		{appendOutcome: fakes.AppendStoredUnacked, held: true},
		{appendOutcome: fakes.AppendDroppedUnacked},
		{appendOutcome: fakes.AppendDelayedUnacked},
		{appendOutcome: fakes.AppendRateLimited},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.appendOutcome), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := fakes.NewLog()
				a, b := startTestLeaser(t, log, "a"), startTestLeaser(t, log, "b")
				log.SetNextAppendOutcome(c.appendOutcome)
				_, err := acquire(t, a)
				assert.Equal(t, err == nil, c.held, "%v", err)
				log.StoreDelayed()
				synctest.Wait()
				_, ok := a.Held("e")
				assert.Equal(t, ok, c.held)
				time.Sleep(12 * time.Second)
				_, err = acquire(t, b)
				assert.NilError(t, err)
				_, err = acquire(t, a)
				assert.Assert(t, isHeld(err), "%v", err)
			})
		})
	}
}

// TestAcquireRace guards against two routers that acquire the same lease at the same time.
func TestAcquireRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := fakes.NewLog()
		leasers := []*Leaser{startTestLeaser(t, log, "a"), startTestLeaser(t, log, "b"), startTestLeaser(t, log, "c")}
		log.SetDelay(50 * time.Millisecond)
		for range 3 {
			held := 0
			errs := make([]error, len(leasers))
			var group errgroup.Group
			for i, l := range leasers {
				group.Go(func() error {
					_, errs[i] = l.Acquire(t.Context(), "e")
					return nil
				})
			}
			assert.NilError(t, group.Wait())
			for i, l := range leasers {
				_, ok := l.Held("e")
				assert.Equal(t, ok, errs[i] == nil)
				if ok {
					held++
				} else {
					assert.Assert(t, isHeld(errs[i]), "%v", errs[i])
				}
			}
			assert.Equal(t, held, 1)
			time.Sleep(15 * time.Second)
		}
	})
}

// TestLeaseRetention guards against a router that starts after retention has removed a lease record and then either
// can't acquire the lease, or holds it at the same time as a router that still knows the removed record.
func TestLeaseRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := fakes.NewLog()
		old := startTestLeaser(t, log, "old")
		_, err := acquire(t, old)
		assert.NilError(t, err)
		renewed, err := acquire(t, old)
		assert.NilError(t, err)
		log.Trim(Stream, renewed.Fencing())
		middle := startTestLeaser(t, log, "middle")
		_, err = acquire(t, middle)
		assert.Assert(t, isHeld(err), "%v", err)
		time.Sleep(2 * time.Hour)
		log.Trim(Stream, renewed.Fencing()+1)
		fresh := startTestLeaser(t, log, "fresh")
		_, err = acquire(t, fresh)
		assert.NilError(t, err)
		for _, other := range []*Leaser{old, middle} {
			_, err = acquire(t, other)
			assert.Assert(t, isHeld(err), "%v", err)
		}
		time.Sleep(time.Minute)
		_, err = acquire(t, old)
		assert.NilError(t, err)
		_, err = acquire(t, fresh)
		assert.Assert(t, isHeld(err), "%v", err)
		_, ok := fresh.Held("e")
		assert.Assert(t, !ok)
	})
}
