package scheduler

import (
	"time"
)

// VersionLimit bounds the grants to the engines of one version.
type VersionLimit struct {
	// Unlimited allows all grants; the other fields are then ignored.
	Unlimited bool
	// Total is the number of grants that may have been made to the version since the scheduler started. It is valid until
	// Until.
	Total uint64
	Until time.Time
	// Part and Parts select the engines that get these grants: one part of them, counted in the order of their names.
	Part, Parts int
}

// versionLimits limits the grants by version while a service moves from one version to another.
type versionLimits struct {
	// limits is nil if all versions may be granted.
	limits map[string]VersionLimit
	grants map[string]uint64
	// ranks holds the place of each engine among those of its version.
	ranks map[string]int
	// next is when the next limit expires; zero if none does.
	next time.Time
}

// open reports whether the version of an engine may be granted. A nil receiver allows all.
func (v *versionLimits) open(e *engine) bool {
	if v == nil || v.limits == nil {
		return true
	}
	limit, ok := v.limits[e.info.Version]
	if !ok || limit.Unlimited {
		return ok
	}
	if v.grants[e.info.Version] >= limit.Total || !e.clock.Before(limit.Until) {
		return false
	}
	return limit.Parts <= 1 || v.ranks[e.info.Name]%limit.Parts == limit.Part%limit.Parts
}

// grant counts a grant and reports whether it was the last one that the limit allows.
func (v *versionLimits) grant(e *engine) bool {
	if v.grants == nil {
		v.grants = make(map[string]uint64)
	}
	version := e.info.Version
	v.grants[version]++
	limit, ok := v.limits[version]
	return ok && !limit.Unlimited && v.grants[version] >= limit.Total
}

// rank numbers the engines of each version. list is sorted by name.
func (v *versionLimits) rank(list []*engine) {
	counts := make(map[string]int)
	v.ranks = make(map[string]int, len(list))
	for _, e := range list {
		v.ranks[e.info.Name] = counts[e.info.Version]
		counts[e.info.Version]++
	}
}

// expireVersions closes the versions whose limits have expired.
func (s *engineSet) expireVersions() {
	if s.versions.next.IsZero() || s.now.Before(s.versions.next) {
		return
	}
	s.versions.next = time.Time{}
	s.refresh()
}

// SetVersionLimits sets the limits by version. Versions without a limit get no grants, unless limits is nil. Requests that
// run stay where they are.
func (s *Scheduler) SetVersionLimits(now time.Time, limits map[string]VersionLimit) {
	if limits == nil && s.engines.versions.limits == nil {
		return
	}
	s.recordInput(now)
	v := &s.engines.versions
	v.limits, v.next = limits, time.Time{}
	for _, limit := range limits {
		if !limit.Unlimited && limit.Until.After(now) && (v.next.IsZero() || limit.Until.Before(v.next)) {
			v.next = limit.Until
		}
	}
	s.engines.refresh()
}

// VersionGrants returns the number of grants to a version since the scheduler started.
func (s *Scheduler) VersionGrants(version string) uint64 { return s.engines.versions.grants[version] }

// trialShare is the part of the tickets that are offered to engines under a counted limit first. Below 1 it spreads these
// grants over routes and tiers; three times the largest share of the requests that they may be suffices to use the limit.
const trialShare = 0.3

// chooseVersion returns an engine under a counted limit for some of the tickets, otherwise the choice of the policy. The policy
// alone would seldom choose such an engine, whose speed isn't known and to which no holder has connections, and the rollout
// would lack evidence.
func (s *Scheduler) chooseVersion(r *request) *engine {
	if s.engines.versions.next.IsZero() || s.engines.random.Float64() >= trialShare {
		return s.choose(s.engines, r)
	}
	var best *engine
	for _, e := range s.engines.list {
		limit, ok := s.engines.versions.limits[e.info.Version]
		if ok && !limit.Unlimited && e.admits(r) == blockNone && (best == nil || len(e.granted) < len(best.granted)) {
			best = e
		}
	}
	if best == nil {
		return s.choose(s.engines, r)
	}
	return best
}
