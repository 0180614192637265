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

// testSettings make a decode step take 10 ms, and computing 100 prompt tokens another 100 ms.
func testSettings() Settings {
	return Settings{
		Name: "e", BatchSlots: 2, PrefillPerSecond: 1000, PrefillChunk: 100, StepMS: 10, KVTokens: 1000,
		LoadLagMS: 500, EventLagMS: 500, KeepFinishedMS: 1000,
	}
}

// runEngine runs check in virtual time on an engine that doesn't listen.
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

func generateRequest(id string, prompt, tokens int, hashes ...uint64) kernel.GenerateRequest {
	return kernel.GenerateRequest{StreamID: id, PromptTokens: prompt, MaxTokens: tokens, PrefixHashes: hashes}
}

// addPrefix adds a cached prefix of one token, concurrently with the engine's steps.
func addPrefix(e *Engine, hash uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inst.cache.add(prefix{hash: hash, tokens: 1, cost: 1})
}

// waitFinished waits until a stream is finished and returns the elapsed time.
func waitFinished(t *testing.T, e *Engine, s *stream) time.Duration {
	t.Helper()
	started := time.Now()
	_, done, err := e.awaitFrame(t.Context(), s, s.total)
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
// isn't first in first out, and against a prefill time that doesn't depend on the length of the prompt.
func TestBatchTiming(t *testing.T) {
	runEngine(t, testSettings(), func(t *testing.T, e *Engine) {
		// The next four streams arrive during the only step of this one, so that they are queued together when it ends.
		running := submit(t, e, generateRequest("lead", 0, 1))
		synctest.Wait()
		first := submit(t, e, generateRequest("a", 0, 10))
		second := submit(t, e, generateRequest("b", 0, 10))
		third := submit(t, e, generateRequest("c", 0, 10))
		fourth := submit(t, e, generateRequest("d", 0, 1))
		assert.Equal(t, waitFinished(t, e, running), 10*time.Millisecond)
		assert.Equal(t, waitFinished(t, e, first), 100*time.Millisecond)
		assert.Equal(t, waitFinished(t, e, second), time.Duration(0))
		assert.Equal(t, waitFinished(t, e, fourth), 10*time.Millisecond)
		assert.Equal(t, waitFinished(t, e, third), 90*time.Millisecond)
		long := submit(t, e, generateRequest("long", 250, 1))
		assert.Equal(t, waitFinished(t, e, long), 290*time.Millisecond)
	})
}

// TestPrefixCache guards against cached prompt tokens that are computed again, counted as recomputed or reported
// wrongly, and against a cache that exceeds its limit.
func TestPrefixCache(t *testing.T) {
	runEngine(t, testSettings(), func(t *testing.T, e *Engine) {
		waitFinished(t, e, submit(t, e, generateRequest("a", 400, 1, 1, 2)))
		cached := submit(t, e, generateRequest("b", 400, 1, 1, 2))
		waitFinished(t, e, cached)
		assert.Equal(t, cached.frame(1).CachedTokens, 399)
		halfCached := submit(t, e, generateRequest("c", 400, 1, 1, 3))
		waitFinished(t, e, halfCached)
		assert.Equal(t, halfCached.frame(1).CachedTokens, 200)
		stats := e.Stats()
		assert.Equal(t, stats.PrefillComputed, 400+1+200)
		assert.Equal(t, stats.PrefillRecomputed, 0)

		waitFinished(t, e, submit(t, e, generateRequest("d", 900, 1, 4, 5)))
		evicted := submit(t, e, generateRequest("f", 400, 1, 1, 2))
		waitFinished(t, e, evicted)
		assert.Equal(t, evicted.frame(1).CachedTokens, 0)
		assert.Equal(t, e.Stats().PrefillRecomputed, 399)
		assert.Assert(t, e.inst.cache.used <= 1000)
	})
}

// TestCancelAndWastedPrefill guards against a cancelled stream that keeps its slot, against wasted prefill that isn't
// counted, and against a cancelled stream that looks complete to its reader.
func TestCancelAndWastedPrefill(t *testing.T) {
	runEngine(t, testSettings(), func(t *testing.T, e *Engine) {
		running := submit(t, e, generateRequest("a", 500, 50))
		submit(t, e, generateRequest("b", 0, 50))
		queued := submit(t, e, generateRequest("c", 0, 1))
		time.Sleep(250 * time.Millisecond)
		assert.NilError(t, e.cancelStream("a"))
		_, _, err := e.awaitFrame(t.Context(), running, 0)
		var ended *StreamEndedError
		assert.Assert(t, errors.As(err, &ended))
		assert.Equal(t, e.Stats().PrefillWasted, 200)
		assert.Assert(t, waitFinished(t, e, queued) < 200*time.Millisecond)
		var unknown *UnknownStreamError
		assert.Assert(t, errors.As(e.cancelStream("a"), &unknown))
	})
}

// TestStreamIDs guards against an id that runs twice on one instance, and against finished streams that can't be
// resumed or are kept for ever.
func TestStreamIDs(t *testing.T) {
	runEngine(t, testSettings(), func(t *testing.T, e *Engine) {
		waitFinished(t, e, submit(t, e, generateRequest("a", 10, 3)))
		_, err := e.submit(generateRequest("a", 10, 3))
		var duplicate *DuplicateStreamError
		assert.Assert(t, errors.As(err, &duplicate))
		_, err = e.findStream("a")
		assert.NilError(t, err)
		time.Sleep(1100 * time.Millisecond)
		_, err = e.findStream("a")
		var unknown *UnknownStreamError
		assert.Assert(t, errors.As(err, &unknown))
		assert.Equal(t, e.Stats().PrefillWasted, 10)
		_, err = e.submit(generateRequest("a", 10, 3))
		assert.Assert(t, errors.As(err, &duplicate))
	})
}

// TestSpeedFaults guards against a straggler or frozen engine that computes at full speed.
func TestSpeedFaults(t *testing.T) {
	runEngine(t, testSettings(), func(t *testing.T, e *Engine) {
		assert.NilError(t, e.table.Set(FaultStraggler, faulter.Value{Number: 0.5, Given: true}, 0))
		assert.Equal(t, waitFinished(t, e, submit(t, e, generateRequest("a", 0, 10))), 200*time.Millisecond)
		e.table.Clear(FaultStraggler)
		assert.NilError(t, e.table.Set(hoster.FaultFreeze, faulter.Value{}, time.Second))
		assert.Equal(t, waitFinished(t, e, submit(t, e, generateRequest("b", 0, 2))), 1010*time.Millisecond)
	})
}

// TestReportLag guards against load reports and cache events that arrive without their lag, and against lost events
// that leave no gap in the sequence numbers.
func TestReportLag(t *testing.T) {
	runEngine(t, testSettings(), func(t *testing.T, e *Engine) {
		time.Sleep(time.Second)
		submit(t, e, generateRequest("a", 100, 1000-100, 7))
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

// TestOrders guards against an engine that accepts an order contrary to its settings, or refuses one that they allow.
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
			assert.NilError(t, e.applyOrder(load(5, "r")))
			assert.Equal(t, e.applyOrder(c.order) != nil, c.refused, fmt.Sprint(i))
		})
	}
}
