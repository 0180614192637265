package generator

import (
	"context"
	"time"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/standin/internal/hoster"
)

// step is the work of one iteration of the batch.
type step struct {
	prefill  map[*stream]int
	decode   []*stream
	duration time.Duration
}

// runInstance runs batch steps until the instance stops.
func (e *Engine) runInstance(inst *instance) {
	for {
		e.mu.Lock()
		work := e.planStep(inst)
		e.mu.Unlock()
		if work.duration == 0 {
			select {
			case <-inst.ctx.Done():
				return
			case <-inst.wake:
			}
			continue
		}
		if !e.waitForStep(inst.ctx, work.duration) {
			return
		}
		e.mu.Lock()
		poisoned := e.applyStep(inst, work)
		e.mu.Unlock()
		if poisoned {
			e.crash(defaultCrashDowntime)
		}
	}
}

// waitForStep waits for the duration of a step, and longer while the engine is frozen. It returns false if the
// instance has stopped.
func (e *Engine) waitForStep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	}
	return e.table.Wait(ctx, hoster.FaultFreeze) == nil
}

// planStep admits queued streams in order of arrival while slots are free and divides the step between prefill and
// decoding. A step without work has a duration of 0.
func (e *Engine) planStep(inst *instance) step {
	for len(inst.queue) > 0 && len(inst.running) < e.settings.BatchSlots {
		s := inst.queue[0]
		inst.queue = inst.queue[1:]
		s.cached = inst.cache.lookup(s.request)
		e.stats.PrefillCached += s.cached
		inst.running = append(inst.running, s)
	}
	work := step{prefill: make(map[*stream]int)}
	chunkLeft := e.settings.PrefillChunk
	for _, s := range inst.running {
		if s.remainingPrefill() == 0 {
			work.decode = append(work.decode, s)
			continue
		}
		if tokens := min(chunkLeft, s.remainingPrefill()); tokens > 0 {
			work.prefill[s] = tokens
			chunkLeft -= tokens
		}
	}
	if len(inst.running) == 0 {
		return work
	}
	ms := e.settings.StepMS + e.settings.StepPerStreamMS*float64(len(work.decode))
	seconds := ms/1000 + float64(e.settings.PrefillChunk-chunkLeft)/e.settings.PrefillPerSecond
	work.duration = time.Duration(seconds / e.speedFactor() * float64(time.Second))
	return work
}

// applyStep applies the results of a step. It returns true if a stream in the batch crashes the engine.
func (e *Engine) applyStep(inst *instance, work step) bool {
	if inst != e.inst {
		return false
	}
	for s, tokens := range work.prefill {
		if s.ended {
			continue
		}
		s.prefilled += tokens
		e.stats.PrefillComputed += tokens
		if e.containsPoison(s.request.Prompt) {
			return true
		}
		if s.remainingPrefill() == 0 {
			inst.cache.store(s.request)
			e.stats.PrefillRecomputed += e.tracker.RecordPrefill(s.request, s.cached)
		}
	}
	for _, s := range work.decode {
		if s.ended {
			continue
		}
		if e.containsPoison(s.request.Prompt) {
			return true
		}
		e.decode(inst, s)
	}
	e.shrinkCache(inst)
	e.recordLoad()
	return false
}

func (e *Engine) decode(inst *instance, s *stream) {
	s.produced++
	e.stats.Tokens++
	if s.produced >= s.total {
		s.done = true
		s.finishedAt = time.Now()
		e.stats.Finished++
		inst.running = removeStream(inst.running, s)
		inst.finished = append(inst.finished, s)
		e.dropExpiredStreams()
	}
	s.notify()
}

func (e *Engine) shrinkCache(inst *instance) {
	used := 0
	for _, s := range inst.running {
		used += s.kvTokens()
	}
	inst.cache.shrink(e.settings.KVTokens - used)
}

// recordLoad adds the current load to the load history.
func (e *Engine) recordLoad() {
	inst := e.inst
	used := inst.cache.used
	for _, s := range inst.running {
		used += s.kvTokens()
	}
	inst.load.add(kernel.LoadReport{
		Instance: inst.id, Running: len(inst.running), Waiting: len(inst.queue), BatchSlots: e.settings.BatchSlots,
		KVUsed: used, KVTotal: e.settings.KVTokens, Draining: e.Leaving(),
	})
}

// loadReport returns the load as it was one lag ago, or, under the fault stale_load, as it was when the fault was
// first seen.
func (e *Engine) loadReport() kernel.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Leaving() != e.inst.load.reports[len(e.inst.load.reports)-1].Draining {
		e.recordLoad()
	}
	report := e.inst.load.lagged()
	if _, stale := e.table.Get(FaultStaleLoad); !stale {
		e.staleLoad = nil
		return report.withAge()
	}
	if e.staleLoad == nil {
		e.staleLoad = &report
	}
	return e.staleLoad.withAge()
}
