package scheduler

import (
	"math"
	"time"

	"coltsfootplank/internal/protocol"
)

const (
	// slowPhase is the usual length of a slow phase of a machine that engines share: it takes 2.5 times as long for
	// about 600 ms.
	slowPhase = 600 * time.Millisecond
	// workDecay is the time constant with which samples of the work percentage lose weight. Less than a tenth of a sample
	// is left after slowPhase.
	workDecay = 250 * time.Millisecond
	// workPrior is the weight of the usual speed against that of samples, of which a fresh one has weight 1. One sample then
	// raises the expected time by at most two thirds of what it states.
	workPrior = 0.5
	// workSampleInterval is the distance of samples that count in full. Requests that end together state the same moment,
	// and machines change their speed about each 100 ms.
	workSampleInterval = 100 * time.Millisecond
	// workSampleFloor is the weight of a sample that isn't newer than the one before.
	workSampleFloor = 0.1
	// maxWorkFactor bounds the factor. Machines become 2.5 times slower; a higher figure is wrong, and shouldn't take the
	// engine out of use.
	maxWorkFactor = 4
	// slowFactor is the factor from which a machine counts as slow.
	slowFactor = 1.25
)

// workFactor is how long work takes on an engine's machine now, relative to the usual time, from the work percentages that
// the engine states in its answers. It is the mean of the samples and of workPrior samples of the usual speed, so that it
// returns to 1 without fresh samples: samples come with releases, often from a busy engine and rarely from an idle one. It
// is never below 1, so that a fast sample doesn't attract a burst. The zero value is the usual speed.
type workFactor struct {
	// excess is the weighted sum of the samples less 1, and weight the sum of their weights, as of at.
	excess float64
	weight float64
	at     time.Time
	// sampledAt is the time that the newest sample is about.
	sampledAt time.Time
	// slowSince is since when the machine has been slow, as of the newest sample; zero if it isn't. sampled is the value
	// after that sample.
	slowSince time.Time
	sampled   float64
	// total is the integral of the factor less 1 up to at, in seconds.
	total float64
}

// decay returns the weight that is left of a sample after some time.
func (w *workFactor) decay(passed time.Duration) float64 {
	return math.Exp(-max(0, passed).Seconds() / workDecay.Seconds())
}

// value returns the factor.
func (w *workFactor) value(now time.Time) float64 {
	if w.excess <= 0 {
		return 1
	}
	left := w.decay(now.Sub(w.at))
	return 1 + w.excess*left/(w.weight*left+workPrior)
}

// since returns the integral of the factor less 1 from at to now, in seconds.
func (w *workFactor) since(now time.Time) float64 {
	if w.excess <= 0 || !now.After(w.at) {
		return 0
	}
	left := w.decay(now.Sub(w.at))
	return w.excess / w.weight * workDecay.Seconds() * math.Log((w.weight+workPrior)/(w.weight*left+workPrior))
}

// advance sets at to now.
func (w *workFactor) advance(now time.Time) {
	w.total += w.since(now)
	left := w.decay(now.Sub(w.at))
	w.excess, w.weight, w.at = w.excess*left, w.weight*left, now
}

// observe records a sample of some age.
func (w *workFactor) observe(now time.Time, factor float64, age time.Duration) {
	w.advance(now)
	if w.value(now) < slowFactor {
		w.slowSince = time.Time{}
	}
	about := now.Add(-age)
	weight := 1.0
	if !w.sampledAt.IsZero() {
		weight = min(max(about.Sub(w.sampledAt).Seconds()/workSampleInterval.Seconds(), workSampleFloor), 1)
	}
	weight *= w.decay(age)
	w.excess += weight * (factor - 1)
	w.weight += weight
	if about.After(w.sampledAt) {
		w.sampledAt = about
	}
	if w.sampled = w.value(now); w.sampled >= slowFactor && w.slowSince.IsZero() {
		w.slowSince = about
	}
}

// unconfirmed returns the factor for an engine that has requests in flight. If the newest sample showed it slow, the factor
// doesn't fall until a new sample comes, for twice the length of a slow phase at most: an engine that may have recovered is
// tried with one request. A machine that is slow for seconds would otherwise get a burst each time that its samples have
// decayed.
func (w *workFactor) unconfirmed(now time.Time) float64 {
	if w.sampled >= slowFactor && now.Sub(w.sampledAt) < 2*slowPhase {
		return max(w.value(now), w.sampled)
	}
	return w.value(now)
}

// stretch returns how long work takes that takes the given time in seconds at the usual speed of the engine. A slowdown is
// expected to last for another slowPhase, or as long as it has lasted already: a stream of several seconds isn't delayed by
// 2.5 times its length because its engine is slow for 600 ms, but may be if the engine has been slow for seconds.
func (e *engine) stretch(seconds float64, now time.Time) float64 {
	w := &e.work
	factor := w.value(now)
	if len(e.granted) > 0 {
		factor = w.unconfirmed(now)
	}
	if factor <= 1 {
		return seconds
	}
	remaining := slowPhase.Seconds()
	if !w.slowSince.IsZero() {
		remaining = max(remaining, now.Sub(w.slowSince).Seconds())
	}
	return min(seconds*factor, seconds+remaining*(1-1/factor))
}

// lost returns the part of the time from at to now, in seconds, in which a slow machine did no work of its usual speed.
func (w *workFactor) lost(now time.Time) float64 {
	slowdown, elapsed := w.since(now), now.Sub(w.at).Seconds()
	if slowdown <= 0 {
		return 0
	}
	return elapsed - elapsed/(1+slowdown/elapsed)
}

// statedFactor returns the factor that a load states, or 1 if it states none.
func statedFactor(load *protocol.EngineLoad) float64 {
	return min(max(float64(load.GetWorkPercent())/100, 1), maxWorkFactor)
}

// recordStated records what an engine states about its load with a release. Statements of an earlier process of the engine
// are ignored.
func (s *Scheduler) recordStated(e *engine, release *protocol.Release, now time.Time) {
	load := release.GetLoad()
	if load == nil || e.statedByOther(release) {
		return
	}
	age := time.Duration(min(max(0, load.GetAgeMs()), time.Hour.Milliseconds())) * time.Millisecond
	if load.GetWorkPercent() > 0 {
		e.advanceWork(now)
		e.work.observe(now, statedFactor(load), age)
		e.updateAhead(now)
		s.engines.worksStated = true
	}
	s.engines.reindex(e)
}

// advanceWork moves the expected end of the prefills by the time that they have lost since the last call.
func (e *engine) advanceWork(now time.Time) {
	e.prefillUntil = e.prefillUntil.Add(secondsToDuration(e.work.lost(now)))
	e.work.advance(now)
}

// runFactor returns the factor that was in force during a run. The speeds that are learnt from the run are multiplied by it;
// a slow phase would otherwise count twice, in the speeds and in the factor. The run's own sample counts in full in runs
// that are shorter than a slow phase, since most of them are within one phase, and not at all if it is older than the run.
// r is nil if another scheduler made the grant.
func (e *engine) runFactor(r *request, release *protocol.Release, now time.Time) float64 {
	elapsed := time.Duration(release.GetTotalMs()) * time.Millisecond
	mean := 1.0
	if r != nil && now.After(r.workSince) {
		elapsed = now.Sub(r.workSince)
		mean += (e.work.total + e.work.since(now) - r.workTotal) / elapsed.Seconds()
	}
	load := release.GetLoad()
	if load.GetWorkPercent() == 0 || elapsed <= 0 || load.GetAgeMs() > elapsed.Milliseconds() {
		return mean
	}
	ownWeight := min(1, slowPhase.Seconds()/elapsed.Seconds())
	return statedFactor(load)*ownWeight + mean*(1-ownWeight)
}

// anySlow reports whether an engine is slow according to its answers.
func (s *engineSet) anySlow() bool {
	if s.worksStated {
		for _, e := range s.list {
			if e.work.value(s.now) >= slowFactor {
				return true
			}
		}
	}
	return false
}
