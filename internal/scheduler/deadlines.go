package scheduler

import (
	"math"
	"time"
)

// infeasible reports whether a ticket can't finish in time behind the work that is served before it: the queues of
// higher tiers, and the part of its own tier's queue that is served before it under the workspaces' fair shares.
func (s *Scheduler) infeasible(r *request, now time.Time) bool {
	if s.engines.slots == 0 || r.latestStart.IsZero() {
		return false
	}
	wait := max(s.expectedWait(r), s.waitAtGrantRate(r, now))
	return now.Add(secondsToDuration(wait)).After(r.latestStart)
}

// expectedWait returns the expected wait in seconds, from the slot time of the tickets queued ahead.
func (s *Scheduler) expectedWait(r *request) float64 {
	var ahead float64
	for _, b := range s.buckets[:r.bucket] {
		ahead += b.slotSeconds
	}
	own := s.buckets[r.bucket]
	a := r.account
	active := own.activeWeight
	if a.queue.len() == 0 {
		active += a.weight
	}
	seconds := a.slotSeconds
	if r.returning {
		seconds = a.returningSeconds
	}
	ahead += math.Min(own.slotSeconds, seconds*active/a.weight)
	return ahead / float64(max(1, s.engines.slots))
}

// refuseTooLate refuses the queued tickets that can no longer finish in time, before an engine spends a prefill on them.
func (s *Scheduler) refuseTooLate(now time.Time) {
	for {
		r, ok := s.deadlines.top()
		if !ok || r.latestStart.After(now) {
			return
		}
		if r.deadline.IsZero() || now.Before(r.deadline) {
			s.refuseOverloaded(r, CodeDeadlineInfeasible, "the deadline is nearer than the shortest run")
		} else {
			s.refuse(r, CodeDeadlineExpired, "the deadline passed in the queue", 0)
		}
	}
}

// engineInTime returns an engine on which the ticket finishes by its deadline: the chosen one if possible, otherwise
// any other that admits the ticket, or nil.
func (s *Scheduler) engineInTime(r *request, chosen *engine, now time.Time) *engine {
	if chosen.meetsDeadline(r, now) {
		return chosen
	}
	index := s.engines.openIndex(r)
	for _, generation := range s.engines.generationList {
		for _, e := range generation.open[index].data.items {
			if e.admits(r) == blockNone && e.meetsDeadline(r, now) {
				return e
			}
		}
	}
	return nil
}

// meetsDeadline reports whether the answer is expected to begin and to finish in time if the request is granted at now.
func (e *engine) meetsDeadline(r *request, now time.Time) bool {
	if !r.deadline.IsZero() && now.Add(secondsToDuration(e.runSeconds(r, r.requiredOutput, now))).After(r.deadline) {
		return false
	}
	return r.startBy.IsZero() || !now.Add(secondsToDuration(e.firstTokenSeconds(r, now))).After(r.startBy)
}

// runSeconds returns the expected time in seconds until the given number of output tokens has been generated, if the
// request is granted at now.
func (e *engine) runSeconds(r *request, output float64, now time.Time) float64 {
	return e.stretch(e.prefillAhead(now)+e.prefillTime(r)+output/e.decodeSpeed(), now)
}

// firstTokenSeconds returns the expected time in seconds until the prompt has been prefilled, if the request is granted at
// now.
func (e *engine) firstTokenSeconds(r *request, now time.Time) float64 {
	return e.stretch(e.prefillAhead(now)+e.prefillTime(r), now)
}

// reachableShare is the part of the remaining time that a required output may take on the fastest engine. The rest is
// left for waiting, including behind other prefills.
const reachableShare = 0.85

// requiredOutput returns the output in tokens that must fit before the deadline: the expected output times the margin
// for estimation errors, reduced to what the fastest engine can generate, but at least the expected output.
func (s *engineSet) requiredOutput(r *request, left time.Duration) float64 {
	reachable := (left.Seconds() - s.bestFirstToken(r)) * s.speeds.bestDecode * reachableShare
	return max(r.output, min(r.output*s.settings.OutputMargin, reachable))
}

// bestRunSeconds returns the shortest possible run in seconds, at the best speeds in the pool.
func (s *engineSet) bestRunSeconds(r *request) float64 {
	if s.speeds.bestPrefill <= 0 {
		return 0
	}
	prompt := r.prompt
	s.prefixes.candidates(r, func(e *engine) { prompt = min(prompt, r.prompt-e.cached(r)) })
	return prompt/s.speeds.bestPrefill + r.output/s.speeds.bestDecode
}

// bestFirstToken returns the time to first token in seconds at the best prefill speed in the pool, without cached
// prefixes and earlier prefills.
func (s *engineSet) bestFirstToken(r *request) float64 {
	if s.speeds.bestPrefill <= 0 {
		return 0
	}
	return r.prompt / s.speeds.bestPrefill
}

// meanSlotSeconds returns the time in seconds that the request takes a slot at the mean speeds of the pool.
func (s *engineSet) meanSlotSeconds(r *request) float64 {
	return r.prompt/s.speeds.meanPrefill + r.output/s.speeds.meanDecode
}

// poolSpeeds holds the best and mean speeds of the usable engines, in tokens per second, as of at.
type poolSpeeds struct {
	at          time.Time
	bestPrefill float64
	bestDecode  float64
	meanPrefill float64
	meanDecode  float64
}

// speedsInterval is the time after which the pool's speeds are recomputed, which visits every engine.
const speedsInterval = time.Second

// speedsDue reports whether the speeds have to be recomputed. Machines whose engines state their slowdowns change their speed
// about each 100 ms, and a pool that is slow as a whole must not refuse tickets for a second after its recovery.
func (s *engineSet) speedsDue(now time.Time) bool {
	interval := speedsInterval
	if s.worksStated {
		interval = workSampleInterval
	}
	return now.Sub(s.speeds.at) >= interval
}

// refreshSpeeds recomputes the best and mean speeds of the pool.
func (s *engineSet) refreshSpeeds() {
	speeds := poolSpeeds{at: s.now, meanPrefill: s.settings.DefaultPrefillPerSec,
		meanDecode: s.settings.DefaultTokensPerSec}
	var prefill, tokens, count float64
	for _, e := range s.list {
		if !e.usable() {
			continue
		}
		factor := e.work.value(s.now)
		speeds.bestPrefill = max(speeds.bestPrefill, e.prefillSpeed()/factor)
		speeds.bestDecode = max(speeds.bestDecode, e.decodeSpeed()/factor)
		prefill += e.prefillSpeed() / factor
		tokens += e.decodeSpeed() / factor
		count++
	}
	if count > 0 {
		speeds.meanPrefill, speeds.meanDecode = prefill/count, tokens/count
	}
	s.speeds = speeds
}

// secondsToDuration converts seconds to a duration. It caps values at one day, because larger ones could overflow the
// type.
func secondsToDuration(value float64) time.Duration {
	return time.Duration(min(value, 86400) * float64(time.Second))
}
