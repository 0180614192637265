package isolator

import "time"

// State determines how a request is run.
type State int

// States of a fingerprint or part.
const (
	// Clear requests may share an engine with other requests.
	Clear State = iota
	// Suspect requests were in flight on an engine when it crashed. They run alone on an engine.
	Suspect
	// Poison requests crashed an engine while running alone, or reached the crash limit. They are refused, as are requests
	// with a poison part.
	Poison
)

// Settings configures an isolator.
type Settings struct {
	// SuspectRetention is how long a request or part stays suspect after a crash.
	SuspectRetention time.Duration
	// PoisonRetention is how long a request stays poison after a crash, and the longest time that a part does.
	PoisonRetention time.Duration
	// MaxEntries is the maximum number of entries. The suspect that expires first is evicted to make room.
	MaxEntries int
	// CrashLimit, if it isn't 0, is the number of crashes at the begin of its answer after which a request becomes poison, or
	// half the number of crashes at any time. Suspects then don't run alone.
	CrashLimit int
	// PartCrashLimit is the number of crashes after which a part can become poison; 0 means never.
	PartCrashLimit int
}

// Traits are the hashes by which a request is recognised: the fingerprint of its content, and the parts of its prompt that
// other requests may share. A fingerprint of 0 is unknown.
type Traits struct {
	Fingerprint uint64
	Parts       []uint64
}

// Isolator is the table of suspect and poison requests and parts. It is not safe for concurrent use.
type Isolator struct {
	settings Settings
	suspects map[uint64]*suspect
	crashes  map[uint64]*crash
	sound    *soundParts
	// trials holds, by request, the poison that the request tests after its retention.
	trials map[string][]*suspect
}

// New returns an empty table.
func New(settings Settings) *Isolator {
	return &Isolator{
		settings: settings, suspects: make(map[uint64]*suspect), crashes: make(map[uint64]*crash),
		sound: newSoundParts(max(1, settings.MaxEntries)), trials: make(map[string][]*suspect),
	}
}

// State returns the state of a fingerprint or part. 0 means unknown and is always Clear.
func (i *Isolator) State(now time.Time, trait uint64) State {
	s := i.find(now, trait)
	switch {
	case s == nil:
		return Clear
	case s.refused(now):
		return Poison
	case s.part || s.poison || i.settings.CrashLimit > 0 || len(s.blamedRuns()) == 0:
		return Clear
	}
	return Suspect
}

// Run is a request that was lost in the crash of its engine.
type Run struct {
	Traits
	GrantedAt time.Time
	// Begun is set if the engine had sent more of the answer than its first event.
	Begun bool
	// Alone is set if no other request ran on the engine.
	Alone bool
}

// Crash is one crash of an engine. At is when its requests were lost.
type Crash struct {
	ID uint64
	At time.Time
}

// RecordCrash records that an engine crashed while it ran the request, and returns the fingerprints and parts whose state
// may have changed. Without a CrashLimit, only a crash while alone makes a request poison, so that a harmless request is
// never refused because of the requests that it ran with.
func (i *Isolator) RecordCrash(now time.Time, c Crash, run Run) (changed []uint64) {
	known := i.recordedCrash(now, c)
	if !run.Begun {
		known.requests++
	}
	request := i.blame(now, known, run.Fingerprint, false, run)
	if !run.Begun && i.settings.PartCrashLimit > 0 {
		for _, part := range run.Parts {
			i.blame(now, known, part, true, run)
		}
	}
	changed = i.convictParts(now)
	if request == nil {
		return changed
	}
	if run.Alone || i.crashLimitReached(request) {
		i.convict(now, request, nil)
	}
	return append(changed, run.Fingerprint)
}

// lateCrashFactor is the factor on CrashLimit for crashes in the middle of an answer. A long answer is often under way when its
// engine ends for another reason.
const lateCrashFactor = 2

// crashLimitReached reports whether a request is poison because of the number of its crashes.
func (i *Isolator) crashLimitReached(s *suspect) bool {
	limit, runs := i.settings.CrashLimit, s.blamedRuns()
	return limit > 0 && (len(unbegun(runs)) >= limit || len(runs) >= lateCrashFactor*limit)
}

// blame adds a crash to a suspect. It returns nil if the trait is unknown.
func (i *Isolator) blame(now time.Time, c *crash, trait uint64, part bool, run Run) *suspect {
	if trait == 0 {
		return nil
	}
	s := i.findOrAdd(now, trait, part)
	s.addRun(lostRun{crash: c, grantedAt: run.GrantedAt, fingerprint: run.Fingerprint, begun: run.Begun})
	s.local = true
	switch {
	case !s.poison:
		s.expires = now.Add(i.settings.SuspectRetention)
	case s.probation:
		i.convict(now, s, s.together)
	}
	c.explained = c.explained || part && s.refused(now) && s.appliesTo(run.Traits)
	return s
}

// RecordBegun records that an engine began to answer a request with the parts, and therefore doesn't crash on any of them.
// It returns the parts whose state may have changed.
func (i *Isolator) RecordBegun(now, grantedAt time.Time, parts []uint64) (changed []uint64) {
	if i.settings.PartCrashLimit <= 0 {
		return nil
	}
	cleared := false
	for _, part := range parts {
		i.sound.record(part, grantedAt)
		if s := i.find(now, part); s != nil && i.clearBefore(now, s, grantedAt) {
			cleared = true
		}
	}
	if cleared {
		return i.convictParts(now)
	}
	return nil
}

// RecordAnswer records that an engine answered a request completely. Poison requests stay refused during their retention.
func (i *Isolator) RecordAnswer(now, grantedAt time.Time, fingerprint uint64) {
	if s := i.find(now, fingerprint); s != nil && !s.refused(now) {
		i.clearBefore(now, s, grantedAt)
	}
}

// clearBefore clears a suspect of the crashes of runs that were granted no later than a run that went well, and ends poison
// to which no crash is left. It reports whether any crash was cleared.
func (i *Isolator) clearBefore(now time.Time, s *suspect, grantedAt time.Time) bool {
	if !grantedAt.After(s.soundAt) {
		return false
	}
	before := len(s.blamedRuns())
	s.soundAt = grantedAt
	if s.poison && s.refuted() {
		i.endPoison(now, s)
	}
	return len(s.blamedRuns()) < before
}

// Retract removes a crash that turned out to be none. What is poison already stays so.
func (i *Isolator) Retract(id uint64) {
	c := i.crashes[id]
	if c == nil {
		return
	}
	delete(i.crashes, id)
	for _, s := range i.suspects {
		if !s.poison && s.dropCrash(c) && len(s.runs) == 0 {
			delete(i.suspects, s.trait)
		}
	}
}
