package experimenter

import (
	"fmt"
	"slices"
	"time"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/scheduler"
)

// engineKind describes a generation of engines. A decode step takes stepTime, plus stepTimePerStream for each decoding
// request, plus the time to compute up to prefillChunk prompt tokens.
type engineKind struct {
	name              string
	slots             int
	prefillPerSecond  float64
	prefillChunk      int
	stepTime          time.Duration
	stepTimePerStream time.Duration
	kvTokens          int
}

// Kinds of engines. fast and slow have the same figures as the stand-in engines of the demo.
var (
	fast   = engineKind{"fast", 16, 12000, 512, 15 * time.Millisecond, 500 * time.Microsecond, 200000}
	medium = engineKind{"medium", 12, 8000, 256, 25 * time.Millisecond, 750 * time.Microsecond, 120000}
	slow   = engineKind{"slow", 8, 4000, 128, 40 * time.Millisecond, time.Millisecond, 80000}
)

// fullStepSeconds returns the duration of a decode step with all slots in use.
func (k engineKind) fullStepSeconds() float64 {
	return (k.stepTime + time.Duration(k.slots)*k.stepTimePerStream).Seconds()
}

// engine is a fake engine with continuous batching: all running requests share each decode step, and a part of each step
// computes prompts.
type engine struct {
	engineKind
	sim      *simulation
	name     string
	queue    []*call
	running  []*call
	stepping bool
	// instance counts restarts, so that steps that began before a restart have no effect.
	instance int
	down     bool
	// speed is relative to the speed of the engine's kind; a straggler has less than 1.
	speed   float64
	cache   prefixCache
	crashes int
}

func newEngine(sim *simulation, kind engineKind, index int) *engine {
	return &engine{engineKind: kind, sim: sim, name: fmt.Sprintf("e%03d", index), speed: 1, cache: newPrefixCache(kind.kvTokens / 2)}
}

func (e *engine) info() scheduler.EngineInfo {
	return scheduler.EngineInfo{Name: e.name, Generation: e.engineKind.name, Slots: e.slots, PrefillPerSec: e.prefillPerSecond,
		TokensPerSec: 1 / e.fullStepSeconds(), KVTokens: e.kvTokens}
}

// enqueue adds a dispatched request to the queue.
func (e *engine) enqueue(c *call) {
	e.queue = append(e.queue, c)
	e.nextStep()
}

// nextStep moves queued requests into free slots and begins the next step, unless a step is running or the engine is
// down.
func (e *engine) nextStep() {
	if e.stepping || e.down {
		return
	}
	for len(e.queue) > 0 && len(e.running) < e.slots {
		c := e.queue[0]
		e.queue = e.queue[1:]
		c.cachedTokens = e.cache.cachedTokens(c)
		c.prefilledTokens = c.cachedTokens
		e.sim.countRecomputed(c)
		e.running = append(e.running, c)
	}
	if len(e.running) == 0 {
		return
	}
	chunkLeft, decoding := e.prefillChunk, 0
	for _, c := range e.running {
		c.stepPrefillTokens = min(chunkLeft, c.kind.promptTokens-c.prefilledTokens)
		chunkLeft -= c.stepPrefillTokens
		if c.prefilledTokens == c.kind.promptTokens {
			decoding++
		}
	}
	seconds := (e.stepTime + time.Duration(decoding)*e.stepTimePerStream).Seconds() + float64(e.prefillChunk-chunkLeft)/e.prefillPerSecond
	e.stepping = true
	instance := e.instance
	e.sim.after(time.Duration(seconds/e.speed*float64(time.Second)), func() {
		if instance == e.instance {
			e.finishStep()
		}
	})
}

// finishStep applies the result of a step to the running requests and begins the next step. A poison request crashes the
// engine at its first prefill.
func (e *engine) finishStep() {
	e.stepping = false
	if slices.ContainsFunc(e.running, func(c *call) bool { return c.poison && c.stepPrefillTokens > 0 }) {
		e.crash(2 * time.Second)
		return
	}
	kept := e.running[:0]
	for _, c := range e.running {
		switch {
		case c.stepPrefillTokens > 0:
			c.prefilledTokens += c.stepPrefillTokens
			c.computedTokens += c.stepPrefillTokens
			if c.prefilledTokens == c.kind.promptTokens {
				e.cache.store(c)
			}
		case c.prefilledTokens == c.kind.promptTokens:
			c.producedTokens++
		}
		if c.producedTokens == 1 && c.firstTokenAt == 0 {
			c.firstTokenAt = e.sim.now
		}
		if c.producedTokens < c.outputTokens {
			kept = append(kept, c)
			continue
		}
		e.sim.onAnswered(c)
	}
	e.running = kept
	e.nextStep()
}

// crash loses all requests on the engine, which restarts with an empty cache after the given time.
func (e *engine) crash(restart time.Duration) {
	lost := append(append([]*call(nil), e.running...), e.queue...)
	e.running, e.queue, e.stepping, e.down = nil, nil, false, true
	e.instance++
	e.crashes++
	e.cache = newPrefixCache(e.kvTokens / 2)
	for _, c := range lost {
		e.sim.onLost(c)
	}
	e.sim.after(restart, func() { e.down = false; e.nextStep() })
}

// loadReport returns a load report that is to be delivered after the given lag.
func (e *engine) loadReport(lag time.Duration) kernel.LoadReport {
	return kernel.LoadReport{Instance: fmt.Sprint(e.instance), Running: len(e.running), Waiting: len(e.queue),
		BatchSlots: e.slots, KVTotal: e.kvTokens, AgeMS: lag.Milliseconds()}
}
