package generator

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/standin/internal/faulter"
	"coltsfootplank/standin/internal/hoster"
)

// Engine is one simulated model engine, which listens on its own address.
type Engine struct {
	settings Settings
	table    *faulter.Table
	tracker  *Tracker
	host     *hoster.Host
	group    *errgroup.Group
	ctx      context.Context
	log      *zap.Logger

	mu           sync.Mutex
	inst         *instance
	stats        Stats
	leavingSince time.Time
	staleLoad    *timedReport
}

// instance is the state of an engine that a crash discards. Engine.mu guards it.
type instance struct {
	id             string
	ctx            context.Context
	stop           context.CancelFunc
	wake           chan struct{}
	seenIDs        map[string]struct{}
	streams        map[string]*stream
	queue          []*stream
	running        []*stream
	finished       []*stream
	cache          *prefixCache
	events         *eventLog
	load           *loadHistory
	models         map[string]struct{}
	highestFencing int64
	role           string
}

// New starts an engine; it runs until ctx ends.
func New(
	ctx context.Context, group *errgroup.Group, log *zap.Logger, settings Settings, table *faulter.Table,
	tracker *Tracker,
) (*Engine, error) {
	e := newEngine(ctx, group, log, settings, table, tracker)
	host, err := hoster.New(ctx, group, log, e.settings.Name, e.settings.Address, table, e.routes())
	if err != nil {
		return nil, err
	}
	e.host = host
	host.HookDownFault()
	e.hookFaults()
	return e, nil
}

// newEngine returns an engine that doesn't listen, which is sufficient for tests of its batching.
func newEngine(
	ctx context.Context, group *errgroup.Group, log *zap.Logger, settings Settings, table *faulter.Table,
	tracker *Tracker,
) *Engine {
	e := &Engine{
		settings: settings.WithDefaults(), table: table, tracker: tracker, group: group, ctx: ctx, log: log,
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startInstance(0)
	return e
}

// Address returns the "ip:port" of the engine.
func (e *Engine) Address() string { return e.host.Address() }

// Name returns the engine's name.
func (e *Engine) Name() string { return e.settings.Name }

// DataCentre returns the engine's data centre.
func (e *Engine) DataCentre() string { return e.settings.DataCentre }

// Leaving reports whether the engine's VM is leaving.
func (e *Engine) Leaving() bool {
	_, on := e.table.Get(FaultLeaving)
	return on
}

// Stats returns the counters of the engine.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropExpiredStreams()
	return e.stats
}

func (e *Engine) startInstance(seq uint64) {
	ctx, stop := context.WithCancel(e.ctx)
	inst := &instance{
		id: uuid.NewString(), ctx: ctx, stop: stop, wake: make(chan struct{}, 1),
		seenIDs: make(map[string]struct{}), streams: make(map[string]*stream),
		events: &eventLog{lag: milliseconds(e.settings.EventLagMS), seq: seq},
		load:   &loadHistory{lag: milliseconds(e.settings.LoadLagMS)},
		models: make(map[string]struct{}),
	}
	inst.cache = newPrefixCache(func(kind kernel.CacheEventKind, hash uint64) {
		inst.events.add(kind, hash, e.table.Triggers(FaultLoseCacheEvents))
	})
	for _, model := range e.settings.Models {
		inst.models[model] = struct{}{}
	}
	e.inst = inst
	e.staleLoad = nil
	e.recordLoad()
	e.group.Go(func() error {
		defer stop()
		e.runInstance(inst)
		return nil
	})
}

// submit queues a request. Errors: *InvalidRequestError, *ModelNotLoadedError, *DuplicateStreamError.
func (e *Engine) submit(request kernel.GenerateRequest) (*stream, error) {
	if request.StreamID == "" || request.PromptTokens < 0 || request.MaxTokens < 0 {
		return nil, &InvalidRequestError{Reason: "stream_id, prompt_tokens or max_tokens is missing or negative"}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropExpiredStreams()
	s := newStream(request)
	if request.PromptTokens+s.total > e.settings.KVTokens {
		return nil, &InvalidRequestError{Reason: "the request needs more KV memory than the engine has"}
	}
	if _, loaded := e.inst.models[request.Model]; !loaded && len(e.inst.models) > 0 {
		return nil, &ModelNotLoadedError{Model: request.Model}
	}
	if _, seen := e.inst.seenIDs[request.StreamID]; seen {
		return nil, &DuplicateStreamError{StreamID: request.StreamID}
	}
	e.inst.seenIDs[request.StreamID] = struct{}{}
	e.inst.streams[request.StreamID] = s
	e.inst.queue = append(e.inst.queue, s)
	e.countRun(request.StreamID)
	e.recordLoad()
	e.wakeBatch()
	return s, nil
}

func (e *Engine) countRun(streamID string) {
	e.stats.Runs++
	if e.tracker.RecordRun(streamID) {
		e.log.Warn("stream id has already run", zap.String("engine", e.settings.Name), zap.String("stream", streamID))
	}
	if e.Leaving() {
		e.stats.RunsWhileLeaving++
		e.stats.LastRunLeavingMS = time.Since(e.leavingSince).Milliseconds()
	}
}

// cancelStream cancels a queued, running or finished stream. It returns an *UnknownStreamError.
func (e *Engine) cancelStream(streamID string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.inst.streams[streamID]
	if !ok {
		return &UnknownStreamError{StreamID: streamID}
	}
	if !s.done {
		e.stats.Cancelled++
	}
	e.endStream(s)
	delete(e.inst.streams, streamID)
	e.inst.queue = removeStream(e.inst.queue, s)
	e.inst.running = removeStream(e.inst.running, s)
	e.inst.finished = removeStream(e.inst.finished, s)
	e.recordLoad()
	return nil
}

// endStream marks a stream as ended and counts its prefill as wasted if it wasn't delivered in full.
func (e *Engine) endStream(s *stream) {
	if !s.delivered {
		e.stats.PrefillWasted += s.prefilled
	}
	s.ended = true
	s.notify()
}

// findStream returns a stream that is still kept, or an *UnknownStreamError.
func (e *Engine) findStream(streamID string) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropExpiredStreams()
	s, ok := e.inst.streams[streamID]
	if !ok {
		return nil, &UnknownStreamError{StreamID: streamID}
	}
	e.stats.Resumes++
	return s, nil
}

// dropExpiredStreams removes the finished streams that have been kept for KeepFinishedMS.
func (e *Engine) dropExpiredStreams() {
	cutoff := time.Now().Add(-milliseconds(e.settings.KeepFinishedMS))
	for len(e.inst.finished) > 0 && e.inst.finished[0].finishedAt.Before(cutoff) {
		s := e.inst.finished[0]
		e.inst.finished = e.inst.finished[1:]
		delete(e.inst.streams, s.request.StreamID)
		e.endStream(s)
	}
}

func (e *Engine) containsPoison(prompt string) bool {
	if marker := e.settings.PoisonMarker; marker != "" && strings.Contains(prompt, marker) {
		return true
	}
	value, on := e.table.Get(FaultPoison)
	return on && value.Text != "" && strings.Contains(prompt, value.Text)
}

func (e *Engine) wakeBatch() {
	select {
	case e.inst.wake <- struct{}{}:
	default:
	}
}

func removeStream(streams []*stream, s *stream) []*stream {
	remaining := streams[:0]
	for _, other := range streams {
		if other != s {
			remaining = append(remaining, other)
		}
	}
	return remaining
}
