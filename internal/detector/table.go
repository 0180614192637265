package detector

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"coltsfootplank/internal/protocol"
)

const (
	joining = protocol.MemberState_MEMBER_STATE_JOINING
	alive   = protocol.MemberState_MEMBER_STATE_ALIVE
	suspect = protocol.MemberState_MEMBER_STATE_SUSPECT
	leaving = protocol.MemberState_MEMBER_STATE_LEAVING
	dead    = protocol.MemberState_MEMBER_STATE_DEAD
)

// record is what the table keeps of one member. member is replaced, never changed in place.
type record struct {
	member *protocol.Member
	known  time.Time
	// deadline is when an unanswered suspicion makes the member dead; zero without suspicion. A leaving member
	// is suspected by this field alone, since its state must stay leaving.
	deadline time.Time
	// own says that this router itself got no answer from the member.
	own  bool
	died time.Time
	left bool
}

// table is the membership state machine. It takes the time from its caller and is not safe for concurrent use.
type table struct {
	settings    Settings
	self        *protocol.Member
	records     map[string]*record
	convictions map[uint64]*protocol.Conviction
	deltas      deltas
	vms         vmHints
	// newestOffset is the latest catalogue offset of another member.
	newestOffset int64
	started      time.Time
	lastTick     time.Time
	// changed is set by every change that a view shows.
	changed bool
}

func newTable(settings Settings, now time.Time) *table {
	return &table{
		settings: settings,
		self: &protocol.Member{
			Name: settings.Name, Address: settings.Address, DataCentre: settings.DataCentre, Processor: settings.Processor,
			Incarnation: uint64(now.UnixMilli()), State: joining,
		},
		records:     make(map[string]*record),
		convictions: make(map[uint64]*protocol.Conviction),
		deltas:      newDeltas(),
		vms:         vmHints{read: settings.VMList == nil},
		started:     now,
		lastTick:    now,
		changed:     true,
	}
}

// updateSelf replaces this router's own row and spreads it.
func (t *table) updateSelf(update func(*protocol.Member)) {
	self := proto.CloneOf(t.self)
	update(self)
	t.self = self
	t.deltas.addMember(self.GetName())
	t.changed = true
}

// merge applies rows received from another router.
func (t *table) merge(now time.Time, rows []*protocol.Member) {
	for _, row := range rows {
		t.mergeRow(now, row)
	}
}

func (t *table) mergeRow(now time.Time, row *protocol.Member) {
	if row.GetName() == "" || row.GetState() == protocol.MemberState_MEMBER_STATE_UNSPECIFIED {
		return
	}
	if row.GetName() == t.self.GetName() {
		t.refute(row)
		return
	}
	known, ok := t.records[row.GetName()]
	if !ok {
		if row.GetState() == dead {
			// Otherwise the routers would remind each other of dead members for ever.
			return
		}
		known = &record{known: now}
		t.records[row.GetName()] = known
	} else if !supersedes(row, known.member) {
		if row.GetIncarnation() == known.member.GetIncarnation() {
			t.mergeCatalogue(known, row)
		}
		return
	}
	t.set(now, known, row)
}

// refute answers a claim that this router is suspect, dead or leaving by a higher incarnation, and moves above an
// earlier process of the same name.
func (t *table) refute(row *protocol.Member) {
	worse := row.GetIncarnation() == t.self.GetIncarnation() && row.GetState() > t.self.GetState()
	if row.GetIncarnation() > t.self.GetIncarnation() || worse {
		t.updateSelf(func(m *protocol.Member) { m.Incarnation = row.GetIncarnation() + 1 })
	}
}

// supersedes says whether a row replaces the known one: by a higher incarnation, or by a later state of the same
// incarnation (the states are numbered in that order).
func supersedes(row, known *protocol.Member) bool {
	if row.GetIncarnation() != known.GetIncarnation() {
		return row.GetIncarnation() > known.GetIncarnation()
	}
	return row.GetState() > known.GetState()
}

// mergeCatalogue takes over a later catalogue revision or offset of an otherwise known row. It is spread further only if
// it is the latest known, so that a change costs one row instead of one for each member.
func (t *table) mergeCatalogue(known *record, row *protocol.Member) {
	// The first record of the log has offset 0, so the offset alone doesn't show the first revision.
	if row.GetCatalogueOffset() <= known.member.GetCatalogueOffset() &&
		row.GetCatalogueRevision() <= known.member.GetCatalogueRevision() {
		return
	}
	member := proto.CloneOf(known.member)
	member.CatalogueRevision, member.CatalogueOffset = row.GetCatalogueRevision(), row.GetCatalogueOffset()
	known.member = member
	if member.GetCatalogueOffset() > t.newestOffset {
		t.newestOffset = member.GetCatalogueOffset()
		t.deltas.addMember(member.GetName())
	}
	t.changed = true
}

func (t *table) set(now time.Time, known *record, row *protocol.Member) {
	wasLeaving := known.member != nil && known.member.GetState() == leaving &&
		known.member.GetIncarnation() == row.GetIncarnation()
	member := proto.CloneOf(row)
	if known.member != nil && member.GetCatalogueOffset() < known.member.GetCatalogueOffset() {
		member.CatalogueRevision, member.CatalogueOffset = known.member.GetCatalogueRevision(), known.member.GetCatalogueOffset()
	}
	known.member = member
	t.newestOffset = max(t.newestOffset, member.GetCatalogueOffset())
	known.deadline, known.died, known.own = time.Time{}, time.Time{}, false
	switch row.GetState() {
	case suspect:
		known.deadline = now.Add(t.settings.SuspectTimeout)
	case dead:
		known.died = now
		known.left = wasLeaving
	}
	t.deltas.addMember(row.GetName())
	t.changed = true
}

// suspect records that a member didn't answer a probe.
func (t *table) suspect(now time.Time, name string, incarnation uint64) {
	known, ok := t.records[name]
	if !ok || known.member.GetIncarnation() != incarnation || !known.deadline.IsZero() {
		return
	}
	switch known.member.GetState() {
	case joining, alive:
		row := proto.CloneOf(known.member)
		row.State = suspect
		t.set(now, known, row)
		known.own = true
	case leaving:
		known.deadline = now.Add(t.settings.SuspectTimeout)
		known.own = true
	}
}

// suspected returns the suspect members to probe now: those that this router itself got no answer from, and those
// that would be dead by the next tick. On a lossy network the first failed probe often is no more than bad luck, and
// a refutation can be slower than the suspicion, so nobody is held for dead without a probe by the holder
// of that view.
func (t *table) suspected(now time.Time) []string {
	var names []string
	for name, known := range t.records {
		if !known.deadline.IsZero() && (known.own || known.deadline.Sub(now) <= t.settings.ProbeInterval) {
			names = append(names, name)
		}
	}
	return names
}

// answered records direct evidence that a member runs. A suspect member's state changes only by its own
// refutation, which the same exchange of messages carries.
func (t *table) answered(name string) {
	if known, ok := t.records[name]; ok && known.member.GetState() == leaving {
		known.deadline = time.Time{}
	}
}

// tick ends suspicions and forgets old entries. A gap between ticks is time in which this process didn't run
// and could hear no refutation, so suspicions are extended by it.
func (t *table) tick(now time.Time) {
	if gap := now.Sub(t.lastTick); gap > t.settings.ProbeInterval {
		for _, known := range t.records {
			if !known.deadline.IsZero() {
				known.deadline = known.deadline.Add(gap)
			}
		}
	}
	t.lastTick = now
	for name, known := range t.records {
		switch {
		case !known.deadline.IsZero() && !now.Before(known.deadline):
			row := proto.CloneOf(known.member)
			row.State = dead
			t.set(now, known, row)
		case known.member.GetState() == dead && now.Sub(known.died) >= t.settings.DeadRetention:
			delete(t.records, name)
			t.deltas.dropMember(name)
			t.changed = true
		}
	}
	t.expireConvictions(now)
}

func (t *table) members() []Member {
	members := make([]Member, 0, len(t.records)+1)
	members = append(members, viewRow(t.self, &record{known: t.started}, t.vms.leaves(t.self.GetAddress())))
	for _, known := range t.records {
		members = append(members, viewRow(known.member, known, t.vms.leaves(known.member.GetAddress())))
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

func viewRow(m *protocol.Member, known *record, vmLeaving bool) Member {
	state := m.GetState()
	if vmLeaving && state < leaving {
		state = leaving
	}
	return Member{
		Name: m.GetName(), Address: m.GetAddress(), DataCentre: m.GetDataCentre(), Processor: m.GetProcessor(), Incarnation: m.GetIncarnation(),
		State: state, CatalogueRevision: m.GetCatalogueRevision(), CatalogueOffset: m.GetCatalogueOffset(),
		Known: known.known, Left: known.left,
	}
}

// rows returns the whole table for a joining router, this router first.
func (t *table) rows() []*protocol.Member {
	rows := []*protocol.Member{t.self}
	for _, name := range slices.Sorted(maps.Keys(t.records)) {
		rows = append(rows, t.records[name].member)
	}
	return rows
}
