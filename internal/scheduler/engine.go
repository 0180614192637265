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
	// prefillUntil is when the prefills granted so far should be done.
	prefillUntil time.Time
	// decodeAhead is the output work of the granted requests in seconds of the engine with all slots in use.
	decodeAhead float64
	// ahead is the work ahead of a new request in seconds, as of the last touch.
	ahead float64
	// leaving is set by the host or by the engine's own report.
	leaving bool
	// gone is set when the engine left the cell while requests were in flight on it.
	gone bool

	// reservedFor is a queued ticket that needs more room than is free; tickets of its own and lower tiers leave
	// the engine to it.
	reservedFor *request
	// alone is a suspect of a crash that runs on the engine; nothing else is admitted.
	alone *request

	class   *engineClass
	openPos [openCount]int
}

func newEngine(info EngineInfo, settings *Settings) *engine {
	return &engine{info: info, settings: settings, granted: make(map[string]*request), openPos: [openCount]int{-1, -1, -1, -1}}
}

// free is the number of open slots.
func (e *engine) free() int {
	if !e.usable() || e.alone != nil {
		return 0
	}
	return max(0, e.slots-len(e.granted))
}

// usable says whether the engine may receive new work.
func (e *engine) usable() bool { return !e.leaving && !e.gone }

// reserved is the number of slots that lower tiers leave free for urgent work.
func (e *engine) reserved() int {
	return min(e.slots-1, int(math.Round(float64(e.slots)*e.settings.UrgentReserve)))
}

// room is the number of tokens that may be in flight.
func (e *engine) room() float64 {
	if e.info.KVTokens <= 0 {
		return math.Inf(1)
	}
	return float64(e.info.KVTokens) * e.settings.TokenRoom
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

// prefillTime is the time in seconds until the first token on an idle engine.
func (e *engine) prefillTime(r *request) float64 { return (r.prompt + 1) / e.prefillSpeed() }

// decodeTime is the request's part of the engine's decoding time, in seconds: all slots decode in parallel. The
// added token makes requests without output, such as calls of services, count too.
func (e *engine) decodeTime(r *request) float64 {
	return (r.output + 1) / (e.tokenSpeed() * float64(max(1, e.slots)))
}

// start counts a request as in flight.
func (e *engine) start(r *request, now time.Time) {
	r.engine, r.grantedAt = e, now
	e.granted[r.ticket.GetRequestId()] = r
	e.tokens += r.tokens()
	r.prefillWork, r.decodeWork = e.prefillTime(r), e.decodeTime(r)
	if e.prefillUntil.Before(now) {
		e.prefillUntil = now
	}
	e.prefillUntil = e.prefillUntil.Add(time.Duration(r.prefillWork * float64(time.Second)))
	e.decodeAhead += r.decodeWork
	e.touch(now)
	switch r.class {
	case classLong:
		e.long++
	case classAlone:
		e.alone = r
	}
}

// end frees what start took.
func (e *engine) end(r *request, now time.Time) {
	delete(e.granted, r.ticket.GetRequestId())
	e.tokens -= r.tokens()
	e.decodeAhead = max(0, e.decodeAhead-r.decodeWork)
	switch r.class {
	case classLong:
		e.long--
	case classAlone:
		e.alone = nil
	}
	if len(e.granted) == 0 {
		// The engine is idle, whatever the estimates said.
		e.tokens, e.decodeAhead, e.prefillUntil = 0, 0, now
	}
	e.touch(now)
	r.engine = nil
}

// touch brings the work ahead to now.
func (e *engine) touch(now time.Time) {
	e.ahead = e.decodeAhead + max(0, e.prefillUntil.Sub(now).Seconds())
}
