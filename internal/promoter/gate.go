package promoter

import (
	"slices"
	"time"

	"coltsfootplank/internal/kernel"
)

// Gate decides in one router which versions of one service its schedulers may grant and its requests may be sent to. It
// applies the order even while no decider can be reached.
type Gate struct {
	order *kernel.RolloutOrder
	// record is the newest record that the gate knows.
	record *kernel.RolloutRecord
	// recorded reports whether the directory is known to have the phase under the order's position.
	recorded bool
	// position is that of the newest record of an order, which may have been deleted.
	position kernel.Position
	sequence uint64
	// versions are the registered versions.
	versions []string
	from     []string
	// barred are the versions that a final phase takes out of use.
	barred     []string
	phase      kernel.RolloutPhase
	generation int64
	// verifiedAt is when it was last certain that the traffic hasn't moved.
	verifiedAt time.Time
	lease      Lease
	leaseUntil time.Time
	leaseSent  time.Time
	used       uint64
	requests   uint64
	inFlight   map[string]int
	evidence   Evidence
	stopped    string
}

// NewGate returns a gate without an order.
func NewGate() *Gate {
	return &Gate{position: -1, inFlight: make(map[string]int), evidence: make(Evidence)}
}

// SetVersions sets the registered versions of the service.
func (g *Gate) SetVersions(versions []string) { g.versions = versions }

// SetOrder applies the newest order. seen reports whether the router knew the directory's content before the order, so that
// no traffic can have moved without it.
func (g *Gate) SetOrder(now time.Time, order kernel.RolloutOrder, seen bool) {
	if order.Position <= g.position {
		return
	}
	order.First = g.position.Era() < order.Position.Era()
	g.position = order.Position
	if order.Deleted {
		g.delete()
		return
	}
	if g.order != nil && order.Repeats(g.order.Position, g.order.To) {
		// The directory was restored from a copy. The rollout goes on.
		g.order, g.recorded = &order, false
		return
	}
	from := g.openVersions(order.To)
	g.order, g.from, g.phase = &order, from, kernel.RolloutTrial
	g.lease, g.leaseUntil, g.used, g.requests, g.stopped = Lease{}, time.Time{}, 0, 0, ""
	g.evidence = make(Evidence)
	g.verifiedAt, g.recorded = time.Time{}, false
	if seen {
		g.verifiedAt = now
	}
	if g.record != nil && concerns(*g.record, order) {
		g.SetRecord(now, *g.record)
	}
}

// openVersions returns the versions in use before an order.
func (g *Gate) openVersions(to string) []string {
	if g.order != nil && !g.phase.Final() {
		return g.from
	}
	return oldVersions(to, g.record, g.versions)
}

// delete applies the deletion of an order. The decider of an open rollout takes it back; an order that has ended, or was
// never known, leaves nothing behind.
func (g *Gate) delete() {
	if g.order == nil || g.phase.Final() {
		g.order = nil
		return
	}
	deleted := *g.order
	deleted.Deleted = true
	g.order, g.lease, g.leaseUntil = &deleted, Lease{}, time.Time{}
}

// SetRecord applies a record from the directory.
func (g *Gate) SetRecord(now time.Time, record kernel.RolloutRecord) {
	if g.record == nil || !newer(*g.record, record) {
		g.record = &record
	}
	if g.order == nil || !concerns(record, *g.order) {
		return
	}
	g.verifiedAt = now
	g.advance(record.Generation, record.Phase, record.From)
	g.recorded = record.Order == g.order.Position && record.Phase == g.phase
}

// Unrecorded reports whether the phase isn't known to be in the directory, which may have lost it.
func (g *Gate) Unrecorded() bool { return g.order != nil && !g.recorded }

// Newest returns the newest record of the service: the one that was found in the directory, or one that the directory has lost, as
// far as the gate knows it. It returns nil if there is none.
func (g *Gate) Newest(found *kernel.RolloutRecord) *kernel.RolloutRecord {
	newest := found
	if newest == nil || g.record != nil && newer(*g.record, *newest) {
		newest = g.record
	}
	if g.order == nil || g.generation == 0 {
		return newest
	}
	// What the gate knows from leases alone.
	known := kernel.RolloutRecord{
		Service: g.order.Service, To: g.order.To, Phase: g.phase, From: g.from, Order: g.order.Position, Generation: g.generation,
		Reason: "known to a router",
	}
	if newest != nil && concerns(*newest, *g.order) {
		known.StartedUnixMS = newest.StartedUnixMS
	}
	// A final record is followed by no other one of its order.
	if newest == nil || newer(known, *newest) || known.Phase.Final() && concerns(*newest, *g.order) && !newest.Phase.Final() {
		known.Generation = max(known.Generation, generationOf(newest))
		newest = &known
	}
	return newest
}

// Verify states that the directory was read and that the gate knows its newest record.
func (g *Gate) Verify(now time.Time) {
	g.verifiedAt = now
	if g.order != nil && g.order.Deleted && g.phase == kernel.RolloutTrial && (g.record == nil || !concerns(*g.record, *g.order)) {
		// The rollout never began.
		g.order = nil
	}
	if g.order != nil && len(g.from) == 0 && g.phase == kernel.RolloutTrial {
		// After a start, the order is known before the registrations.
		g.from = oldVersions(g.order.To, g.record, g.versions)
	}
}

// Record returns the newest record that the gate knows from the directory, or nil.
func (g *Gate) Record() *kernel.RolloutRecord { return g.record }

// SetLease applies the decider's answer to a call that was sent at sent.
func (g *Gate) SetLease(sent time.Time, lease Lease) {
	if lease.Verified && sent.After(g.verifiedAt) {
		g.verifiedAt = sent
	}
	if g.order == nil || lease.Order != g.order.Position || lease.Generation < g.generation || !sent.After(g.leaseSent) {
		return
	}
	g.leaseSent = sent
	g.advance(lease.Generation, lease.Phase, lease.From)
	g.lease, g.leaseUntil = lease, sent.Add(LeaseTime)
}

// advance enters a phase. Phases of the same order never go back, whatever a stale source says.
func (g *Gate) advance(generation int64, phase kernel.RolloutPhase, from []string) {
	if generation > g.generation {
		g.generation = generation
		g.lease, g.leaseUntil = Lease{}, time.Time{}
	}
	ended := !g.phase.Final() && phase.Final()
	g.recorded = g.recorded && phase <= g.phase
	g.phase = max(g.phase, phase)
	g.from = from
	if ended {
		g.bar()
	}
}

// bar keeps the versions that the outcome takes out of use: all that are known but the new version, or the old ones. A version
// that registers later is used as without an order.
func (g *Gate) bar() {
	g.barred = []string{}
	for _, version := range append(slices.Concat(g.versions, g.from), g.order.To) {
		if kept := g.phase == kernel.RolloutCompleted && version == g.order.To ||
			g.phase == kernel.RolloutRolledBack && slices.Contains(g.from, version); !kept {
			g.barred = append(g.barred, version)
		}
	}
}

// Open reports whether a rollout is in progress, so that the decider has to be called.
func (g *Gate) Open() bool { return g.order != nil && !g.phase.Final() }

// Order returns the order that the gate knows, or nil.
func (g *Gate) Order() *kernel.RolloutOrder { return g.order }

// Phase returns the phase that the gate enforces.
func (g *Gate) Phase() kernel.RolloutPhase { return g.phase }

// Permit is how far a version may be used.
type Permit int

// Permits.
const (
	// Forbidden means that no request may be sent to the version.
	Forbidden Permit = iota
	// Leased means that schedulers grant the version under the lease only. Requests with such a grant may be sent.
	Leased
	// Allowed means that the version may be used without a limit.
	Allowed
)

// Permit returns how far a version may be used.
func (g *Gate) Permit(now time.Time, version string) Permit {
	if g.order == nil {
		return Allowed
	}
	old, to := slices.Contains(g.from, version), version == g.order.To
	allowed := true
	switch g.phase {
	case kernel.RolloutTrial:
		if to && !old && len(g.from) > 0 {
			if g.order.Deleted || g.stopped != "" {
				return Forbidden
			}
			return Leased
		}
		allowed = (old || to) && g.verified(now)
	case kernel.RolloutMoving:
		allowed = to && g.verified(now)
	case kernel.RolloutReturning:
		allowed = old
	case kernel.RolloutCompleted, kernel.RolloutRolledBack:
		// Barred versions are better than none.
		allowed = !slices.Contains(g.barred, version) ||
			!slices.ContainsFunc(g.versions, func(other string) bool { return !slices.Contains(g.barred, other) })
	}
	if allowed {
		return Allowed
	}
	return Forbidden
}

// verified reports whether the phase can't have ended without the gate's knowledge.
func (g *Gate) verified(now time.Time) bool { return now.Sub(g.verifiedAt) < standaloneTime }

// LeaseLeft returns how many requests may still be granted under the lease, and until when.
func (g *Gate) LeaseLeft(now time.Time) (left uint64, until time.Time) {
	if g.order == nil || g.phase != kernel.RolloutTrial || g.order.Deleted || g.stopped != "" ||
		!now.Before(g.leaseUntil) || g.used >= g.lease.Total {
		return 0, time.Time{}
	}
	return g.lease.Total - g.used, g.leaseUntil
}

// Old returns the versions that were in use before the order.
func (g *Gate) Old() []string { return g.from }

// Stopped returns why the gate doesn't use the new version on its own evidence; empty if it does.
func (g *Gate) Stopped() string { return g.stopped }

// Rotation selects the engines of the new version that get requests under the lease.
func (g *Gate) Rotation() int { return g.lease.Rotation }

// Use counts requests that were granted under the lease.
func (g *Gate) Use(count uint64) { g.used += count }

// Arrived counts a request for the service.
func (g *Gate) Arrived() { g.requests++ }

// Begin reports whether a granted request may be sent to an engine of a version, and counts it as being there.
func (g *Gate) Begin(now time.Time, version string) bool {
	if g.Permit(now, version) == Forbidden {
		return false
	}
	g.inFlight[version]++
	return true
}

// End counts that a request has left an engine.
func (g *Gate) End(version string) {
	if g.inFlight[version]--; g.inFlight[version] <= 0 {
		delete(g.inFlight, version)
	}
}

// Observe adds how a request ended to the evidence. The gate stops using the new version by itself if its own evidence
// condemns it.
func (g *Gate) Observe(version, route string, outcome Outcome, latency time.Duration) {
	if !g.Open() {
		return
	}
	g.evidence.Observe(Series{Version: version, Route: route}, outcome, latency)
	if g.phase == kernel.RolloutTrial && g.stopped == "" && outcome != OutcomeAnswered && version == g.order.To {
		// Twice the evidence that the decider needs, because a single router can't wait for a second finding.
		if finding := judge(g.evidence, g.order.To, strictness{factor: 2}); finding.Reason != "" {
			g.stopped = finding.Reason
		}
	}
}

// Report returns the report for the decider about the order, of which there must be one.
func (g *Gate) Report(now time.Time, gate string, incarnation uint64, wantsLease bool) Report {
	g.sequence++
	report := Report{
		Gate: gate, Incarnation: incarnation, Sequence: g.sequence, Order: g.order.Position, Phase: g.phase, Generation: g.generation, Requests: g.requests, Used: g.used,
		WantsLease: wantsLease, Stopped: g.stopped, Evidence: make(Evidence, len(g.evidence)),
	}
	report.Evidence.add(g.evidence)
	if _, until := g.LeaseLeft(now); !until.IsZero() {
		report.Held = g.lease.Total
	}
	for version, count := range g.inFlight {
		if g.Permit(now, version) == Forbidden {
			report.Forbidden += uint32(count)
		}
	}
	return report
}
