package isolator

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// firstPartRetention is how long a part is refused at first. It doubles each time that the part crashes an engine
	// again, up to PoisonRetention.
	firstPartRetention = 2 * time.Minute
	// maxRunsOfRequest bounds the crashes of one request that count against its parts. A request that crashes engines on
	// its own doesn't make its parts poison.
	maxRunsOfRequest = 2
)

// evidence is what makes a part poison.
type evidence struct {
	// crashes is the number of crashes, of which two of the same request count at most.
	crashes int
	// requests is the number of unlike requests.
	requests int
	// moments is the number of times at least interval apart. Engines that crash at the same time have another cause.
	moments  int
	interval time.Duration
	// share is the part of all moments with crashes, from the first to the last crash of the part, in which the part was in
	// a request of a crashed engine.
	share float64
}

// required returns the evidence that makes a part poison. A part on which engines answered requests before needs more, one
// that is poison together with others needs less to be poison on its own.
func (i *Isolator) required(s *suspect, known bool) evidence {
	limit := i.settings.PartCrashLimit
	switch {
	case known:
		return evidence{crashes: limit + 2, requests: min(limit, 2), moments: limit + 2, interval: time.Second, share: 0.9}
	case s.poison:
		limit = max(1, limit-1)
	}
	return evidence{crashes: limit, requests: min(limit, 2), moments: min(limit, 2), interval: 100 * time.Millisecond, share: 0.25}
}

// candidate is a suspect part with the lost runs that it is blamed for.
type candidate struct {
	*suspect
	runs []lostRun
	// known is set if engines have answered requests with the part.
	known bool
}

// convictParts makes the parts poison for which the evidence suffices, and returns them. The parts that explain most
// crashes come first; what they explain no longer counts against others.
func (i *Isolator) convictParts(now time.Time) (convicted []uint64) {
	if i.settings.PartCrashLimit <= 0 {
		return nil
	}
	for {
		group := i.mostBlamed(now)
		if len(group) == 0 {
			return convicted
		}
		var parts []uint64
		for _, c := range group {
			parts = append(parts, c.trait)
		}
		for _, c := range group {
			i.convict(now, c.suspect, slices.DeleteFunc(slices.Clone(parts), func(p uint64) bool { return p == c.trait }))
		}
		for _, run := range group[0].runs {
			run.crash.explained = true
		}
		convicted = append(convicted, parts...)
	}
}

// mostBlamed returns the part that explains most crashes among those for which the evidence suffices, with the parts that
// the crashes don't tell apart from it.
func (i *Isolator) mostBlamed(now time.Time) []candidate {
	candidates := i.candidates(now)
	for _, c := range candidates {
		if !i.sufficient(c) || slices.ContainsFunc(candidates, func(other candidate) bool { return other.explainsMore(c) }) {
			continue
		}
		return slices.DeleteFunc(candidates, func(other candidate) bool {
			return other.known != c.known || len(other.runs) != len(c.runs) || common(other.runs, c.runs) < len(c.runs)
		})
	}
	return nil
}

// candidates returns the suspect parts with enough crashes, in a fixed order. Parts with which no run was lost here are left to
// the other routers.
func (i *Isolator) candidates(now time.Time) []candidate {
	var candidates []candidate
	for _, s := range i.suspects {
		if !s.part || !s.local || s.poison && len(s.together) == 0 || !now.Before(s.forgottenAt()) {
			continue
		}
		known := !s.soundAt.IsZero() && now.Sub(s.soundAt) < i.settings.SuspectRetention
		if runs := s.blamedRuns(); len(runs) >= i.required(s, known).crashes {
			candidates = append(candidates, candidate{s, runs, known})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(len(b.runs), len(a.runs)), cmp.Compare(a.trait, b.trait))
	})
	return candidates
}

// explainsMore reports whether the part explains the crashes of another one, and more likely so. A part on which engines
// answered requests before is less likely the cause than one on which they never did.
func (c candidate) explainsMore(other candidate) bool {
	shared := common(c.runs, other.runs)
	switch {
	case c.known != other.known:
		return other.known && 2*shared >= len(other.runs)
	default:
		return len(c.runs) > len(other.runs) && shared == len(other.runs)
	}
}

// common returns the number of crashes that are both in a and in b.
func common(a, b []lostRun) int {
	count := 0
	for _, run := range a {
		if slices.ContainsFunc(b, func(other lostRun) bool { return other.crash == run.crash }) {
			count++
		}
	}
	return count
}

// sufficient reports whether the evidence against a part suffices.
func (i *Isolator) sufficient(c candidate) bool {
	required := i.required(c.suspect, c.known)
	byRequest := make(map[uint64]int)
	var crashes []*crash
	for _, run := range c.runs {
		byRequest[run.fingerprint]++
		crashes = append(crashes, run.crash)
	}
	counted := 0
	for _, n := range byRequest {
		counted += min(n, maxRunsOfRequest)
	}
	if counted < required.crashes || len(byRequest) < required.requests {
		return false
	}
	slices.SortFunc(crashes, earlierCrash)
	first, last := crashes[0].at, crashes[len(crashes)-1].at
	all := slices.SortedFunc(maps.Values(i.crashes), earlierCrash)
	all = slices.DeleteFunc(all, func(c *crash) bool { return c.explained || c.at.Before(first) || c.at.After(last) })
	found := moments(crashes, required.interval)
	return found >= required.moments && float64(found) >= required.share*float64(moments(all, required.interval))
}

func earlierCrash(a, b *crash) int { return a.at.Compare(b.at) }

// moments returns the number of times at which crashes, sorted by time, happened. Crashes within an interval happened at the
// same time.
func moments(crashes []*crash, interval time.Duration) int {
	count := 0
	var begin time.Time
	for _, c := range crashes {
		if count == 0 || c.at.Sub(begin) >= interval {
			count, begin = count+1, c.at
		}
	}
	return count
}

// convict makes a suspect poison, a part only together with others.
func (i *Isolator) convict(now time.Time, s *suspect, together []uint64) {
	switch {
	case !s.part:
		s.retention = i.settings.PoisonRetention
	case s.probation:
		s.retention = min(2*s.retention, i.settings.PoisonRetention)
	default:
		s.retention = min(firstPartRetention, i.settings.PoisonRetention)
	}
	i.setTogether(now, s, together)
	s.poison, s.expires = true, now.Add(s.retention)
	s.probation, s.trial = false, ""
}

// setTogether sets the parts without which a part isn't refused. Once it is refused on its own, those aren't needed any more.
func (i *Isolator) setTogether(now time.Time, s *suspect, together []uint64) {
	before := s.together
	s.together = together
	if len(together) > 0 {
		return
	}
	for _, trait := range before {
		if other := i.suspects[trait]; other != nil && slices.Contains(other.together, s.trait) {
			i.endPoison(now, other)
		}
	}
}
