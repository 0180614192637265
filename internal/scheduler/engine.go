package scheduler

import (
	"math"
	"time"
)

// EngineInfo describes one engine of the cell. Speeds are in tokens per second: PrefillPerSec of the engine,
// TokensPerSec of one output stream. Zero means unknown.
type EngineInfo struct {
	Name          string
	DataCentre    string
	Generation    string
	Slots         int
	PrefillPerSec float64
	TokensPerSec  float64
	KVTokens      int
}

// engine is the scheduler's view of one engine.
type engine struct {
	info     EngineInfo
	settings *Settings
	// slots is the number of requests that may be in flight on it.
	slots int

	granted map[string]*request
	long    int
	tokens  float64
	// ahead is the work of the granted requests in seconds of this engine.
	ahead float64
	// leaving is set by the host or by the engine's own report.
	leaving bool
	// gone is set when the engine left the cell while requests were in flight on it.
	gone bool

	class      *engineClass
	classIndex int
}

func newEngine(info EngineInfo, settings *Settings) *engine {
	return &engine{info: info, settings: settings, granted: make(map[string]*request), classIndex: -1}
}

// free is the number of open slots.
func (e *engine) free() int {
	if !e.usable() {
		return 0
	}
	return max(0, e.slots-len(e.granted))
}

// usable says whether the engine may receive new work.
func (e *engine) usable() bool { return !e.leaving && !e.gone }

// longSlots is the number of slots open to drafts.
func (e *engine) longSlots() int {
	return max(1, int(float64(e.slots)*e.settings.LongShare))
}

// reserved is the number of slots that a tier leaves free for urgent work.
func (e *engine) reserved(tier int) int {
	if tier <= e.settings.UrgentTier {
		return 0
	}
	return min(e.slots-1, int(math.Round(float64(e.slots)*e.settings.UrgentReserve)))
}

// room is the number of tokens that may be in flight.
func (e *engine) room() float64 {
	if e.info.KVTokens <= 0 {
		return math.Inf(1)
	}
	return float64(e.info.KVTokens) * e.settings.TokenRoom
}

// block is the reason why an engine can't take a ticket now.
type block string

const (
	blockNone      block = ""
	blockSlots     block = "no_free_slot"
	blockReserved  block = "free_slots_reserved_for_urgent_tiers"
	blockLong      block = "long_share_in_use"
	blockRoom      block = "no_token_room"
	blockNoEngine  block = "no_usable_engine"
	blockIsolation block = "waits_to_run_alone"
)

// admits says whether the engine can take the ticket now.
func (e *engine) admits(r *request) block {
	free := e.free()
	switch {
	case free <= 0:
		return blockSlots
	case r.class == classAlone && len(e.granted) > 0:
		return blockIsolation
	case free <= e.reserved(r.tier):
		return blockReserved
	case r.class == classLong && e.long >= e.longSlots():
		return blockLong
	case len(e.granted) > 0 && e.tokens+r.tokens() > e.room():
		return blockRoom
	}
	return blockNone
}

func (e *engine) prefillSpeed() float64 {
	if e.info.PrefillPerSec > 0 {
		return e.info.PrefillPerSec
	}
	return e.settings.DefaultPrefillPerSec
}

func (e *engine) tokenSpeed() float64 {
	if e.info.TokensPerSec > 0 {
		return e.info.TokensPerSec
	}
	return e.settings.DefaultTokensPerSec
}

// work is the engine time in seconds that a request takes. All slots decode in parallel.
func (e *engine) work(r *request) float64 {
	return (r.prompt+1)/e.prefillSpeed() + (r.output+1)/(e.tokenSpeed()*float64(max(1, e.slots)))
}

// start counts a request as in flight.
func (e *engine) start(r *request, now time.Time) {
	r.engine, r.grantedAt = e, now
	e.granted[r.ticket.GetRequestId()] = r
	e.tokens += r.tokens()
	e.ahead += e.work(r)
	if r.class == classLong {
		e.long++
	}
}

// end frees what start took.
func (e *engine) end(r *request) {
	delete(e.granted, r.ticket.GetRequestId())
	e.tokens -= r.tokens()
	e.ahead = max(0, e.ahead-e.work(r))
	if r.class == classLong {
		e.long--
	}
	if len(e.granted) == 0 {
		e.tokens, e.ahead = 0, 0
	}
	r.engine = nil
}
