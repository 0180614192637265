package generator

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/standin/internal/faulter"
	"coltsfootplank/standin/internal/hoster"
)

// Faults of an engine besides those that all components have.
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
	FaultRejectResumes   = "reject_resumes"
	FaultLeaving         = "leaving"
	FaultReject          = "reject"
	FaultCutBeforeRun    = "cut_before_run"
	FaultCutBeforeAnswer = "cut_before_answer"
	FaultIgnoreFencing   = "ignore_fencing"
	FaultClearCache      = "clear_cache"
)

// defaultCrashDowntime is how long an engine stays down after a crash if the fault request gives no time.
const defaultCrashDowntime = 500 * time.Millisecond

func faultDescriptions() map[string]string {
	descriptions := hoster.CommonFaults()
	maps.Copy(descriptions, map[string]string{
		FaultCrash:           "all state is lost; a new instance serves after value ms (default 500), or for_ms",
		FaultStraggler:       "speed is multiplied by value (default 0.1)",
		FaultPoison:          "a prompt that contains the text value crashes the engine that runs it",
		FaultStaleLoad:       "load reports stay as they were at the first report under the fault",
		FaultLoseCacheEvents: "cache events are lost with probability value (default 1)",
		FaultDropAtToken:     "the connection is cut once for each stream, before token number value (default 0)",
		FaultDuplicateFrames: "a frame is sent twice with probability value (default 1)",
		FaultReorderFrames:   "two consecutive frames are swapped with probability value (default 1)",
		FaultForeignFrames:   "a frame of another stream precedes a frame with probability value (default 1)",
		FaultForgetStreams:   "resuming a stream gets status 404",
		FaultRejectResumes:   "resuming a stream gets status value (default 500)",
		FaultLeaving:         "load reports say draining and the VM list says leaving; requests are still served",
		FaultReject:          "generate requests get status value (default 500) and do not run",
		FaultCutBeforeRun:    "a generate request is read but cut before it runs, with probability value",
		FaultCutBeforeAnswer: "a generate request runs but is cut before the response header, with probability value",
		FaultIgnoreFencing:   "stale fencing tokens are accepted",
		FaultClearCache:      "the prefix cache is emptied once",
	})
	return descriptions
}

// NewTable returns the fault table of an engine.
func NewTable(name string) *faulter.Table {
	return faulter.NewTable(name, faultDescriptions())
}

func (e *Engine) hookFaults() {
	e.table.Hook(FaultCrash, func(value faulter.Value, downtime time.Duration) {
		e.table.Clear(FaultCrash)
		if downtime == 0 {
			downtime = value.MillisOr(defaultCrashDowntime)
		}
		e.crash(downtime)
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

// crash discards the instance with all its streams and starts a new one, which serves after the downtime.
func (e *Engine) crash(downtime time.Duration) {
	e.log.Info("engine crashed", zap.String("engine", e.settings.Name), zap.Duration("away", downtime))
	e.host.TakeDown(downtime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Crashes++
	old := e.inst
	old.stop()
	for _, s := range old.streams {
		if !s.done {
			e.stats.Lost++
		}
		e.endStream(s)
	}
	e.startInstance(old.events.seq + restartSeqGap)
}

func (e *Engine) speedFactor() float64 {
	value, ok := e.table.Get(FaultStraggler)
	if !ok {
		return 1
	}
	return max(value.NumberOr(0.1), 0.001)
}
