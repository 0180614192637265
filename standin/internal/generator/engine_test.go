package generator

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

	"coltsfootplank/internal/kernel"
	"coltsfootplank/standin/internal/faulter"
	"coltsfootplank/standin/internal/hoster"
)

// testSettings make a step take 10 ms and 100 prompt tokens another 100 ms.
func testSettings() Settings {
	return Settings{
		Name: "e", BatchSlots: 2, PrefillPerSecond: 1000, PrefillChunk: 100, StepMS: 10, KVTokens: 1000,
		LoadLagMS: 500, EventLagMS: 500, KeepFinishedMS: 1000,
	}
}

// runEngine runs check on an engine without an address in virtual time.
func runEngine(t *testing.T, settings Settings, check func(t *testing.T, e *Engine)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		group, ctx := errgroup.WithContext(ctx)
		e := newEngine(ctx, group, zap.NewNop(), settings, NewTable("e"), NewTracker())
		check(t, e)
		cancel()
		assert.NilError(t, group.Wait())
	})
}

func request(id string, prompt, tokens int, hashes ...uint64) kernel.GenerateRequest {
	return kernel.GenerateRequest{StreamID: id, PromptTokens: prompt, MaxTokens: tokens, PrefixHashes: hashes}
}

// addPrefix adds a cached prefix of one token while the engine's steps go on.
func addPrefix(e *Engine, hash uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inst.cache.add(prefix{hash: hash, tokens: 1, cost: 1})
}

// finish waits for the end of a stream and returns the time that passed.
func finish(t *testing.T, e *Engine, s *stream) time.Duration {
	t.Helper()
	started := time.Now()
	_, done, err := e.await(t.Context(), s, s.total)
	assert.NilError(t, err)
	assert.Assert(t, done)
	return time.Since(started)
}

func submit(t *testing.T, e *Engine, r kernel.GenerateRequest) *stream {
	t.Helper()
	s, err := e.submit(r)
	assert.NilError(t, err)
	return s
}

// TestBatchTiming guards against streams that run one after another although slots are free, against a queue that
// isn't first in first out, and against prefill time that ignores the prompt's length.
func TestBatchTiming(t *testing.T) {
	runEngine(t, testSettings(), func(t *testing.T, e *Engine) {
		// The others arrive during the only step of this one, so that they are planned together.
		lead := submit(t, e, request("lead", 0, 1))
		synctest.Wait()
		first := submit(t, e, request("a", 0, 10))
		second := submit(t, e, request("b", 0, 10))
		third := submit(t, e, request("c", 0, 10))
		fourth := submit(t, e, request("d", 0, 1))
		assert.Equal(t, finish(t, e, lead), 10*time.Millisecond)
		assert.Equal(t, finish(t, e, first), 100*time.Millisecond)
		assert.Equal(t, finish(t, e, second), time.Duration(0))
		assert.Equal(t, finish(t, e, fourth), 10*time.Millisecond)
		assert.Equal(t, finish(t, e, third), 90*time.Millisecond)
		long := submit(t, e, request("long", 250, 1))
		assert.Equal(t, finish(t, e, long), 290*time.Millisecond)
	})
}

// TestPrefixCache guards against cached prompt tokens being computed, counted as recomputed or reported wrongly,
// and against a cache without limit.
func TestPrefixCache(t *testing.T) {
	runEngine(t, testSettings(), func(t *testing.T, e *Engine) {
		finish(t, e, submit(t, e, request("a", 400, 1, 1, 2)))
		again := submit(t, e, request("b", 400, 1, 1, 2))
		finish(t, e, again)
		assert.Equal(t, again.frame(1).CachedTokens, 399)
		half := submit(t, e, request("c", 400, 1, 1, 3))
		finish(t, e, half)
		assert.Equal(t, half.frame(1).CachedTokens, 200)
		stats := e.Stats()
		assert.Equal(t, stats.PrefillComputed, 400+1+200)
		assert.Equal(t, stats.PrefillRecomputed, 0)

		finish(t, e, submit(t, e, request("d", 900, 1, 4, 5)))
		evicted := submit(t, e, request("f", 400, 1, 1, 2))
		finish(t, e, evicted)
		assert.Equal(t, evicted.frame(1).CachedTokens, 0)
		assert.Equal(t, e.Stats().PrefillRecomputed, 399)
		assert.Assert(t, e.inst.cache.used <= 1000)
	})
}

// TestCancelAndWaste guards against cancelled work that keeps a slot, against waste that isn't counted, and against
// an end that a reader takes for the final frame.
func TestCancelAndWaste(t *testing.T) {
	runEngine(t, testSettings(), func(t *testing.T, e *Engine) {
		running := submit(t, e, request("a", 500, 50))
		submit(t, e, request("b", 0, 50))
		queued := submit(t, e, request("c", 0, 1))
		time.Sleep(250 * time.Millisecond)
		assert.NilError(t, e.cancel("a"))
		_, _, err := e.await(t.Context(), running, 0)
		var ended *StreamEndedError
		assert.Assert(t, errors.As(err, &ended))
		assert.Equal(t, e.Stats().PrefillWasted, 200)
		assert.Assert(t, finish(t, e, queued) < 200*time.Millisecond)
		var unknown *UnknownStreamError
		assert.Assert(t, errors.As(e.cancel("a"), &unknown))
	})
}

// TestStreamIDs guards against an id that runs twice on one instance, and against finished streams that can't be
// resumed for a while or are kept for ever.
func TestStreamIDs(t *testing.T) {
	runEngine(t, testSettings(), func(t *testing.T, e *Engine) {
		finish(t, e, submit(t, e, request("a", 10, 3)))
		_, err := e.submit(request("a", 10, 3))
		var duplicate *DuplicateStreamError
		assert.Assert(t, errors.As(err, &duplicate))
		_, err = e.find("a")
		assert.NilError(t, err)
		time.Sleep(1100 * time.Millisecond)
		_, err = e.find("a")
		var unknown *UnknownStreamError
		assert.Assert(t, errors.As(err, &unknown))
		assert.Equal(t, e.Stats().PrefillWasted, 10)
		_, err = e.submit(request("a", 10, 3))
		assert.Assert(t, errors.As(err, &duplicate))
	})
}

// TestSpeedFaults guards against a straggler or a frozen engine that computes at full speed.
func TestSpeedFaults(t *testing.T) {
	runEngine(t, testSettings(), func(t *testing.T, e *Engine) {
		assert.NilError(t, e.table.Set(FaultStraggler, faulter.Value{Number: 0.5, Given: true}, 0))
		assert.Equal(t, finish(t, e, submit(t, e, request("a", 0, 10))), 200*time.Millisecond)
		e.table.Clear(FaultStraggler)
		assert.NilError(t, e.table.Set(hoster.FaultFreeze, faulter.Value{}, time.Second))
		assert.Equal(t, finish(t, e, submit(t, e, request("b", 0, 2))), 1010*time.Millisecond)
	})
}

// TestReports guards against load reports and cache events that arrive without their lag, and against lost events
// that leave no gap in the sequence numbers.
func TestReports(t *testing.T) {
	runEngine(t, testSettings(), func(t *testing.T, e *Engine) {
		time.Sleep(time.Second)
		submit(t, e, request("a", 100, 1000-100, 7))
		time.Sleep(400 * time.Millisecond)
		assert.Equal(t, e.loadReport().Running, 0)
		assert.Equal(t, len(e.inst.events.page(0).Events), 0)
		time.Sleep(300 * time.Millisecond)
		report := e.loadReport()
		assert.Equal(t, report.Running, 1)
		assert.Assert(t, report.AgeMS >= 500, "age %d ms", report.AgeMS)
		assert.Equal(t, len(e.inst.events.page(0).Events), 1)

		assert.NilError(t, e.table.Set(FaultLoseCacheEvents, faulter.Value{}, 0))
		addPrefix(e, 8)
		e.table.Clear(FaultLoseCacheEvents)
		addPrefix(e, 9)
		time.Sleep(time.Second)
		page := e.inst.events.page(1)
		assert.DeepEqual(t, page.Events, []kernel.CacheEvent{{Seq: 3, Kind: kernel.CacheStored, Hash: 9}})
		assert.Equal(t, page.Next, uint64(3))
	})
}

// TestOrders guards against an engine that accepts an order that its settings refuse, or the reverse.
func TestOrders(t *testing.T) {
	load := func(fencing int64, orderer string) kernel.Order {
		return kernel.Order{Fencing: fencing, Orderer: orderer, Kind: kernel.OrderLoadModel, Model: "m"}
	}
	cases := []struct {
		fencing, orderer bool
		order            kernel.Order
		refused          bool
	}{
		{fencing: true, order: load(4, "r"), refused: true},
		{fencing: true, order: load(5, "r")},
		{fencing: false, order: load(4, "r")},
		{orderer: true, order: load(9, "stranger"), refused: true},
		{orderer: true, order: load(9, "r")},
		{order: kernel.Order{Kind: "dance"}, refused: true},
	}
	for i, c := range cases {
		settings := testSettings()
		settings.ChecksFencing, settings.ChecksOrderer, settings.Orderers = c.fencing, c.orderer, []string{"r"}
		runEngine(t, settings, func(t *testing.T, e *Engine) {
			assert.NilError(t, e.order(load(5, "r")))
			assert.Equal(t, e.order(c.order) != nil, c.refused, fmt.Sprint(i))
		})
	}
}
