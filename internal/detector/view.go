package detector

import (
	"time"

	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/ranker"
)

// Member is one member of a View.
type Member struct {
	Name              string
	Address           string
	DataCentre        string
	Processor         uint32
	Incarnation       uint64
	State             protocol.MemberState
	CatalogueRevision uint64
	CatalogueOffset   int64
	// Known is when this router first heard of the member.
	Known time.Time
	// Left reports whether a dead member had announced its departure.
	Left bool
	// Silent reports whether the member doesn't answer this router, whatever other routers know of it.
	Silent bool
}

// expected reports whether the member counts among the routers between which allowances are divided: all but those that are
// starting, leaving or have left as planned.
func (m Member) expected() bool {
	return isEligible(m.State) || m.State == protocol.MemberState_MEMBER_STATE_DEAD && !m.Left
}

// View is an immutable snapshot of the member table.
type View struct {
	Version uint64
	// Self is this router's own name.
	Self string
	// Members is sorted by name and includes this router and dead members.
	Members []Member
	// Convictions are the suspect and poison fingerprints known to the routers, sorted by fingerprint.
	Convictions    []*protocol.Conviction
	vms            vmHints
	eligible       []string
	schedulerHosts []string
	byName         map[string]int
}

// Eligible returns the names of the members that are eligible for roles, sorted: those alive or suspect. Suspect
// members keep their roles until they are declared dead, so that a single lost packet doesn't move a role. Holders
// don't wait for that: they fail over to the next ranked scheduler as soon as their stream breaks.
func (v *View) Eligible() []string { return v.eligible }

// SchedulerHosts returns the names of the members that may host schedulers: the eligible members on VMs with enough
// processor capacity, or all eligible members if too few such VMs are left for failover. A scheduler on a weak VM is
// slow for all its holders.
func (v *View) SchedulerHosts() []string { return v.schedulerHosts }

const (
	// minProcessorRatio is the minimum processor capacity of a scheduler host, relative to the strongest VM.
	minProcessorRatio = 0.5
	// minStrongHosts is the number of strong VMs below which all eligible members may host schedulers. It equals the
	// number of routers that accept the work of a role.
	minStrongHosts = ranker.Candidates
)

// findSchedulerHosts computes the result of SchedulerHosts.
func (v *View) findSchedulerHosts() []string {
	var strongest uint32
	for _, m := range v.Members {
		if isEligible(m.State) {
			strongest = max(strongest, m.Processor)
		}
	}
	var hosts []string
	for _, m := range v.Members {
		if isEligible(m.State) && float64(m.Processor) >= minProcessorRatio*float64(strongest) {
			hosts = append(hosts, m.Name)
		}
	}
	if len(hosts) < minStrongHosts {
		return v.eligible
	}
	return hosts
}

func isEligible(state protocol.MemberState) bool {
	return state == protocol.MemberState_MEMBER_STATE_ALIVE || state == protocol.MemberState_MEMBER_STATE_SUSPECT
}

// Member returns a member by name.
func (v *View) Member(name string) (Member, bool) {
	i, ok := v.byName[name]
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// VMLeaving reports whether the VM list marks the VM of an upstream ("ip:port") as leaving.
func (v *View) VMLeaving(address string) bool { return v.vms.isLeaving(address) }

// UncoordinatedShare returns the share of each engine's capacity that a router may use when it can't coordinate with
// the other routers.
func (v *View) UncoordinatedShare() float64 {
	known, _ := v.countMembers()
	return 1 / float64(max(1, known))
}

// PartitionShare returns the share of each engine's capacity that the schedulers on this side of a network partition
// may use. It is below 1 only if more than half of the known members are dead.
func (v *View) PartitionShare() float64 {
	known, present := v.countMembers()
	if 2*present >= known {
		return 1
	}
	return float64(max(1, present)) / float64(known)
}

// assumedRouters is the assumed number of routers while the VM list is unknown.
const assumedRouters = 32

// KnowsMostRouters reports whether this router knows at least half of the listed routers. Routers that start at the same
// time know only themselves at first.
func (v *View) KnowsMostRouters() bool {
	_, present := v.countMembers()
	return v.vms.read && 2*present >= len(v.vms.routers)
}

// AllowanceShare returns the share of the workspaces' allowances that a scheduler on this router may grant: the share of
// the members that send it their tickets, according to served, among all expected members and listed routers. A listed router
// that this one hasn't heard of since its start may be cut off and grant its own part. While this router doesn't know
// most of the other routers, it is one router's share.
func (v *View) AllowanceShare(served func(Member) bool) float64 {
	known, _ := v.countMembers()
	if !v.vms.read {
		return 1 / float64(max(known, assumedRouters))
	}
	known = max(1, known, len(v.vms.routers))
	if !v.KnowsMostRouters() {
		return 1 / float64(known)
	}
	count := 0
	for _, m := range v.Members {
		if isEligible(m.State) && served(m) {
			count++
		}
	}
	return float64(max(1, count)) / float64(known)
}

// countMembers returns the number of members that are alive, suspect or dead, and how many of them aren't dead. It
// excludes dead members that had left as planned.
func (v *View) countMembers() (known, present int) {
	for _, m := range v.Members {
		if m.expected() {
			known++
		}
		if isEligible(m.State) {
			present++
		}
	}
	return known, present
}

func newView(version uint64, self string, members []Member, vms vmHints, convictions []*protocol.Conviction) *View {
	view := &View{
		Version: version, Self: self, Members: members, vms: vms, Convictions: convictions,
		byName: make(map[string]int, len(members)),
	}
	for i, m := range members {
		view.byName[m.Name] = i
		if isEligible(m.State) {
			view.eligible = append(view.eligible, m.Name)
		}
	}
	view.schedulerHosts = view.findSchedulerHosts()
	return view
}
