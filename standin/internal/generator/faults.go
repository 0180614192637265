package generator

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/standin/internal/faulter"
	"coltsfootplank/standin/internal/hoster"
)

// Faults of an engine besides those of every hosted part.
const (
	FaultCrash           = "crash"
	FaultStraggler       = "straggler"
	FaultPoison          = "poison"
	FaultStaleLoad       = "stale_load"
	FaultLoseCacheEvents = "lose_cache_events"
	FaultDropAtToken     = "drop_at_token"
	FaultDuplicateFrames = "duplicate_frames"
	FaultReorderFrames   = "reorder_frames"
	FaultForeignFrames   = "foreign_frames"
	FaultForgetStreams   = "forget_streams"
	FaultLeaving         = "leaving"
	FaultReject          = "reject"
	FaultCutBeforeRun    = "cut_before_run"
	FaultCutBeforeAnswer = "cut_before_answer"
	FaultIgnoreFencing   = "ignore_fencing"
	FaultClearCache      = "clear_cache"
)

// crashDefault is how long an engine stays away after a crash if the fault request gives no time.
const crashDefault = 500 * time.Millisecond

func engineFaults() map[string]string {
	known := hoster.CommonFaults()
	maps.Copy(known, map[string]string{
		FaultCrash:           "all state is lost; a new instance serves after value ms (default 500), or for_ms",
		FaultStraggler:       "speed is multiplied by value (default 0.1)",
		FaultPoison:          "a prompt that contains the text value crashes the engine that runs it",
		FaultStaleLoad:       "load reports stay as they were when the fault was first seen",
		FaultLoseCacheEvents: "cache events are lost with probability value (default 1)",
		FaultDropAtToken:     "the connection is cut once for each stream, before token number value (default 0)",
		FaultDuplicateFrames: "a frame is sent twice with probability value (default 1)",
		FaultReorderFrames:   "two neighbouring frames change places with probability value (default 1)",
		FaultForeignFrames:   "a frame of another stream precedes a frame with probability value (default 1)",
		FaultForgetStreams:   "resuming answers 404",
		FaultLeaving:         "load reports say draining and the VM list says leaving; requests are still served",
		FaultReject:          "generate answers status value (default 500) and does not run",
		FaultCutBeforeRun:    "generate is cut after the request was read, with probability value, and does not run",
		FaultCutBeforeAnswer: "generate runs but is cut before the answer's header, with probability value",
		FaultIgnoreFencing:   "old fencing numbers are accepted",
		FaultClearCache:      "the prefix cache is emptied once",
	})
	return known
}

// NewTable returns the fault table of an engine.
func NewTable(name string) *faulter.Table {
	return faulter.NewTable(name, engineFaults())
}

func (e *Engine) hookFaults() {
	e.table.Hook(FaultCrash, func(value faulter.Value, length time.Duration) {
		e.table.Clear(FaultCrash)
		if length == 0 {
			length = value.Millis(crashDefault)
		}
		e.crash(length)
	})
	e.table.Hook(FaultLeaving, func(faulter.Value, time.Duration) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.leavingSince = time.Now()
		e.recordLoad()
	})
	e.table.Hook(FaultClearCache, func(faulter.Value, time.Duration) {
		e.table.Clear(FaultClearCache)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.inst.cache.shrink(0)
		e.recordLoad()
	})
}

// crash loses the instance with all its streams and starts a new one after a while.
func (e *Engine) crash(away time.Duration) {
	e.log.Info("engine crashed", zap.String("engine", e.settings.Name), zap.Duration("away", away))
	e.host.Down(away)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Crashes++
	old := e.inst
	old.stop()
	for _, s := range old.streams {
		if !s.done {
			e.stats.Lost++
		}
		e.end(s)
	}
	e.startInstance(old.events.seq + restartGap)
}

func (e *Engine) speed() float64 {
	value, ok := e.table.Get(FaultStraggler)
	if !ok {
		return 1
	}
	return max(value.Or(0.1), 0.001)
}
