package scheduler

import (
	"slices"
	"time"

	"coltsfootplank/internal/isolator"
	"coltsfootplank/internal/protocol"
)

// lostRun is a request whose connection to the engine broke.
type lostRun struct {
	fingerprint uint64
	at          time.Time
	alone       bool
}

// crashEvidence notes a failed load report, or a restart. Requests that were lost shortly before become suspects;
// those in flight do when their loss is reported.
func (s *Scheduler) crashEvidence(e *engine, now time.Time, restarted bool) {
	e.evidenceAt = now
	for _, l := range e.lost {
		if now.Sub(l.at) <= s.settings.CrashWindow {
			s.suspect(now, l.fingerprint, l.alone)
		}
	}
	e.lost = e.lost[:0]
	if restarted {
		for _, r := range e.granted {
			r.crashed = true
		}
	}
}

// unreachableEvidence notes a failed connection, which shows a crash long before the next load report fails. It may
// also be the holder's network, so it makes suspects, but what ran alone waits for a report before it is convicted.
func (s *Scheduler) unreachableEvidence(e *engine, now time.Time) {
	e.lost = slices.DeleteFunc(e.lost, func(l lostRun) bool {
		if l.alone || now.Sub(l.at) > s.settings.CrashWindow {
			return false
		}
		s.suspect(now, l.fingerprint, false)
		return true
	})
}

// observeLoss takes a broken connection. Alone it is no crash: only together with a restart or a failed load
// report of the engine.
func (s *Scheduler) observeLoss(now time.Time, e *engine, r *request, fingerprint uint64) {
	l := lostRun{fingerprint: fingerprint, at: now}
	recent := !e.evidenceAt.IsZero() && now.Sub(e.evidenceAt) <= s.settings.CrashWindow
	if r != nil {
		l.fingerprint, l.alone = r.ticket.GetFingerprint(), r.alone
		recent = recent && !r.grantedAt.After(e.evidenceAt) || r.crashed
	}
	if recent {
		s.suspect(now, l.fingerprint, l.alone)
		return
	}
	for len(e.lost) > 0 && now.Sub(e.lost[0].at) > s.settings.CrashWindow {
		e.lost = e.lost[1:]
	}
	e.lost = append(e.lost, l)
}

// suspect records a crash and applies it to the queued tickets with this content.
func (s *Scheduler) suspect(now time.Time, fingerprint uint64, alone bool) {
	s.counters.CrashedRuns++
	s.isolator.RecordCrash(now, fingerprint, alone)
	s.reclassify(now, map[uint64]bool{fingerprint: true})
}

// reclassify moves queued tickets to the queue of suspects, or refuses them.
func (s *Scheduler) reclassify(now time.Time, fingerprints map[uint64]bool) {
	for _, r := range s.requests {
		if r.lane == nil || !fingerprints[r.ticket.GetFingerprint()] {
			continue
		}
		s.dequeue(r)
		s.engines.unreserve(r)
		if s.poisonous(r, now) {
			continue
		}
		s.classify(r, now)
		s.enqueue(r)
	}
}

// poisonous refuses a convicted request.
func (s *Scheduler) poisonous(r *request, now time.Time) bool {
	if s.isolator.State(now, r.ticket.GetFingerprint()) != isolator.Poison {
		return false
	}
	s.refuse(r, CodePoison, "the request crashed an engine while it ran alone", 0)
	return true
}

// AddConvictions merges suspicions and convictions that another router has gossiped.
func (s *Scheduler) AddConvictions(now time.Time, convictions []*protocol.Conviction) {
	s.at(now)
	before := make(map[uint64]isolator.State, len(convictions))
	for _, c := range convictions {
		before[c.GetFingerprint()] = s.isolator.State(now, c.GetFingerprint())
	}
	s.isolator.Merge(now, convictions)
	changed := make(map[uint64]bool)
	for fingerprint, state := range before {
		if s.isolator.State(now, fingerprint) != state {
			changed[fingerprint] = true
		}
	}
	if len(changed) > 0 {
		s.reclassify(now, changed)
	}
}

// Convictions returns the suspicions and convictions to gossip.
func (s *Scheduler) Convictions(now time.Time) []*protocol.Conviction { return s.isolator.List(now) }
