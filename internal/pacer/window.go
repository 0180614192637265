package pacer

import "time"

const (
	// startRequests is the initial window of an engine of which nothing speaks against it. With two answers in time it has
	// the 6 or 7 slots of an engine of the platform.
	startRequests = 2
	// pauseMin and pauseMax bound how long an engine gets nothing after late answers to single requests. An engine that has
	// warmed up is found within pauseMax.
	pauseMin = 100 * time.Millisecond
	pauseMax = time.Second
	// latesToPause is the number of late answers in a row from which there is a pause. A single one may have other causes.
	latesToPause = 2
	// closeMemory is how long a closed window opens by single requests only. An engine that is slow when nearly full is
	// tried at full use once in that time.
	closeMemory = 2 * time.Second
	// SettleAge is the time after its start from which an engine counts as tried if nothing else is known of it, and after
	// which a fully open window ends without having been filled. It is above the longest cold start that is known (20 s).
	SettleAge = 30 * time.Second
)

// Change is what an event did to a window.
type Change string

// Changes of a window.
const (
	Unchanged Change = ""
	Began     Change = "began"
	Opened    Change = "opened"
	Closed    Change = "closed"
	Ended     Change = "ended"
)

type phase int

const (
	// unlimited is the phase of an engine that is known to be sound.
	unlimited phase = iota
	// readmitted engines return step by step, without judgement of single answers by the window.
	readmitted
	starting
	recovering
)

// Window bounds the requests in flight on one engine. The zero value has no limit.
type Window struct {
	phase    phase
	requests int
	// since is when the window began or last closed. Runs granted before it say nothing about the window.
	since time.Time
	// closedTo is the window up to which answers double it within closeMemory of closedAt.
	closedTo int
	closedAt time.Time
	// coldUntil is the end of the announced slowness. Slowness until then isn't held against the engine later.
	coldUntil time.Time
	answered  bool
	// inTime counts the answers in time since the window last changed; full those of runs that found nearly all slots
	// in use.
	inTime, full int
	// lates counts the late answers in a row to requests that ran alone.
	lates int
	// openSince is when the window reached the slots; zero before that.
	openSince time.Time
	history   History
}

// Start is what is known of an engine that has just started.
type Start struct {
	// BornAt is when its process started; zero if that isn't known.
	BornAt time.Time
	// Cold is for how long after BornAt the engine stays slow.
	Cold time.Duration
	// OthersFailed is set if other engines of the pool failed at their first requests recently.
	OthersFailed bool
}

// Run describes a run whose end is reported: when it was granted, and how many requests were in flight then, including
// itself.
type Run struct {
	GrantedAt time.Time
	InFlight  int
	Slots     int
}

// Start begins the window of an engine that has started. An engine that started long ago has none, so that a new scheduler
// doesn't pace the engines of its predecessor.
func (w *Window) Start(now time.Time, start Start) Change {
	born := start.BornAt
	if born.IsZero() || born.After(now) {
		born = now
	}
	coldUntil := born.Add(start.Cold)
	*w = Window{history: w.history, coldUntil: coldUntil}
	if !now.Before(born.Add(SettleAge)) && !now.Before(coldUntil) {
		return Unchanged
	}
	w.begin(now, starting)
	if !now.Before(coldUntil) && !start.OthersFailed && w.history.outages(now) == 0 {
		w.requests = startRequests
	}
	return Began
}

// Recover begins the window of an engine that is used again after an exclusion or an outage.
func (w *Window) Recover(now time.Time) Change {
	w.begin(now, recovering)
	return Began
}

// Readmit begins a window that doubles with each answer that the caller reports as in time, and then ends.
func (w *Window) Readmit(now time.Time) { w.begin(now, readmitted) }

func (w *Window) begin(now time.Time, phase phase) {
	*w = Window{phase: phase, requests: 1, since: now, coldUntil: w.coldUntil, lates: w.lates, history: w.history}
}

// Adopt admits the requests that a predecessor has granted, so that the window of a new scheduler isn't smaller than that
// of its predecessor.
func (w *Window) Adopt(inFlight int) {
	if w.Active() {
		w.requests = max(w.requests, inFlight)
	}
}

// Answered opens the window after an answer in time. While nothing speaks against the engine, each answer doubles it.
func (w *Window) Answered(now time.Time, run Run) Change {
	if !w.Active() || run.GrantedAt.Before(w.since) {
		return Unchanged
	}
	w.answered, w.lates = true, 0
	w.inTime++
	if w.phase != readmitted {
		// More than the window were in flight because of the floor, and the engine kept up.
		w.requests = max(w.requests, min(run.InFlight, run.Slots))
	}
	if run.InFlight >= run.Slots-run.Slots/8 {
		w.full++
	}
	if w.requests >= run.Slots {
		return w.endIfSettled(now, run.Slots)
	}
	switch {
	case w.requests < w.doublesUpTo(now, run.Slots):
		w.requests = min(2*w.requests, run.Slots)
	case w.inTime >= w.requests:
		w.requests++
	default:
		return Unchanged
	}
	w.inTime = 0
	if w.requests >= run.Slots {
		w.openSince, w.full = now, 0
		if w.phase == readmitted {
			return w.end()
		}
	}
	return Opened
}

// endIfSettled ends a fully open window once as many answers as the engine has slots came in time while nearly all slots
// were in use, or after SettleAge without slowness.
func (w *Window) endIfSettled(now time.Time, slots int) Change {
	if w.openSince.IsZero() {
		w.openSince = now
	}
	if w.full < slots && now.Sub(w.openSince) < SettleAge && w.phase != readmitted {
		return Unchanged
	}
	return w.end()
}

func (w *Window) end() Change {
	*w = Window{history: w.history}
	return Ended
}

// doublesUpTo returns the window up to which each answer doubles it: less after the window closed, and for an engine that
// flaps. A single outage may have any cause and isn't held against the engine.
func (w *Window) doublesUpTo(now time.Time, slots int) int {
	if w.phase == readmitted {
		return slots
	}
	limit := max(1, slots>>max(0, w.history.outages(now)-1))
	if !w.closedAt.IsZero() && now.Sub(w.closedAt) < closeMemory {
		limit = min(limit, w.closedTo)
	}
	return limit
}

// Late closes the window by a quarter after an answer that came later than expected.
func (w *Window) Late(now time.Time, run Run) Change {
	if w.Active() && run.InFlight <= 1 && !run.GrantedAt.Before(w.since) {
		w.lates++
	}
	return w.close(now, run, max(1, w.requests/4))
}

// Pause returns how long the engine should get nothing because it is late even with a single request; 0 if it isn't.
func (w *Window) Pause() time.Duration {
	if w.lates < latesToPause || w.requests > 1 {
		return 0
	}
	return min(pauseMin<<min(w.lates-latesToPause, 10), pauseMax)
}

// Failed closes the window by half after a failure or a lost answer.
func (w *Window) Failed(now time.Time, run Run) Change { return w.close(now, run, (w.requests+1)/2) }

// close takes part from the window, once for all runs that were in flight together.
func (w *Window) close(now time.Time, run Run, part int) Change {
	if !w.Active() || w.phase == readmitted || run.GrantedAt.Before(w.since) {
		return Unchanged
	}
	before := w.requests
	w.requests = max(1, min(w.requests, run.Slots)-part)
	w.inTime, w.full, w.openSince, w.since = 0, 0, time.Time{}, now
	// An engine that hasn't answered in time yet is cold rather than too full, and opens quickly once it is warm.
	if w.answered && !run.GrantedAt.Before(w.coldUntil) {
		w.closedTo, w.closedAt = w.requests, now
	}
	if w.requests == before {
		return Unchanged
	}
	return Closed
}

// RecordOutage records that the engine was excluded or went down, so that it opens more slowly after it recovers. Failed probes of
// one outage count once.
func (w *Window) RecordOutage(now time.Time) {
	if w.Tried() || w.history.Forgotten(now) {
		w.history.Add(now)
	}
}

// Active reports whether the engine has a window.
func (w *Window) Active() bool { return w.phase != unlimited }

// Returning reports whether the engine has been out of use and its window hasn't ended.
func (w *Window) Returning() bool { return w.phase == readmitted || w.phase == recovering }

// Tried reports whether the engine is known to answer in time.
func (w *Window) Tried() bool { return w.phase == unlimited || w.answered }

// Since returns when the window began or last closed.
func (w *Window) Since() time.Time { return w.since }

// Requests returns the window, or 0 if there is no limit.
func (w *Window) Requests() int {
	if !w.Active() {
		return 0
	}
	return w.requests
}

// Earned returns the number of the engine's slots that answers in time speak for: all of them once the window is fully
// open. A partly open window doesn't count, or the first answers of a pool that has just started would lower its floor.
func (w *Window) Earned(slots int) int {
	if !w.Active() || w.answered && w.requests >= slots {
		return slots
	}
	return 0
}

// History returns what is remembered of an engine's earlier lives.
func (w *Window) History() History { return w.history }

// SetHistory sets what is remembered of an engine's earlier lives.
func (w *Window) SetHistory(history History) { w.history = history }
