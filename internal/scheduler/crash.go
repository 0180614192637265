package scheduler

import (
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/isolator"
	"coltsfootplank/internal/protocol"
)

// crashEvidence is what shows that an engine has crashed and not only lost connections.
type crashEvidence string

const (
	evidencePollFailed  crashEvidence = "load report failed"
	evidenceRestart     crashEvidence = "restart"
	evidenceUnreachable crashEvidence = "a holder could not connect"
	// evidenceEarlier is for runs whose loss is reported after the evidence of the crash.
	evidenceEarlier crashEvidence = "earlier evidence"
)

// lostRun is a request whose connection to the engine broke.
type lostRun struct {
	requestID   string
	fingerprint uint64
	at          time.Time
	alone       bool
}

// recordCrashEvidence records that a load report failed or showed a restart. Requests that were lost shortly before
// become suspects; those in flight become suspects when their loss is reported.
func (s *Scheduler) recordCrashEvidence(e *engine, now time.Time, evidence crashEvidence) {
	e.crashEvidenceAt = now
	for _, l := range e.lost {
		if now.Sub(l.at) <= s.settings.CrashWindow {
			s.markSuspect(now, e, l, evidence)
		}
	}
	e.lost = e.lost[:0]
	if evidence == evidenceRestart {
		for _, r := range e.granted {
			r.crashed = true
		}
	}
}

// recordUnreachable records that a holder could not connect to the engine, which reveals a crash long before the next
// load report fails. The cause may also be the holder's network, so requests that were lost shortly before become
// suspects, but one that ran alone becomes poison only after a failed load report or a restart.
func (s *Scheduler) recordUnreachable(e *engine, now time.Time) {
	e.lost = slices.DeleteFunc(e.lost, func(l lostRun) bool {
		if l.alone || now.Sub(l.at) > s.settings.CrashWindow {
			return false
		}
		s.markSuspect(now, e, l, evidenceUnreachable)
		return true
	})
}

// observeLoss handles a connection to the engine that broke during a request. A broken connection counts as a crash
// only together with a restart or a failed load report of the engine.
func (s *Scheduler) observeLoss(now time.Time, e *engine, r *request, release *protocol.Release) {
	l := lostRun{requestID: release.GetRequestId(), fingerprint: release.GetFingerprint(), at: now}
	recent := !e.crashEvidenceAt.IsZero() && now.Sub(e.crashEvidenceAt) <= s.settings.CrashWindow
	if r != nil {
		l.fingerprint, l.alone = r.ticket.GetFingerprint(), r.alone
		recent = recent && !r.grantedAt.After(e.crashEvidenceAt) || r.crashed
	}
	if recent {
		s.markSuspect(now, e, l, evidenceEarlier)
		return
	}
	for len(e.lost) > 0 && now.Sub(e.lost[0].at) > s.settings.CrashWindow {
		e.lost = e.lost[1:]
	}
	e.lost = append(e.lost, l)
}

// markSuspect records a crash during the request and applies the new state to queued tickets with the same fingerprint.
func (s *Scheduler) markSuspect(now time.Time, e *engine, l lostRun, evidence crashEvidence) {
	s.counters.CrashedRuns++
	crashes := s.isolator.RecordCrash(now, l.fingerprint, l.alone)
	s.logger.Info("run suspected of a crash", zap.String("request_id", l.requestID), zap.String("pool", s.pool),
		zap.String("upstream", e.info.Name), zap.String("evidence", string(evidence)), zap.Duration("lost_for", now.Sub(l.at)),
		zap.String("fingerprint", strconv.FormatUint(l.fingerprint, 16)), zap.Uint32("crashes", crashes),
		zap.Bool("poison", s.isolator.State(now, l.fingerprint) == isolator.Poison))
	s.reclassify(now, map[uint64]bool{l.fingerprint: true})
}

// reclassify handles the queued tickets of requests that became suspect or poison, or are no longer: it moves the
// tickets to the queue of their new class, or refuses them.
func (s *Scheduler) reclassify(now time.Time, fingerprints map[uint64]bool) {
	for _, r := range s.requests {
		if r.workQueue == nil || !fingerprints[r.ticket.GetFingerprint()] {
			continue
		}
		s.dequeue(r)
		s.engines.unreserve(r)
		if s.refuseIfPoison(r, now) {
			continue
		}
		s.classify(r, now)
		s.enqueue(r)
	}
}

// refuseIfPoison refuses a poison request and reports whether it did.
func (s *Scheduler) refuseIfPoison(r *request, now time.Time) bool {
	if s.isolator.State(now, r.ticket.GetFingerprint()) != isolator.Poison {
		return false
	}
	s.refuse(r, CodePoison, "the request crashed an engine while it ran alone", 0)
	return true
}

// AddConvictions merges suspect and poison requests received by gossip from another router.
func (s *Scheduler) AddConvictions(now time.Time, convictions []*protocol.Conviction) {
	s.recordInput(now)
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

// Convictions returns the suspect and poison requests to gossip.
func (s *Scheduler) Convictions(now time.Time) []*protocol.Conviction { return s.isolator.List(now) }
