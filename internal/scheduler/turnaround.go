package scheduler

import (
	"slices"
	"time"

	"coltsfootplank/internal/protocol"
)

const (
	// turnaroundRuns is the number of recent runs of an engine from which its turnaround is derived.
	turnaroundRuns = 32
	// turnaroundInterval is the number of runs after which the turnaround is derived again, and the smallest number that it
	// is derived from.
	turnaroundInterval = 8
	// turnaroundMaxRun is the longest usual run for which an engine gets requests beyond its slots. Such a request waits for
	// about one run, so that twice the run has to fit into the objective of the plain services, 150 ms.
	turnaroundMaxRun = 75 * time.Millisecond
	// turnaroundRecovery is the time after which an engine that shed a request gets one more request beyond its slots.
	// It doubles with each further shed, up to turnaroundRecoveryMax, so that engines without a queue aren't tried again and
	// again, until none has come for turnaroundForget.
	turnaroundRecovery    = 500 * time.Millisecond
	turnaroundRecoveryMax = 8 * time.Second
	turnaroundForget      = 30 * time.Second
)

// turnaround derives how many requests beyond its slots an engine needs in flight. A slot stays empty while a release, the next
// grant and the request cross the network. Behind links of 3.4 ms, the six slots of an engine with runs of 15 ms are empty
// for a third of the time, and a pool in overload refuses requests meanwhile. Engines queue in order of arrival, so that a
// few more requests in flight wait there until a slot is free.
type turnaround struct {
	// links holds the time from grant to release less the time that the holder measured, and totals the latter, both of the
	// last runs, in a ring.
	links, totals []time.Duration
	runs          int
	// needed is the number of requests beyond the slots, in proportion to the slots.
	needed float64
	// shedAt is when the engine last shed a request, and recovery the time after which it gets one more beyond its slots.
	shedAt   time.Time
	recovery time.Duration
}

// observe records an answered run.
func (t *turnaround) observe(span, total time.Duration) {
	link := max(0, span-total)
	if len(t.links) < turnaroundRuns {
		t.links, t.totals = append(t.links, link), append(t.totals, total)
	} else {
		t.links[t.runs%turnaroundRuns], t.totals[t.runs%turnaroundRuns] = link, total
	}
	if t.runs++; t.runs%turnaroundInterval == 0 {
		t.derive()
	}
}

// derive computes the requests needed beyond the slots. The run is the lower eighth of the totals: those of holders near the
// engine, which a few answers without a run don't distort. What the usual total exceeds it by is the path between holder
// and engine, if it isn't longer than the path between scheduler and holder; runs of different lengths differ by more. A
// request that waits in the engine's queue adds to the totals, which lowers the result.
func (t *turnaround) derive() {
	links, totals := slices.Sorted(slices.Values(t.links)), slices.Sorted(slices.Values(t.totals))
	link, total := links[len(links)/2], totals[len(totals)/2]
	run := max(time.Millisecond, totals[len(totals)/8])
	t.needed = 0
	if total <= turnaroundMaxRun {
		t.needed = min(1, float64(link+min(link, total-run))/float64(run))
	}
}

// shed ends the requests beyond the slots; they come back one by one.
func (t *turnaround) shed(now time.Time) {
	switch since := now.Sub(t.shedAt); {
	case since > turnaroundForget:
		t.recovery = turnaroundRecovery
	case since >= t.recovery:
		t.recovery = min(2*t.recovery, turnaroundRecoveryMax)
	}
	t.shedAt = now
}

// slots returns the number of requests beyond the given slots, at most as many as these.
func (t *turnaround) slots(slots int, now time.Time) int {
	extra := int(t.needed*float64(slots) + 0.5)
	if !t.shedAt.IsZero() {
		extra = min(extra, int(now.Sub(t.shedAt)/t.recovery))
	}
	return max(0, extra)
}

// turnaroundSlots returns the number of requests that the engine may have in flight beyond its slots. An engine that has
// less than all of its slots for any reason gets none: it returns step by step, or others use it too. Neither does a model
// engine, on which short answers run beside long ones: a request in its queue may wait for one of those.
func (s *engineSet) turnaroundSlots(e *engine) int {
	if !s.settings.Turnaround || e.info.KVTokens > 0 || s.share < 1 || e.pace.Active() || e.runningAlone != nil || e.slots < e.info.Slots {
		return 0
	}
	return e.turnaround.slots(e.info.Slots, s.now)
}

// beyondSlotsCost is the time in seconds that the choice of an engine adds if the request would wait in the engine's queue.
// It is above the cost of a new connection, so that a request only waits there if no engine has a free slot.
const beyondSlotsCost = 60

// queueCost returns the penalty in seconds for an engine whose slots are all in use.
func (e *engine) queueCost() float64 {
	if e.extraSlots > 0 && len(e.granted)+e.foreignInFlight >= e.info.Slots {
		return beyondSlotsCost
	}
	return 0
}

// observeTurnaround learns from the end of a grant.
func (s *engineSet) observeTurnaround(e *engine, r *request, release *protocol.Release, now time.Time) {
	switch release.GetKind() {
	case protocol.ReleaseKind_RELEASE_KIND_SHED:
		e.turnaround.shed(now)
	case protocol.ReleaseKind_RELEASE_KIND_ANSWERED:
		if r != nil && !r.adopted {
			e.turnaround.observe(now.Sub(r.grantedAt), time.Duration(release.GetTotalMs())*time.Millisecond)
		}
	}
	if extra := s.turnaroundSlots(e); extra != e.extraSlots {
		e.extraSlots = extra
		s.reindex(e)
	}
}
