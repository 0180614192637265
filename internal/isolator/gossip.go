package isolator

import (
	"slices"
	"time"

	"coltsfootplank/internal/protocol"
)

const (
	// maxCrashIDs bounds the crashes in a message. Fewer suffice for a conviction.
	maxCrashIDs = 8
	// fewRequests is the number of requests lost at the begin of their answer in one crash up to which each of them is
	// suspicious enough to be told to others.
	fewRequests = 3
)

// Merge adds entries from other routers and returns the fingerprints and parts whose state may have changed. An expiry
// later than a local entry could have is shortened, so that a wrong clock on another router can't keep a request poison
// permanently.
func (i *Isolator) Merge(now time.Time, convictions []*protocol.Conviction) (changed []uint64) {
	for _, c := range convictions {
		if i.mergeOne(now, c) {
			changed = append(changed, c.GetFingerprint())
		}
	}
	return append(changed, i.convictParts(now)...)
}

// mergeOne adds one entry. Crashes that are new here count from now on. It reports whether the state may have changed.
func (i *Isolator) mergeOne(now time.Time, c *protocol.Conviction) bool {
	expires := time.UnixMilli(c.GetExpiresUnixMs())
	retention := i.settings.SuspectRetention
	if c.GetConvicted() {
		retention = i.settings.PoisonRetention
	}
	if limit := now.Add(retention); expires.After(limit) {
		expires = limit
	}
	if c.GetFingerprint() == 0 || !now.Before(expires) || c.GetPart() && i.settings.PartCrashLimit <= 0 {
		return false
	}
	before := i.mergeState(now, c.GetFingerprint())
	s := i.findOrAdd(now, c.GetFingerprint(), c.GetPart())
	for _, id := range c.GetCrashIds() {
		known := i.recordedCrash(now, Crash{ID: id, At: now})
		s.addRun(lostRun{crash: known, grantedAt: now, fingerprint: id})
	}
	switch {
	case c.GetConvicted() && (len(c.GetCrashIds()) == 0 || s.blamedForAny(c.GetCrashIds())):
		i.mergePoison(now, s, c, expires)
	case !s.part && !s.poison && i.crashLimitReached(s):
		i.convict(now, s, nil)
	case !s.poison && expires.After(s.expires):
		s.expires = expires
	}
	return i.mergeState(now, c.GetFingerprint()) != before
}

// mergeState is what the queue depends on: the state, and whether a part is poison only together with others.
type mergeState struct {
	state    State
	together bool
}

func (i *Isolator) mergeState(now time.Time, trait uint64) mergeState {
	s := i.find(now, trait)
	return mergeState{state: i.State(now, trait), together: s != nil && len(s.together) > 0}
}

// blamedForAny reports whether one of the crashes isn't refuted here by a later run that went well.
func (s *suspect) blamedForAny(ids []uint64) bool {
	return slices.ContainsFunc(s.runs, func(r lostRun) bool {
		return slices.Contains(ids, r.crash.id) && r.grantedAt.After(s.soundAt)
	})
}

// mergePoison makes a suspect poison, or extends its poison. What is poison on its own anywhere is so everywhere.
func (i *Isolator) mergePoison(now time.Time, s *suspect, c *protocol.Conviction, expires time.Time) {
	if !s.poison || len(c.GetTogether()) == 0 {
		i.setTogether(now, s, slices.Clone(c.GetTogether()))
	}
	for _, run := range s.runs {
		run.crash.explained = run.crash.explained || s.part
	}
	if !s.poison || expires.After(s.expires) {
		s.poison, s.probation, s.trial = true, false, ""
		s.expires, s.retention = expires, max(s.retention, expires.Sub(now))
	}
}

// List returns the entries for gossip and removes those that are forgotten. Parts on which engines answered requests
// before, and requests that may run with others and had one crash at the begin of their answer, together with many others,
// are too many to be worth it.
func (i *Isolator) List(now time.Time) []*protocol.Conviction {
	var list []*protocol.Conviction
	for _, s := range i.suspects {
		if !now.Before(s.forgottenAt()) {
			delete(i.suspects, s.trait)
			continue
		}
		if c := i.conviction(now, s); c != nil {
			list = append(list, c)
		}
	}
	return list
}

// conviction returns the message for an entry, or nil if it isn't sent.
func (i *Isolator) conviction(now time.Time, s *suspect) *protocol.Conviction {
	runs := s.runs
	if !s.poison {
		runs = s.blamedRuns()
	}
	counted := !s.part && i.settings.CrashLimit > 0
	if counted {
		runs = unbegun(runs)
	}
	switch {
	case s.poison && !s.refused(now):
		return nil
	case s.poison:
	case len(runs) == 0, s.part && !s.soundAt.IsZero(), counted && len(runs) < 2 && runs[0].crash.requests > fewRequests:
		return nil
	}
	c := &protocol.Conviction{
		Fingerprint: s.trait, Part: s.part, Crashes: uint32(len(runs)), ExpiresUnixMs: s.expires.UnixMilli(), Convicted: s.poison,
		Together: slices.Clone(s.together),
	}
	for _, run := range runs[max(0, len(runs)-maxCrashIDs):] {
		c.CrashIds = append(c.CrashIds, run.crash.id)
	}
	return c
}
