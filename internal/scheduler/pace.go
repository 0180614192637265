package scheduler

import (
	"math"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/pacer"
	"coltsfootplank/internal/protocol"
)

const (
	// paceSlack is added to the expected time of a run. It covers a new connection and the way between data centres.
	paceSlack = 20 * time.Millisecond
	// paceWeight is the weight of a new sample in the averages over the runs of tried engines.
	paceWeight = 0.1
	// paceSamples is the number of runs of tried engines from which a kind of work has an expected time.
	paceSamples = 5
	// paceSlowShare is the share of the runs on tried engines that are slower than the slow ones, and paceSlowTolerance the
	// part of the time of a run that those may take.
	paceSlowShare     = 0.05
	paceSlowTolerance = 0.8
	// poolLateShare is the share of late runs on tried engines from which lateness says nothing about a single engine.
	poolLateShare = 0.5
	// maxPaceWorks and maxPaceHistories bound what is remembered of kinds of work and of engines that have left.
	maxPaceWorks     = 256
	maxPaceHistories = 256
	// paceLogLines bounds the log lines about windows in each paceLogInterval.
	paceLogLines    = 5
	paceLogInterval = time.Second
)

// poolPace is what the windows of all engines depend on.
type poolPace struct {
	// floor is the part of its slots that an engine may use whatever its window.
	floor float64
	// typicalPrompt is the mean uncached prompt of the answered requests in tokens.
	typicalPrompt float64
	// works holds the times of runs on tried engines by kind of work. lateShare is the share of these runs that were late.
	works     map[string]*typicalRun
	lateShare float64
	// histories remembers the engines that have left the cell.
	histories map[string]pacer.History
	// failedStarts remembers engines that failed before they had answered anything in time.
	failedStarts pacer.History
	changes      []paceChange
	logFrom      time.Time
	logged       int
	omitted      int
}

// typicalRun is the ratio of the time of a run to what its lengths and the speeds of the pool predict. It covers what the
// prediction leaves out, and all of the time of runs without tokens.
type typicalRun struct {
	// ratio is the mean, and slow the value that paceSlowShare of the runs exceed.
	ratio   float64
	slow    float64
	samples int
}

func (t *typicalRun) observe(ratio float64) {
	t.samples++
	t.ratio += max(paceWeight, 1/float64(t.samples)) * (ratio - t.ratio)
	step := paceWeight * t.ratio
	if ratio > t.slow {
		t.slow += step * (1 - paceSlowShare)
		return
	}
	t.slow -= step * paceSlowShare
}

// lateRatio returns the ratio from which a run counts as late: stragglerRatio times slower than the mean, and slower than on the
// slow ones of the tried engines too. Engines of a pool differ in speed by up to five times, and one that is as fast as others
// in use isn't starting any more.
func (t *typicalRun) lateRatio(stragglerRatio float64) float64 {
	return max(t.ratio/stragglerRatio, t.slow/paceSlowTolerance)
}

type paceChange struct {
	engine *engine
	change pacer.Change
	window int
}

// startPace begins the window of an engine that has started.
func (s *engineSet) startPace(e *engine, info EngineInfo) {
	if e.poolPace = &s.pace; !s.settings.Pace {
		return
	}
	if history, ok := s.pace.histories[info.Name]; ok {
		e.pace.SetHistory(history)
		delete(s.pace.histories, info.Name)
	}
	start := pacer.Start{Cold: info.ColdRemaining, OthersFailed: !s.pace.failedStarts.Forgotten(s.now)}
	if info.Incarnation > 0 {
		start.BornAt = time.UnixMilli(info.Incarnation)
	}
	s.notePace(e, e.pace.Start(s.now, start))
}

// rememberPace keeps the history of an engine that leaves the cell, in case that it comes back.
func (s *engineSet) rememberPace(e *engine) {
	history := e.pace.History()
	if !s.settings.Pace || history.Forgotten(s.now) {
		return
	}
	for name, old := range s.pace.histories {
		if old.Forgotten(s.now) {
			delete(s.pace.histories, name)
		}
	}
	if s.pace.histories == nil {
		s.pace.histories = make(map[string]pacer.History)
	}
	if len(s.pace.histories) < maxPaceHistories {
		s.pace.histories[e.info.Name] = history
	}
}

// beginReturn begins the window of an engine that returns to use, or that is excluded until then.
func (s *engineSet) beginReturn(e *engine, now time.Time) pacer.Change {
	if !s.settings.Pace {
		e.pace.Readmit(now)
		return pacer.Began
	}
	return e.pace.Recover(now)
}

// refreshFloor recomputes how much of its slots each engine may use because the pool has too few tried engines.
func (s *engineSet) refreshFloor() {
	s.pace.floor = 0
	if !s.settings.Pace {
		return
	}
	var slots, earned int
	for _, e := range s.list {
		if e.usable() {
			slots += e.info.Slots
			earned += e.pace.Earned(e.info.Slots)
		}
	}
	s.pace.floor = pacer.Floor(slots, earned)
}

// promptLimit returns the uncached prompt tokens that may be in flight on the engine.
func (e *engine) promptLimit() float64 {
	if !e.settings.Pace {
		return math.Inf(1)
	}
	return pacer.Tokens(e.paceLimit, e.poolPace.typicalPrompt)
}

// windowTokens returns promptLimit for the state dump; 0 if there is no limit.
func (e *engine) windowTokens() int {
	if limit := e.promptLimit(); !math.IsInf(limit, 1) {
		return int(limit)
	}
	return 0
}

func (e *engine) paceRun(r *request) pacer.Run {
	return pacer.Run{GrantedAt: r.grantedAt, InFlight: r.inFlight, Slots: e.info.Slots}
}

// recordPace applies a change of the engine's window.
func (s *engineSet) recordPace(e *engine, change pacer.Change) {
	if change == pacer.Unchanged {
		return
	}
	if change == pacer.Ended {
		e.probeBackoff = 0
		e.decode.Reset()
	}
	s.notePace(e, change)
	if s.settings.Pace {
		// The floor of the other engines depends on this one.
		s.refresh()
		return
	}
	s.refreshOne(e)
}

// judgePace opens or closes the window of an engine after a complete answer, or learns from the answer of a tried engine
// how long such runs take.
func (s *engineSet) judgePace(e *engine, r *request, now time.Time, release *protocol.Release) {
	if !s.settings.Pace || r == nil || e.excluded {
		return
	}
	predicted, total := s.predictRun(e, r, release), float64(release.GetTotalMs())/1000
	work := s.typicalRun(r.ticket.GetWork())
	// Whether the caller got the answer in time says nothing about the engine: the request may have waited in the queue.
	late := work.samples >= paceSamples &&
		total > work.lateRatio(s.settings.StragglerRatio)*predicted+paceSlack.Seconds()
	switch {
	case !e.pace.Active():
		s.pace.lateShare += paceWeight * (boolToShare(late) - s.pace.lateShare)
		// If most runs are late, they have become the usual ones.
		if !late || s.pace.lateShare >= poolLateShare {
			work.observe(total / predicted)
		}
		s.pace.typicalPrompt += paceWeight * (r.promptWork - s.pace.typicalPrompt)
	case !late:
		s.recordPace(e, e.pace.Answered(now, e.paceRun(r)))
	case s.pace.lateShare < poolLateShare:
		s.recordPace(e, e.pace.Late(now, e.paceRun(r)))
		// While less than half of the pool has been tried, the floor is above 0, and every engine is needed.
		if pause := e.pace.Pause(); pause > 0 && s.pace.floor == 0 {
			s.excludeFor(e, now, pause, "late with a single request")
		}
	}
}

func boolToShare(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// predictRun returns the time in seconds of a run with the given lengths at the mean speeds of the pool. The wait for
// earlier prefills, which is an estimate at the engine's own speed, is scaled to that of the pool. Runs without tokens all
// have the same prediction.
func (s *engineSet) predictRun(e *engine, r *request, release *protocol.Release) float64 {
	uncached := max(0, float64(release.GetPromptTokens())-float64(release.GetCachedTokens()))
	output := float64(release.GetOutputTokens())
	if uncached+output == 0 {
		return 1
	}
	wait := r.prefillAhead * min(1, e.prefillSpeed()/s.speeds.meanPrefill)
	return wait + uncached/s.speeds.meanPrefill + output/s.speeds.meanDecode
}

// typicalRun returns the times of a kind of work. Kinds beyond maxPaceWorks share one entry.
func (s *engineSet) typicalRun(work string) *typicalRun {
	if s.pace.works == nil {
		s.pace.works = make(map[string]*typicalRun)
	}
	if s.pace.works[work] == nil && len(s.pace.works) >= maxPaceWorks {
		work = ""
	}
	if s.pace.works[work] == nil {
		s.pace.works[work] = &typicalRun{}
	}
	return s.pace.works[work]
}

// failPace closes the window of an engine that failed or lost a request. r is nil if another scheduler made the grant; the
// failure counts then.
func (s *engineSet) failPace(e *engine, r *request, now time.Time) {
	if !s.settings.Pace || e.excluded {
		return
	}
	if !e.pace.Tried() {
		s.pace.failedStarts.Add(now)
	}
	run := pacer.Run{GrantedAt: now, Slots: e.info.Slots}
	if r != nil {
		run = e.paceRun(r)
	}
	s.recordPace(e, e.pace.Failed(now, run))
}

// avoidsUntried reports whether the ticket goes to an untried engine only if no other engine admits it.
func (s *engineSet) avoidsUntried(r *request) bool {
	return s.settings.Pace && r.tier <= s.settings.UrgentTier
}

// notePace keeps a change of a window for the log.
func (s *engineSet) notePace(e *engine, change pacer.Change) {
	if change == pacer.Unchanged || !s.settings.Pace {
		return
	}
	if len(s.pace.changes) >= paceLogLines {
		s.pace.omitted++
		return
	}
	s.pace.changes = append(s.pace.changes, paceChange{engine: e, change: change, window: e.pace.Requests()})
}

// logPace logs the changes of windows, up to paceLogLines in each paceLogInterval.
func (s *Scheduler) logPace(now time.Time) {
	p := &s.engines.pace
	if len(p.changes) == 0 {
		return
	}
	if now.Sub(p.logFrom) >= paceLogInterval {
		p.logFrom, p.logged = now, 0
	}
	for _, c := range p.changes {
		if p.logged >= paceLogLines {
			p.omitted++
			continue
		}
		p.logged++
		s.logger.Info("engine paced", zap.String("pool", s.pool), zap.String("upstream", c.engine.info.Name),
			zap.String("change", string(c.change)), zap.Int("window", c.window), zap.Int("omitted", p.omitted))
		p.omitted = 0
	}
	p.changes = p.changes[:0]
}
