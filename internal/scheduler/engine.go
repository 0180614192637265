package scheduler

import (
	"math"
	"time"

	"coltsfootplank/internal/estimator"
)

// shedPause is how long an engine gets no requests after it refused one because it was full. It is about the time until
// a slot becomes free.
const shedPause = 100 * time.Millisecond

// EngineInfo describes one engine of the cell. Speeds are in tokens per second: PrefillPerSec for the whole engine,
// TokensPerSec for one output stream. Zero means unknown.
type EngineInfo struct {
	Name          string
	DataCentre    string
	Generation    string
	Slots         int
	PrefillPerSec float64
	TokensPerSec  float64
	KVTokens      int
	// Incarnation distinguishes the starts of an engine that keeps its name; 0 if it isn't known.
	Incarnation int64
	Version     string
}

// restartedAs reports whether another registration under the same name is that of another process.
func (i EngineInfo) restartedAs(other EngineInfo) bool {
	return i.Incarnation != other.Incarnation && i.Incarnation != 0 && other.Incarnation != 0
}

// engine is the scheduler's view of one engine.
type engine struct {
	info     EngineInfo
	settings *Settings
	// clock points to the time of the current call.
	clock *time.Time
	// slots is the number of requests that this scheduler may have in flight on the engine.
	slots int

	granted        map[string]*request
	longInFlight   int
	tokensInFlight float64
	// prefillUntil is when the prefills of the granted requests are expected to be finished.
	prefillUntil time.Time
	// decodeAhead is the expected decoding time of the granted requests in seconds, with all slots decoding in
	// parallel.
	decodeAhead float64
	// ahead is the work ahead of a new request in seconds, as of the last call of updateAhead.
	ahead float64
	// leaving is set by the host.
	leaving bool
	// draining, down and excluded are set from observations. reason is the latest reason to take the engine out of use,
	// and reasonAt is when it was recorded.
	draining bool
	down     bool
	excluded bool
	reason   string
	reasonAt time.Time
	// asked is what the engine asks of the holders in its answers.
	asked asked
	// allowance bounds the requests in flight while the engine returns to use step by step; 0 means no bound.
	allowance int
	// countedInPool reports whether the pool's slots include those of the engine.
	countedInPool bool
	probeBackoff  time.Duration
	probeAt       time.Time
	probedAt      time.Time

	prefill estimator.Speed
	decode  estimator.Speed
	cache   engineCache
	// failedPolls counts consecutive failed polls. instance, batchSlots and reportedRoom are from the last load report.
	failedPolls  int
	instance     string
	batchSlots   int
	reportedRoom int
	// foreignInFlight is the estimated number of requests of other schedulers on the engine.
	foreignInFlight int
	recentEnds      []time.Time
	nextRecentEnd   int
	// consecutiveLosses counts the consecutive requests whose answer was lost because the connection broke.
	consecutiveLosses int
	// lost holds requests whose connection broke recently, without evidence of a crash so far.
	lost            []lostRun
	crashEvidenceAt time.Time
	crash           engineCrash
	// versions limits the grants by version.
	versions *versionLimits
	// removed is set when the engine has left the cell; the engine is kept until its requests have ended.
	removed bool

	// reservedFor is the queued ticket that the engine is reserved for because it needs more than is free; nil if there
	// is none. The engine takes no other tickets of the same or lower tiers.
	reservedFor *request
	// runningAlone is the suspect of a crash that runs on the engine, or nil. The engine admits nothing else meanwhile.
	runningAlone *request

	// urgentReserveShare is the share of the slots that lower tiers leave free for urgent tickets; 0 while no slots are
	// reserved.
	urgentReserveShare float64

	generation *generationIndex
	openPos    [openCount]int
	roomIndex  int
}

func newEngine(info EngineInfo, settings *Settings, clock *time.Time) *engine {
	e := &engine{
		info: info, settings: settings, clock: clock, granted: make(map[string]*request),
		openPos: [openCount]int{-1, -1, -1, -1}, roomIndex: -1,
	}
	e.prefill, e.decode = estimator.NewSpeed(settings.DefaultPrefillPerSec), estimator.NewSpeed(settings.DefaultTokensPerSec)
	if info.PrefillPerSec > 0 {
		e.prefill = estimator.NewSpeed(info.PrefillPerSec)
	}
	if info.TokensPerSec > 0 {
		e.decode = estimator.NewSpeed(info.TokensPerSec)
	}
	return e
}

// freeSlots returns the number of free slots.
func (e *engine) freeSlots() int {
	if !e.usable() || e.runningAlone != nil {
		return 0
	}
	return max(0, min(e.slots-len(e.granted), e.info.Slots-len(e.granted)-e.foreignInFlight))
}

// usable reports whether the engine may receive new work.
func (e *engine) usable() bool {
	return !e.gone() && !e.excluded && e.versions.open(e)
}

// gone reports whether the engine is leaving, down or not in the cell any more.
func (e *engine) gone() bool {
	return e.leaving || e.draining || e.asked.leaving || e.down || e.removed
}

// urgentReserveSlots returns the number of slots that lower tiers leave free for urgent tickets.
func (e *engine) urgentReserveSlots() int {
	return min(e.slots-1, int(math.Round(float64(e.slots)*e.urgentReserveShare)))
}

// room returns the number of KV tokens that requests in flight may fill.
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

func (e *engine) decodeSpeed() float64 { return e.decode.Value() }

// roomLeft returns the number of tokens that a new request may have; an idle engine takes any request.
func (e *engine) roomLeft() float64 {
	if len(e.granted) == 0 {
		return math.Inf(1)
	}
	return e.room() - e.tokensInFlight
}

// prefillAhead returns the time in seconds until the prefills of the granted requests are expected to be finished.
func (e *engine) prefillAhead(now time.Time) float64 {
	return max(0, e.prefillUntil.Sub(now).Seconds())
}

// prefillTime returns the request's time to first token on an idle engine in seconds, for the uncached part of the
// prompt.
func (e *engine) prefillTime(r *request) float64 {
	return (r.prompt - e.cached(r) + 1) / e.prefillSpeed()
}

// decodeTime returns the request's part of the engine's decoding time in seconds, with all slots decoding in parallel.
// One token is added so that requests without output, such as those of plain services, count too.
func (e *engine) decodeTime(r *request) float64 {
	return (r.output + 1) / (e.decodeSpeed() * float64(max(1, e.slots)))
}

// start adds a request to those in flight on the engine.
func (e *engine) start(r *request, now time.Time) {
	r.engine, r.grantedAt = e, now
	e.granted[r.ticket.GetRequestId()] = r
	e.tokensInFlight += r.tokens()
	r.prefillAhead = e.prefillAhead(now)
	r.expectedRun = e.runSeconds(r, r.output, now)
	r.alone = r.class == classAlone && e.foreignInFlight == 0
	r.prefillWork, r.decodeWork = e.prefillTime(r), e.decodeTime(r)
	if e.prefillUntil.Before(now) {
		e.prefillUntil = now
	}
	e.prefillUntil = e.prefillUntil.Add(time.Duration(r.prefillWork * float64(time.Second)))
	e.decodeAhead += r.decodeWork
	e.updateAhead(now)
	switch r.class {
	case classLong:
		e.longInFlight++
	case classAlone:
		e.runningAlone = r
	}
}

// end removes a request that start added.
func (e *engine) end(r *request, now time.Time) {
	delete(e.granted, r.ticket.GetRequestId())
	e.recordEnd(now)
	e.tokensInFlight -= r.tokens()
	e.decodeAhead = max(0, e.decodeAhead-r.decodeWork)
	switch r.class {
	case classLong:
		e.longInFlight--
	case classAlone:
		e.runningAlone = nil
	}
	if len(e.granted) == 0 {
		// An idle engine has no work ahead, even if the estimates predicted some.
		e.tokensInFlight, e.decodeAhead, e.prefillUntil = 0, 0, now
	}
	e.updateAhead(now)
	r.engine = nil
}

// updateAhead recomputes the work ahead as of now.
func (e *engine) updateAhead(now time.Time) {
	e.ahead = e.decodeAhead + e.prefillAhead(now)
}
