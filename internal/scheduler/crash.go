package scheduler

import (
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/isolator"
	"coltsfootplank/internal/logger"
	"coltsfootplank/internal/protocol"
)

// crashEvidence is what shows that an engine has crashed and not only lost connections.
type crashEvidence string

const (
	evidencePollFailed   crashEvidence = "load report failed"
	evidenceRestart      crashEvidence = "restart"
	evidenceUnreachable  crashEvidence = "a holder could not connect"
	evidenceRemoved      crashEvidence = "registration ended"
	evidenceReregistered crashEvidence = "registered by another process"
	// evidenceEarlier is for runs whose loss is reported after the evidence of the crash.
	evidenceEarlier crashEvidence = "earlier evidence"
)

// maxLostRuns bounds the lost runs that are kept for one engine. The latest ones are the likeliest cause of a crash.
const maxLostRuns = 256

// lostRun is a request whose connection to the engine broke.
type lostRun struct {
	isolator.Run
	requestID string
	at        time.Time
}

// engineCrash is the latest crash of an engine.
type engineCrash struct {
	isolator.Crash
	// open is set from openedAt, the time of the first evidence, until the engine is seen alive again. Further evidence is
	// of the same crash.
	open     bool
	openedAt time.Time
	// number distinguishes the crashes of an engine of which neither load reports nor registrations show its restarts.
	number int
}

// traits returns what a ticket's request may have in common with others that crash engines. Without parts, the prefixes of
// the prompt stand for them; the longest one belongs to the request itself.
func traits(ticket *protocol.Ticket) isolator.Traits {
	parts := ticket.GetParts()
	if prefixes := ticket.GetPrefixHashes(); len(parts) == 0 && len(prefixes) > 0 {
		parts = prefixes[:len(prefixes)-1]
	}
	return isolator.Traits{Fingerprint: ticket.GetFingerprint(), Parts: parts}
}

// openCrash returns the crash that new evidence belongs to, in which the given runs were lost.
func (e *engine) openCrash(now time.Time, lost []lostRun) isolator.Crash {
	if !e.crash.open {
		at := now
		if len(lost) > 0 {
			at = lost[len(lost)-1].at
		}
		process := strconv.FormatInt(e.info.Incarnation, 10)
		id := isolator.Fingerprint(nil, e.info.Name, process, e.instance, strconv.Itoa(e.crash.number))
		e.crash.Crash, e.crash.open, e.crash.openedAt = isolator.Crash{ID: id, At: at}, true, now
	}
	return e.crash.Crash
}

// closeCrash ends the latest crash, since the engine is alive. The next evidence is of another one.
func (e *engine) closeCrash() {
	if e.crash.open {
		e.crash.open = false
		e.crash.number++
	}
}

// window returns the longest time between a lost connection and the evidence for them to count as one crash.
func (s *Settings) window(evidence crashEvidence) time.Duration {
	if evidence == evidenceRemoved || evidence == evidenceReregistered {
		return s.RegistrationWindow
	}
	return s.CrashWindow
}

// takeLost removes and returns the lost runs that the evidence explains, and drops those that are too old for any.
func (e *engine) takeLost(now time.Time, evidence crashEvidence) (taken []lostRun) {
	var kept []lostRun
	for _, l := range e.lost {
		switch age := now.Sub(l.at); {
		case age > e.settings.RegistrationWindow:
		case age > e.settings.window(evidence), evidence == evidenceUnreachable && l.Alone:
			kept = append(kept, l)
		default:
			taken = append(taken, l)
		}
	}
	e.lost = kept
	return taken
}

// addLost keeps a lost run until there is evidence of a crash.
func (e *engine) addLost(l lostRun) {
	if len(e.lost) >= maxLostRuns {
		e.lost = slices.Delete(e.lost, 0, 1)
	}
	e.lost = append(e.lost, l)
}

// recordCrashEvidence records that a load report failed or showed a restart, or what the registration of the engine shows.
// Requests that were lost shortly before become suspects; those in flight become suspects when their loss is reported.
func (s *Scheduler) recordCrashEvidence(e *engine, now time.Time, evidence crashEvidence) {
	e.crashEvidenceAt = now
	s.recordLost(now, e, e.takeLost(now, evidence), evidence)
	if evidence == evidenceRestart || evidence == evidenceReregistered {
		for _, r := range e.granted {
			r.crashed = true
		}
		e.closeCrash()
	}
}

// recordUnreachable records that a holder could not connect to the engine, which reveals a crash long before the next
// load report fails. The cause may also be the holder's network, so requests that were lost shortly before become
// suspects, but one that ran alone becomes poison only after a failed load report or a restart.
func (s *Scheduler) recordUnreachable(e *engine, now time.Time) {
	if lost := e.takeLost(now, evidenceUnreachable); len(lost) > 0 {
		s.recordLost(now, e, lost, evidenceUnreachable)
	}
}

// recordLost records that runs were lost in a crash of the engine, which is open from now on.
func (s *Scheduler) recordLost(now time.Time, e *engine, lost []lostRun, evidence crashEvidence) {
	crash := e.openCrash(now, lost)
	for _, l := range lost {
		s.recordCrashedRun(now, e, crash, l, evidence)
	}
	if len(lost) > 0 {
		s.logger.Info("upstream taken for crashed", zap.String("pool", s.pool), zap.String("upstream", e.info.Name),
			zap.String("evidence", string(evidence)), zap.Int("lost_runs", len(lost)), logger.Hex("crash", crash.ID))
	}
}

// recordAlive records that the engine answers and is still the instance that it was, so that its lost connections weren't
// caused by a crash.
func (s *Scheduler) recordAlive(e *engine) {
	e.lost, e.crashEvidenceAt = nil, time.Time{}
	if e.crash.open {
		s.isolator.Retract(e.crash.ID)
		e.closeCrash()
	}
}

// observeRegistrations looks for crashes in the new registrations of the engines. The end of a registration is evidence if
// requests were lost before it, since an engine that leaves as planned loses none until then.
func (s *Scheduler) observeRegistrations(now time.Time, engines []EngineInfo) {
	registered := make(map[string]EngineInfo, len(engines))
	for _, info := range engines {
		registered[info.Name] = info
	}
	for _, e := range s.engines.list {
		info, kept := registered[e.info.Name]
		switch {
		case !kept && !e.removed && len(e.lost) > 0:
			s.recordCrashEvidence(e, now, evidenceRemoved)
		case kept && e.info.restartedAs(info):
			s.observeReregistration(e, now)
		}
	}
}

// observeReregistration handles the registration of another process under the engine's name. Load reports show the same
// restart, so it is evidence of a crash only if there are none.
func (s *Scheduler) observeReregistration(e *engine, now time.Time) {
	e.asked, e.reach = asked{}, reach{}
	if e.instance != "" {
		return
	}
	s.recordCrashEvidence(e, now, evidenceReregistered)
	e.crash.number = 0
	s.engines.prefixes.clear(e)
	e.recordReason(now, "the engine registered as another process")
}

// observeLoss handles a connection to the engine that broke during a request. A broken connection counts as a crash
// only together with further evidence. Engines that leave end their connections without a crash.
func (s *Scheduler) observeLoss(now time.Time, e *engine, r *request, release *protocol.Release) {
	if e.leaving || e.draining || e.removed {
		return
	}
	l := lostRun{requestID: release.GetRequestId(), at: now}
	l.Fingerprint, l.GrantedAt, l.Begun = release.GetFingerprint(), now, release.GetBegun()
	recent := !e.crashEvidenceAt.IsZero() && now.Sub(e.crashEvidenceAt) <= s.settings.CrashWindow
	if r != nil {
		l.Traits, l.GrantedAt, l.Alone = traits(r.ticket), r.grantedAt, r.alone
		recent = recent && !r.grantedAt.After(e.crashEvidenceAt) || r.crashed
	}
	if recent {
		s.recordCrashedRun(now, e, e.crash.Crash, l, evidenceEarlier)
		return
	}
	e.addLost(l)
}

// recordCrashedRun records a crash during a request and applies the new states to the queued tickets.
func (s *Scheduler) recordCrashedRun(now time.Time, e *engine, crash isolator.Crash, l lostRun, evidence crashEvidence) {
	s.counters.CrashedRuns++
	if !l.Begun {
		s.logger.Info("run suspected of a crash", zap.String("request_id", l.requestID), zap.String("pool", s.pool),
			zap.String("upstream", e.info.Name), zap.String("evidence", string(evidence)), zap.Duration("lost_for", now.Sub(l.at)),
			logger.Hex("fingerprint", l.Fingerprint), logger.HexList("parts", l.Parts), logger.Hex("crash", crash.ID))
	}
	s.applyStates(now, s.isolator.RecordCrash(now, crash, l.Run))
}

// recordBegun records that the engine began to answer the request, and whether it completed the answer.
func (s *Scheduler) recordBegun(now time.Time, e *engine, r *request, complete bool) {
	if !r.grantedAt.Before(e.crash.openedAt) {
		e.closeCrash()
	}
	t := traits(r.ticket)
	s.applyStates(now, s.isolator.RecordBegun(now, r.grantedAt, t.Parts))
	if complete {
		s.isolator.RecordAnswer(now, r.grantedAt, t.Fingerprint)
	}
}

// applyStates handles the queued tickets of requests whose state has changed: it moves the tickets to the queue of their
// new class, or refuses them.
func (s *Scheduler) applyStates(now time.Time, changed []uint64) {
	if len(changed) == 0 {
		return
	}
	for _, trait := range changed {
		if s.isolator.State(now, trait) == isolator.Poison {
			s.logger.Warn("requests refused as poison", zap.String("pool", s.pool), logger.Hex("trait", trait))
		}
	}
	for _, r := range s.requests {
		if r.workQueue == nil || !hasAny(traits(r.ticket), changed) {
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

func hasAny(t isolator.Traits, changed []uint64) bool {
	return slices.Contains(changed, t.Fingerprint) ||
		slices.ContainsFunc(t.Parts, func(part uint64) bool { return slices.Contains(changed, part) })
}

// refuseIfPoison refuses a request that is poison or has a poison part, and reports whether it did.
func (s *Scheduler) refuseIfPoison(r *request, now time.Time) bool {
	t := traits(r.ticket)
	verdict := s.isolator.Admit(now, r.ticket.GetRequestId(), t)
	if verdict.Trait == 0 {
		return false
	}
	message := "the request crashes engines"
	if verdict.Trait != t.Fingerprint {
		message = "part " + strconv.FormatUint(verdict.Trait, 16) + " of the prompt crashes engines"
	}
	s.refuse(r, CodePoison, message, verdict.RetryAfter)
	return true
}

// AddConvictions merges suspect and poison requests and parts received by gossip from another router.
func (s *Scheduler) AddConvictions(now time.Time, convictions []*protocol.Conviction) {
	s.recordInput(now)
	s.applyStates(now, s.isolator.Merge(now, convictions))
}

// Convictions returns the suspect and poison requests and parts to gossip.
func (s *Scheduler) Convictions(now time.Time) []*protocol.Conviction { return s.isolator.List(now) }
