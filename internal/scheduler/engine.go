package scheduler

import (
	"math"
	"time"

	"coltsfootplank/internal/estimator"
)

// shedPause is how long an engine that said it was full gets no request: about the time in which a slot becomes free.
const shedPause = 100 * time.Millisecond

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
	// clock is the time of the current call.
	clock *time.Time
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
	// draining, down and excluded are observations; reason is the last one that took the engine out.
	draining bool
	down     bool
	excluded bool
	reason   string
	reasonAt time.Time
	// allowance bounds the requests in flight while the engine returns gradually; 0 means no bound.
	allowance int
	// counted says whether the pool's slots include the engine's.
	counted  bool
	backoff  time.Duration
	probeAt  time.Time
	probedAt time.Time

	prefill estimator.Speed
	decode  estimator.Speed
	cache   engineCache
	// failures counts failed polls in a row. instance, batchSlots and reportedRoom are from the last report.
	failures     int
	instance     string
	batchSlots   int
	reportedRoom int
	// foreign is the number of requests of other schedulers.
	foreign   int
	ended     []time.Time
	endedNext int
	// losses counts the answers in a row that were lost with their connections.
	losses int
	// lost holds recent broken connections without evidence of a crash.
	lost       []lostRun
	evidenceAt time.Time
	// gone is set when the engine left the cell while requests were in flight on it.
	gone bool

	// reservedFor is a queued ticket that needs more room than is free; tickets of its own and lower tiers leave
	// the engine to it.
	reservedFor *request
	// alone is a suspect of a crash that runs on the engine; nothing else is admitted.
	alone *request

	// reserve is the share of the slots that lower tiers leave free, 0 while no urgent work comes.
	reserve float64

	class   *engineClass
	openPos [openCount]int
	roomPos int
}

func newEngine(info EngineInfo, settings *Settings, clock *time.Time) *engine {
	e := &engine{info: info, settings: settings, clock: clock, granted: make(map[string]*request), openPos: [openCount]int{-1, -1, -1, -1}, roomPos: -1}
	e.prefill, e.decode = estimator.NewSpeed(settings.DefaultPrefillPerSec), estimator.NewSpeed(settings.DefaultTokensPerSec)
	if info.PrefillPerSec > 0 {
		e.prefill = estimator.NewSpeed(info.PrefillPerSec)
	}
	if info.TokensPerSec > 0 {
		e.decode = estimator.NewSpeed(info.TokensPerSec)
	}
	return e
}

// free is the number of open slots.
func (e *engine) free() int {
	if !e.usable() || e.alone != nil {
		return 0
	}
	return max(0, min(e.slots-len(e.granted), e.info.Slots-len(e.granted)-e.foreign))
}

// usable says whether the engine may receive new work.
func (e *engine) usable() bool {
	return !e.leaving && !e.draining && !e.down && !e.excluded && !e.gone
}

// reserved is the number of slots that lower tiers leave free for urgent work.
func (e *engine) reserved() int {
	return min(e.slots-1, int(math.Round(float64(e.slots)*e.reserve)))
}

// room is the number of tokens that may be in flight.
func (e *engine) room() float64 {
	tokens := e.info.KVTokens
	if tokens <= 0 {
		tokens = e.reportedRoom
	}
	if tokens <= 0 {
		return math.Inf(1)
	}
	return float64(tokens) * e.settings.TokenRoom
}

func (e *engine) prefillSpeed() float64 { return e.prefill.Value() }

func (e *engine) tokenSpeed() float64 { return e.decode.Value() }

// roomLeft is the number of tokens that the engine can take; an idle engine takes any request.
func (e *engine) roomLeft() float64 {
	if len(e.granted) == 0 {
		return math.Inf(1)
	}
	return e.room() - e.tokens
}

// prefillAhead is the time in seconds until the prefills granted so far should be done.
func (e *engine) prefillAhead(now time.Time) float64 {
	return max(0, e.prefillUntil.Sub(now).Seconds())
}

// prefillTime is the time in seconds until the first token on an idle engine, for the uncached part of the prompt.
func (e *engine) prefillTime(r *request) float64 {
	return (r.prompt - e.cached(r) + 1) / e.prefillSpeed()
}

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
	r.prefillAhead = e.prefillAhead(now)
	r.expectedRun = e.runSeconds(r, r.output, now)
	r.alone = r.class == classAlone && e.foreign == 0
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
	e.rememberEnd(now)
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
	e.ahead = e.decodeAhead + e.prefillAhead(now)
}
