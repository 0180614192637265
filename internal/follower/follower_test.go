package follower

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap/zaptest"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/fakes"
	"coltsfootplank/internal/kernel"
)

// recorder records the callbacks of a follower. Its apply takes a while, so that tests detect a waiter that is released
// too early.
type recorder struct {
	offsets []int64
	trimmed []int64
}

func (r *recorder) apply(record kernel.LogRecord) {
	time.Sleep(time.Millisecond)
	r.offsets = append(r.offsets, record.Offset)
}

func (r *recorder) trim(first int64) { r.trimmed = append(r.trimmed, first) }

func appendRecords(t *testing.T, log *fakes.Log, n int) {
	t.Helper()
	for i := range n {
		_, err := log.Append(t.Context(), "s", fmt.Append(nil, i))
		assert.NilError(t, err)
	}
}

// startTestFollower starts a follower of stream s at an offset. It runs until the returned function is called.
func startTestFollower(t *testing.T, log kernel.LogProtocol, from int64, r *recorder) (*Follower, func()) {
	t.Helper()
	f := New(log, "s", from, r.apply, r.trim, zaptest.NewLogger(t))
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return f.Run(ctx) })
	return f, func() {
		cancel()
		assert.Assert(t, errors.Is(group.Wait(), context.Canceled))
	}
}

// TestFollowRetention guards against a trim that isn't reported, or that makes the follower skip records that were
// kept.
func TestFollowRetention(t *testing.T) {
	cases := []struct {
		name    string
		from    int64
		records int
		first   int64
		offsets []int64
		trimmed []int64
	}{
		{name: "all kept", records: 3, offsets: []int64{0, 1, 2}},
		{name: "from the middle", from: 2, records: 4, offsets: []int64{2, 3}},
		{name: "start dropped", records: 4, first: 2, offsets: []int64{2, 3}, trimmed: []int64{2}},
		{name: "dropped before the start", from: 3, records: 4, first: 2, offsets: []int64{3}},
		{name: "all dropped", from: 1, records: 4, first: 4, trimmed: []int64{4}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := fakes.NewLog()
				appendRecords(t, log, c.records)
				log.Trim("s", c.first)
				r := &recorder{}
				f, stop := startTestFollower(t, log, c.from, r)
				defer stop()
				assert.NilError(t, f.WaitCaughtUp(t.Context()))
				assert.DeepEqual(t, r.offsets, c.offsets)
				assert.DeepEqual(t, r.trimmed, c.trimmed)
				assert.Equal(t, f.Next(), int64(c.records))
			})
		})
	}
}

// TestFollowOutage guards against a follower that stops during an outage, misses records that were appended during it,
// reports itself as healthy, or retries in a tight loop.
func TestFollowOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := fakes.NewLog()
		counted := &countingLog{Log: log}
		r := &recorder{}
		f, stop := startTestFollower(t, counted, 0, r)
		defer stop()
		appendRecords(t, log, 2)
		assert.NilError(t, f.WaitFor(t.Context(), 1))
		synctest.Wait()
		assert.Assert(t, f.Healthy())

		log.SetReadOutage(true)
		before := counted.reads.Load()
		time.Sleep(time.Minute)
		assert.Assert(t, !f.Healthy())
		assert.Assert(t, f.Lag() >= time.Minute, "lag %v", f.Lag())
		made := counted.reads.Load() - before
		assert.Assert(t, made < 100, "%d reads in a minute", made)
		appendRecords(t, log, 1)
		log.SetReadOutage(false)
		time.Sleep(backoffMax)
		synctest.Wait()
		assert.Assert(t, f.Healthy())
		assert.DeepEqual(t, r.offsets, []int64{0, 1, 2})

		log.SetReadOutage(true)
		time.Sleep(time.Minute)
		log.SetReadOutage(false)
		time.Sleep(backoffMax)
		synctest.Wait()
		assert.Assert(t, f.Healthy(), "still unhealthy although the idle log is back")
	})
}

type countingLog struct {
	*fakes.Log
	reads atomic.Int64
}

func (l *countingLog) Read(ctx context.Context, stream string, from int64, limit int,
	wait time.Duration,
) (kernel.LogPage, error) {
	l.reads.Add(1)
	return l.Log.Read(ctx, stream, from, limit, wait)
}

// TestWaitForOrder guards against a waiter that is released before its record was applied.
func TestWaitForOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := fakes.NewLog()
		r := &recorder{}
		f, stop := startTestFollower(t, log, 0, r)
		defer stop()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Assert(t, errors.Is(f.WaitFor(ctx, 0), context.DeadlineExceeded))
		log.SetDelay(time.Second)
		var group errgroup.Group
		group.Go(func() error {
			_, err := log.Append(t.Context(), "s", nil)
			return err
		})
		assert.NilError(t, f.WaitFor(t.Context(), 0))
		assert.DeepEqual(t, r.offsets, []int64{0})
		assert.NilError(t, group.Wait())
	})
}
