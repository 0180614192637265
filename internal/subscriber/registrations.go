package subscriber

import (
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/kernel"
)

// applyUpstreams applies registrations that were read from the directory: the newest record of each key if whole is set,
// otherwise changes.
func (s *Subscriber) applyUpstreams(page kernel.DirectoryPage, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enterEra(page.Next.Era())
	a := s.arrival(sourceDirectory)
	changed := s.applyRecords(page.Records, a)
	if whole {
		changed = s.dropMissing(keys(page.Records), page.Next, a) || changed
		s.registrationsKnown = true
		s.listings++
	}
	s.table.next = max(s.table.next, page.Next)
	if changed || whole && s.config.Load() != nil {
		s.rebuild(sourceDirectory)
	}
	s.updateReady()
}

// arrival returns how records arrive now. An upstream whose registration is dropped counts as gone at once, or soon after an
// outage of the directory in which the registration may have lapsed.
func (s *Subscriber) arrival(source string) arrival {
	now, lapses := time.Now(), s.lapsesUntil()
	a := arrival{source: source, at: now, goneAt: now, heldUntil: now.Add(s.holdTime()), lapse: lapseHeartbeats * s.options.Heartbeat}
	if lapses.After(now) {
		a.goneAt = lapses
	}
	return a
}

// holdTime is the time in which the directory drops the registration of a silent upstream and this router reads that.
func (s *Subscriber) holdTime() time.Duration {
	return lapseHeartbeats*s.options.Heartbeat + 2*s.options.PollInterval
}

// lostUntil returns until when a record that is missing may have been lost when the directory was restored from a copy; zero if it
// wasn't restored. What upstreams and operators write again is read up to PollInterval later.
func (s *Subscriber) lostUntil() time.Time {
	if s.restoredAfter.IsZero() {
		return time.Time{}
	}
	return s.restoredAfter.Add(s.options.LapseGrace + s.options.PollInterval)
}

// lapsesUntil returns until when a registration that is missing may have lapsed in an outage of the directory, or may have been
// lost when it was restored from a copy. Only an outage that this router has noticed itself counts. Its peers may have been
// turned away while the directory served everyone else.
func (s *Subscriber) lapsesUntil() (until time.Time) {
	until = s.lostUntil()
	for _, h := range s.health {
		// An outage of one topic counts as an outage of the directory, because the other topics may not have been read
		// during it.
		if end := h.failedAt.Add(s.options.LapseGrace); end.After(until) {
			until = end
		}
	}
	return until
}

// applyRecords applies registrations and reports whether the usable upstreams may have changed.
func (s *Subscriber) applyRecords(records []kernel.DirectoryRecord, a arrival) bool {
	changed := false
	var dropped []kernel.DirectoryRecord
	for _, record := range records {
		recordChanged, err := s.table.apply(record, s.options.Directory.Registration, a)
		changed = changed || recordChanged
		if err != nil {
			s.logger.Warn("malformed registration; its upstream is not used", zap.Error(err))
		}
		if recordChanged && record.Value == nil {
			dropped = append(dropped, record)
		}
		if known := s.table.entries[record.Key]; recordChanged && known.held != nil {
			s.logger.Info("registration held back", zap.String("upstream", record.Key), zap.Stringer("position", record.Position),
				zap.Int64("sequence", known.held.stamp.Sequence), zap.Int64("newest_sequence", known.stamp.Sequence),
				zap.Duration("for", time.Until(known.held.until)), zap.String("source", a.source))
		}
	}
	s.logGone(dropped, a)
	return changed
}

// dropMissing drops the upstreams that weren't registered at position next and reports whether there are any. registered holds
// the names of all that were.
func (s *Subscriber) dropMissing(registered []string, next kernel.Position, a arrival) bool {
	names := make(map[string]bool, len(registered))
	for _, name := range registered {
		names[name] = true
	}
	dropped := s.table.dropMissing(names, next, a)
	s.logGone(dropped, a)
	return len(dropped) > 0
}

// keys returns the keys of records.
func keys(records []kernel.DirectoryRecord) []string {
	list := make([]string, 0, len(records))
	for _, record := range records {
		list = append(list, record.Key)
	}
	return list
}

// logGone logs which upstreams have lost their registration, and how much longer they are used.
func (s *Subscriber) logGone(dropped []kernel.DirectoryRecord, a arrival) {
	for _, record := range dropped {
		s.logger.Info("upstream has no registration", zap.String("upstream", record.Key), zap.Stringer("position", record.Position),
			zap.Duration("used_for", max(0, time.Until(s.table.entries[record.Key].goneAt))), zap.String("source", a.source))
	}
}

// applyRegistrations applies the registrations of a peer's state. reading reports whether the peer reads the directory itself now.
func (s *Subscriber) applyRegistrations(state snapshot, reading bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enterEra(state.Next.Era())
	if state.Registered != nil && reading {
		s.table.forgetHeld(state.Next)
	}
	a := s.arrival(sourcePeer)
	a.left = state.Left
	changed := s.applyRecords(state.Upstreams, a)
	if state.Registered != nil && state.Consulted && s.consulted < s.era {
		s.consulted = s.era
		changed = s.holdContradicted(state, a) || changed
	}
	for name, stated := range state.Stamps {
		if known := s.table.entries[name]; known != nil {
			known.stamp = known.stamp.newest(stated)
		}
	}
	settled := state.Next
	if state.Held != nil {
		settled = min(settled, *state.Held)
	}
	if state.Registered != nil {
		changed = s.dropMissing(state.Registered, settled, a) || changed
	}
	s.table.next = max(s.table.next, settled)
	if changed {
		s.rebuild(sourcePeer)
	}
	if state.Registered != nil || len(state.Upstreams) > 0 {
		s.registrationsKnown = true
	}
	s.updateReady()
}

// holdContradicted holds back the records that are older than what a peer knows of upstreams that are leaving or gone, and reports
// whether there are any. A directory that was restored from a copy has these records again.
func (s *Subscriber) holdContradicted(state snapshot, a arrival) bool {
	held := false
	for _, record := range state.Upstreams {
		known := s.table.entries[record.Key]
		if known == nil || known.record.Position <= record.Position {
			continue
		}
		registration, stated := kernel.Registration{}, state.Stamps[record.Key]
		if record.Value != nil {
			decoded, err := s.options.Directory.Registration(record)
			if err != nil || !decoded.Leaving {
				continue
			}
			registration, stated = decoded, stamp{decoded.Incarnation, decoded.Sequence}
		}
		if !known.contradicts(stated) {
			continue
		}
		s.table.holdInForce(known, record, registration, a)
		known.stamp, held = stated, true
		s.logger.Info("registration held back, which a peer knows to be older", zap.String("upstream", record.Key),
			zap.Stringer("position", known.held.record.Position), zap.Stringer("peer_position", record.Position),
			zap.Int64("sequence", known.held.stamp.Sequence), zap.Int64("newest_sequence", stated.Sequence),
			zap.Duration("for", time.Until(known.held.until)))
	}
	// Followers, which may have these records in force, are told once more, and also when there are none.
	s.listings++
	s.notifyFollowers()
	return held
}

// Departed reports whether an upstream is known to be leaving or gone. registered is one more than the position of the
// registration by which the scheduler that granted it knows it; 0 if that isn't known.
func (s *Subscriber) Departed(name string, registered int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.table.entries[name] == nil && now.Before(s.lapsesUntil()) {
		// The registration may have lapsed before this router started.
		return false
	}
	return s.table.departed(now, name, registered)
}
