package isolator

import (
	"slices"
	"time"
)

const (
	// maxRuns bounds the lost runs that are kept for one suspect.
	maxRuns = 16
	// maxCrashes bounds the crashes that are remembered.
	maxCrashes = 512
)

// crash is a recorded crash of an engine.
type crash struct {
	id uint64
	at time.Time
	// explained is set once a poison part is found to have caused the crash. It then counts against nothing else.
	explained bool
	// requests is the number of requests that were lost here at the begin of their answer.
	requests int
}

// lostRun is a run of a suspect that ended with a crash.
type lostRun struct {
	crash       *crash
	grantedAt   time.Time
	fingerprint uint64
	// begun is set if the engine had begun to answer.
	begun bool
}

// suspect is a request or a part of prompts that an engine was running when it crashed.
type suspect struct {
	trait uint64
	part  bool
	runs  []lostRun
	// local is set if a run was lost here and not only at other routers, which may not know that requests went well here.
	local bool
	// soundAt is the latest grant of a run that went well; zero if there is none.
	soundAt time.Time
	// poison is set when it is found to be the cause of crashes, and expires is the end of the time for which it is refused.
	// For a suspect, expires is when it is forgotten.
	poison    bool
	expires   time.Time
	retention time.Duration
	// together are parts that the crashes don't tell apart from this one. Only requests that have all of them are refused.
	together []uint64
	// probation is set when poison is tested after its retention; trial is the request that tests it.
	probation bool
	trial     string
}

// refused reports whether requests are refused because of the suspect.
func (s *suspect) refused(now time.Time) bool { return s.poison && now.Before(s.expires) }

// forgottenAt returns when the entry is removed. Poison is kept for another retention, so that one more crash suffices.
func (s *suspect) forgottenAt() time.Time {
	if s.poison {
		return s.expires.Add(s.retention)
	}
	return s.expires
}

// addRun adds a lost run, at most one for each crash.
func (s *suspect) addRun(run lostRun) {
	if slices.ContainsFunc(s.runs, func(r lostRun) bool { return r.crash == run.crash }) {
		return
	}
	if len(s.runs) >= maxRuns {
		s.runs = slices.Delete(s.runs, 0, 1)
	}
	s.runs = append(s.runs, run)
}

func (s *suspect) dropCrash(c *crash) bool {
	before := len(s.runs)
	s.runs = slices.DeleteFunc(s.runs, func(r lostRun) bool { return r.crash == c })
	return len(s.runs) < before
}

// blamedRuns returns the lost runs that nothing else explains and that were granted after the latest run that went well.
func (s *suspect) blamedRuns() []lostRun {
	var runs []lostRun
	for _, r := range s.runs {
		if !r.crash.explained && r.grantedAt.After(s.soundAt) {
			runs = append(runs, r)
		}
	}
	return runs
}

// unbegun returns the runs whose answers hadn't begun.
func unbegun(runs []lostRun) []lostRun {
	return slices.DeleteFunc(slices.Clone(runs), func(r lostRun) bool { return r.begun })
}

// refuted reports whether a run that went well was granted after all lost runs.
func (s *suspect) refuted() bool {
	return !slices.ContainsFunc(s.runs, func(r lostRun) bool { return r.grantedAt.After(s.soundAt) })
}

// appliesTo reports whether a request with the suspect also has the parts that it is poison together with.
func (s *suspect) appliesTo(traits Traits) bool {
	for _, other := range s.together {
		if !slices.Contains(traits.Parts, other) {
			return false
		}
	}
	return true
}

// find returns the entry of a fingerprint or part, or nil if there is none or it has been forgotten.
func (i *Isolator) find(now time.Time, trait uint64) *suspect {
	s := i.suspects[trait]
	if s == nil || trait == 0 || !now.Before(s.forgottenAt()) {
		return nil
	}
	return s
}

func (i *Isolator) findOrAdd(now time.Time, trait uint64, part bool) *suspect {
	if s := i.find(now, trait); s != nil {
		return s
	}
	s := &suspect{trait: trait, part: part}
	if part {
		s.soundAt = i.sound.at(trait)
	}
	delete(i.suspects, trait)
	i.evict()
	i.suspects[trait] = s
	return s
}

// evict makes room in a full table. It removes the entry that expires first, suspects before poison.
func (i *Isolator) evict() {
	if len(i.suspects) < max(1, i.settings.MaxEntries) {
		return
	}
	var first *suspect
	for _, s := range i.suspects {
		if first == nil || (first.poison && !s.poison) || (first.poison == s.poison && s.expires.Before(first.expires)) {
			first = s
		}
	}
	delete(i.suspects, first.trait)
}

// endPoison ends the poison of an entry that isn't the cause of crashes. The parts that were poison only together with it are
// refused on their own from now on. The entry is kept, so that other routers' messages about these crashes change nothing.
func (i *Isolator) endPoison(now time.Time, s *suspect) {
	s.poison, s.probation, s.trial = false, false, ""
	s.expires = now.Add(i.settings.SuspectRetention)
	for _, run := range s.runs {
		run.crash.explained = i.explained(run.crash)
	}
	for _, trait := range s.together {
		if other := i.suspects[trait]; other != nil {
			other.together = slices.DeleteFunc(other.together, func(t uint64) bool { return t == s.trait })
		}
	}
	s.together = nil
}

// explained reports whether a poison part has caused a crash.
func (i *Isolator) explained(c *crash) bool {
	for _, s := range i.suspects {
		if s.part && s.poison && slices.ContainsFunc(s.runs, func(r lostRun) bool { return r.crash == c }) {
			return true
		}
	}
	return false
}

// recordedCrash returns the record of a crash and adds it if it is new.
func (i *Isolator) recordedCrash(now time.Time, c Crash) *crash {
	known := i.crashes[c.ID]
	if known == nil {
		i.forgetCrashes(now)
		known = &crash{id: c.ID, at: c.At}
		i.crashes[c.ID] = known
	}
	return known
}

// forgetCrashes removes the crashes that are too old to be compared with new ones, or the oldest one if there are too many.
func (i *Isolator) forgetCrashes(now time.Time) {
	var oldest *crash
	for id, c := range i.crashes {
		if now.Sub(c.at) >= i.settings.SuspectRetention {
			delete(i.crashes, id)
			continue
		}
		if oldest == nil || c.at.Before(oldest.at) {
			oldest = c
		}
	}
	if len(i.crashes) >= maxCrashes {
		delete(i.crashes, oldest.id)
	}
}
