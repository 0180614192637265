package experimenter

import (
	"fmt"
	"slices"
	"time"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/scheduler"
)

// engineKind is a generation of engines. Speeds are in tokens per second.
type engineKind struct {
	name      string
	slots     int
	prefill   float64
	chunk     int
	step      time.Duration
	perStream time.Duration
	kvTokens  int
}

// Kinds of engines; fast and slow have the figures of the demo's stand-ins.
var (
	fast   = engineKind{"fast", 16, 12000, 512, 15 * time.Millisecond, 500 * time.Microsecond, 200000}
	medium = engineKind{"medium", 12, 8000, 256, 25 * time.Millisecond, 750 * time.Microsecond, 120000}
	slow   = engineKind{"slow", 8, 4000, 128, 40 * time.Millisecond, time.Millisecond, 80000}
)

// fullStep is the duration in seconds of a decode step with all slots in use.
func (k engineKind) fullStep() float64 {
	return (k.step + time.Duration(k.slots)*k.perStream).Seconds()
}

// engine is a fake engine with continuous batching: one decode step is shared by the running batch, and a part of
// each step computes prompts.
type engine struct {
	engineKind
	world    *world
	name     string
	queue    []*call
	running  []*call
	stepping bool
	// instance counts restarts; steps of an earlier instance have no effect.
	instance int
	down     bool
	speed    float64
	cache    cache
	crashes  int
}

func newEngine(w *world, kind engineKind, index int) *engine {
	return &engine{engineKind: kind, world: w, name: fmt.Sprintf("e%03d", index), speed: 1, cache: newCache(kind.kvTokens / 2)}
}

func (e *engine) info() scheduler.EngineInfo {
	return scheduler.EngineInfo{Name: e.name, Generation: e.engineKind.name, Slots: e.slots, PrefillPerSec: e.prefill,
		TokensPerSec: 1 / e.fullStep(), KVTokens: e.kvTokens}
}

// start takes a dispatched request.
func (e *engine) start(c *call) {
	e.queue = append(e.queue, c)
	e.nextStep()
}

// nextStep begins the next step unless one is running.
func (e *engine) nextStep() {
	if e.stepping || e.down {
		return
	}
	for len(e.queue) > 0 && len(e.running) < e.slots {
		c := e.queue[0]
		e.queue = e.queue[1:]
		c.cached = e.cache.covered(c)
		c.prefilled = c.cached
		e.world.notePrefix(c)
		e.running = append(e.running, c)
	}
	if len(e.running) == 0 {
		return
	}
	room, decoding := e.chunk, 0
	for _, c := range e.running {
		c.share = min(room, c.kind.prompt-c.prefilled)
		room -= c.share
		if c.prefilled == c.kind.prompt {
			decoding++
		}
	}
	length := (e.step + time.Duration(decoding)*e.perStream).Seconds() + float64(e.chunk-room)/e.prefill
	e.stepping = true
	instance := e.instance
	e.world.after(time.Duration(length/e.speed*float64(time.Second)), func() {
		if instance == e.instance {
			e.finishStep()
		}
	})
}

// finishStep applies a step to the batch and begins the next.
func (e *engine) finishStep() {
	e.stepping = false
	if slices.ContainsFunc(e.running, func(c *call) bool { return c.poison && c.share > 0 }) {
		e.crash(2 * time.Second)
		return
	}
	kept := e.running[:0]
	for _, c := range e.running {
		switch {
		case c.share > 0:
			c.prefilled += c.share
			c.computed += c.share
			if c.prefilled == c.kind.prompt {
				e.cache.store(c)
			}
		case c.prefilled == c.kind.prompt:
			c.produced++
		}
		if c.produced == 1 && c.first == 0 {
			c.first = e.world.now
		}
		if c.produced < c.output {
			kept = append(kept, c)
			continue
		}
		e.world.answered(c)
	}
	e.running = kept
	e.nextStep()
}

// crash loses everything on the engine, which restarts with an empty cache after a while.
func (e *engine) crash(restart time.Duration) {
	lost := append(append([]*call(nil), e.running...), e.queue...)
	e.running, e.queue, e.stepping, e.down = nil, nil, false, true
	e.instance++
	e.crashes++
	e.cache = newCache(e.kvTokens / 2)
	for _, c := range lost {
		e.world.lost(c)
	}
	e.world.after(restart, func() { e.down = false; e.nextStep() })
}

// report is the engine's load report, to be delivered after a lag.
func (e *engine) report(lag time.Duration) kernel.LoadReport {
	return kernel.LoadReport{Instance: fmt.Sprint(e.instance), Running: len(e.running), Waiting: len(e.queue),
		BatchSlots: e.slots, KVTotal: e.kvTokens, AgeMS: lag.Milliseconds()}
}
