package detector

import (
	"time"

	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/ranker"
)

// Member is one row of a view.
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
	// Left says that a dead member had announced its departure.
	Left bool
}

// View is one immutable state of the member table.
type View struct {
	Version uint64
	// Self is this router's own name.
	Self string
	// Members is sorted by name and includes this router and dead members.
	Members []Member
	// Convictions are the poison fingerprints known to the routers, sorted by fingerprint.
	Convictions []*protocol.Conviction
	vms         vmHints
	ranked      []string
	hosts       []string
	byName      map[string]int
}

// Eligible returns the names of the members that take roles: alive and suspect ones. Suspect members keep their
// roles until they are dead, so that a lost packet moves none. Holders don't depend on it: they turn to the next
// rank as soon as their stream breaks.
func (v *View) Eligible() []string { return v.ranked }

// SchedulerHosts returns the members that may host schedulers: those of Ranked whose VMs are about as strong as the strongest, if
// there are enough of them to take over from each other, else all. A scheduler on a weak VM is slow for all its holders.
func (v *View) SchedulerHosts() []string { return v.hosts }

const (
	// hostShare is the part of the strongest VM's processor that a host has.
	hostShare = 0.5
	// minHosts is the number of strong VMs below which all members host: those that accept a role's work.
	minHosts = ranker.Candidates
)

// strongest returns the names of the ranked members that may host schedulers.
func (v *View) strongest() []string {
	var most uint32
	for _, m := range v.Members {
		if isRanked(m.State) {
			most = max(most, m.Processor)
		}
	}
	var hosts []string
	for _, m := range v.Members {
		if isRanked(m.State) && float64(m.Processor) >= hostShare*float64(most) {
			hosts = append(hosts, m.Name)
		}
	}
	if len(hosts) < minHosts {
		return v.ranked
	}
	return hosts
}

func isRanked(state protocol.MemberState) bool {
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

// VMLeaving says whether the VM list reports the VM of an upstream ("ip:port") as leaving.
func (v *View) VMLeaving(address string) bool { return v.vms.leaves(address) }

// UncoordinatedShare returns the share of each engine's capacity that one router may use when it can't coordinate with others.
func (v *View) UncoordinatedShare() float64 {
	known, _ := v.counts()
	return 1 / float64(max(1, known))
}

// PartitionShare returns the share of each engine's capacity that the schedulers on this side of a partition may use. It
// is 1 unless less than half of the known members are left.
func (v *View) PartitionShare() float64 {
	known, present := v.counts()
	if 2*present >= known {
		return 1
	}
	return float64(max(1, present)) / float64(known)
}

// unlistedRouters stands in for the number of routers while neither the VM list nor half of them are known.
const unlistedRouters = 32

// AllowanceShare returns the part of what all routers may use together that one scheduler may grant: 1 if it knows at least half
// of the listed routers, else one router's part. After many routers have started together each of them is the only
// one that it knows, and all would grant the whole.
func (v *View) AllowanceShare() float64 {
	known, present := v.counts()
	switch {
	case v.vms.read && 2*present >= len(v.vms.routers):
		return 1
	case v.vms.read:
		return 1 / float64(max(1, known, len(v.vms.routers)))
	default:
		return 1 / float64(max(known, unlistedRouters))
	}
}

// counts returns the number of members, without those that left as planned, and how many of them aren't dead.
func (v *View) counts() (known, present int) {
	for _, m := range v.Members {
		switch m.State {
		case protocol.MemberState_MEMBER_STATE_DEAD:
			if !m.Left {
				known++
			}
		case protocol.MemberState_MEMBER_STATE_ALIVE, protocol.MemberState_MEMBER_STATE_SUSPECT:
			known++
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
		if isRanked(m.State) {
			view.ranked = append(view.ranked, m.Name)
		}
	}
	view.hosts = view.strongest()
	return view
}
