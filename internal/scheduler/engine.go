package scheduler

import (
	"math"
	"time"

	"coltsfootplank/internal/estimator"
	"coltsfootplank/internal/pacer"
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
	// ColdRemaining is for how long after its start the engine stays slow.
	ColdRemaining time.Duration
	Version       string
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
	// extraSlots is the number of requests that it may have in flight beyond slots, to cover the turnaround.
	extraSlots int
	turnaround turnaround

	granted        map[string]*request
	longInFlight   int
	tokensInFlight float64
	// orphans holds, by request ID, the runs that may go on although their grants have ended. share is the part of the capacity
	// that this scheduler may use. Until adoptUntil, grants of other schedulers may not be known.
	orphans    map[string]orphanedRun
	share      float64
	adoptUntil time.Time
	// prefillUntil is when the prefills of the granted requests are expected to be finished at the usual speed.
	prefillUntil time.Time
	// decodeAhead is the expected decoding time of the granted requests in seconds at the usual speed, with all slots
	// decoding in parallel.
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
	// reach is what the holders report about connecting to the engine.
	reach reach
	// pace bounds the requests in flight while the engine returns to use and, with Settings.Pace, after its start.
	// paceLimit is what the window allows now, 0 without a limit, and promptInFlight the sum of the uncached prompt tokens.
	pace           pacer.Window
	poolPace       *poolPace
	paceLimit      int
	promptInFlight float64
	// countedInPool reports whether the pool's slots include those of the engine.
	countedInPool bool
	probeBackoff  time.Duration
	probeAt       time.Time

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
	// work is how long work takes on the engine's machine now.
	work          workFactor
	recentEnds    []time.Time
	nextRecentEnd int
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
		info: info, settings: settings, clock: clock, share: 1, granted: make(map[string]*request),
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

// freeSlots returns the number of free slots, with those beyond the engine's own.
func (e *engine) freeSlots() int {
	if !e.usable() || e.runningAlone != nil {
		return 0
	}
	return max(0, min(e.slots-len(e.granted), e.info.Slots-len(e.granted)-e.foreignInFlight)+e.extraSlots)
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

func (e *engine) prefillSpeed() float64 { return e.prefill.Value() }

func (e *engine) decodeSpeed() float64 { return e.decode.Value() }

// prefillAhead returns the time in seconds until the prefills of the granted requests are expected to be finished, at the
// usual speed of the engine.
func (e *engine) prefillAhead(now time.Time) float64 {
	return max(0, e.prefillUntil.Sub(now).Seconds()+e.work.lost(now))
}

// prefillTime returns the request's time to first token on an idle engine in seconds, for the uncached part of the
// prompt, at the usual speed of the engine.
func (e *engine) prefillTime(r *request) float64 {
	return (r.prompt - e.cached(r) + 1) / e.prefillSpeed()
}

// decodeTime returns the request's part of the engine's decoding time in seconds, with all slots decoding in parallel, at the
// usual speed of the engine.
// One token is added so that requests without output, such as those of plain services, count too.
func (e *engine) decodeTime(r *request) float64 {
	return (r.output + 1) / (e.decodeSpeed() * float64(max(1, e.slots)))
}

// start adds a request to those in flight on the engine.
func (e *engine) start(r *request, now time.Time) {
	r.engine, r.grantedAt = e, now
	e.granted[r.ticket.GetRequestId()] = r
	e.tokensInFlight += r.tokens()
	e.advanceWork(now)
	r.workSince, r.workTotal = now, e.work.total
	r.prefillAhead = e.stretch(e.prefillAhead(now), now)
	r.expectedRun = e.runSeconds(r, r.output, now)
	r.alone = r.class == classAlone && e.foreignInFlight == 0
	r.inFlight, r.promptWork = len(e.granted), r.prompt-e.cached(r)
	e.promptInFlight += r.promptWork
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
	e.promptInFlight -= r.promptWork
	e.decodeAhead = max(0, e.decodeAhead-r.decodeWork)
	switch r.class {
	case classLong:
		e.longInFlight--
	case classAlone:
		e.runningAlone = nil
	}
	if len(e.granted) == 0 {
		// An idle engine has no work ahead, even if the estimates predicted some.
		e.tokensInFlight, e.promptInFlight, e.decodeAhead, e.prefillUntil = 0, 0, 0, now
	}
	e.updateAhead(now)
	r.engine = nil
}

// updateAhead recomputes the work ahead as of now.
func (e *engine) updateAhead(now time.Time) {
	e.ahead = e.stretch(e.decodeAhead+e.prefillAhead(now), now)
}
