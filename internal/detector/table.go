package detector

import (
	"cmp"
	"maps"
	"math/rand/v2"
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

// record is the table's entry for one member. member is replaced, never modified in place.
type record struct {
	member    *protocol.Member
	firstSeen time.Time
	// deadline is when the member is declared dead unless it refutes the suspicion; zero if it isn't suspected. For a
	// leaving member only this field records the suspicion, because its state must stay leaving.
	deadline time.Time
	// probeFailed reports whether the suspicion comes from a failed probe by this router.
	probeFailed bool
	// silent is set while the member doesn't answer this router, whatever other routers know of it.
	silent    bool
	deadSince time.Time
	left      bool
}

// table is the membership state machine. Callers pass the current time. It is not safe for concurrent use.
type table struct {
	settings    Settings
	self        *protocol.Member
	records     map[string]*record
	convictions map[uint64]*protocol.Conviction
	deltas      deltas
	vms         vmHints
	// newestOffset is the highest catalogue offset of any other member.
	newestOffset int64
	started      time.Time
	lastTick     time.Time
	// push is set when other members are to be notified at once.
	push bool
	// changed is set by every change that is visible in a view.
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

// updateSelf replaces this router's own row and queues it for gossip.
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
			// Otherwise routers that have removed a dead member would learn of it from each other again and again.
			return
		}
		known = &record{firstSeen: now}
		t.records[row.GetName()] = known
	} else if !supersedes(row, known.member) {
		if row.GetIncarnation() == known.member.GetIncarnation() {
			t.mergeCatalogue(known, row)
		}
		return
	}
	t.replaceRow(now, known, row)
}

// refute raises this router's incarnation if another router reports it in a worse state than its own, or if an earlier
// process of the same name had a higher incarnation.
func (t *table) refute(row *protocol.Member) {
	worse := row.GetIncarnation() == t.self.GetIncarnation() && row.GetState() > t.self.GetState()
	if row.GetIncarnation() > t.self.GetIncarnation() || worse {
		t.updateSelf(func(m *protocol.Member) { m.Incarnation = row.GetIncarnation() + 1 })
	}
}

// supersedes reports whether row replaces known: it has a higher incarnation, or a later state of the same incarnation.
// The numbers of the states are in that order.
func supersedes(row, known *protocol.Member) bool {
	if row.GetIncarnation() != known.GetIncarnation() {
		return row.GetIncarnation() > known.GetIncarnation()
	}
	return row.GetState() > known.GetState()
}

// mergeCatalogue applies a later catalogue revision or offset of a row that is otherwise known. The row is gossiped
// further only if its offset is the highest known, so that a catalogue change costs one row instead of one per member.
func (t *table) mergeCatalogue(known *record, row *protocol.Member) {
	// The revision is compared as well, because the first record of the log has offset 0, the same as no record.
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

// replaceRow stores a new row of a member, starts or clears the suspicion, and queues the row for gossip. It keeps the
// known catalogue revision and offset if the row has a lower offset.
func (t *table) replaceRow(now time.Time, known *record, row *protocol.Member) {
	wasLeaving := known.member != nil && known.member.GetState() == leaving &&
		known.member.GetIncarnation() == row.GetIncarnation()
	member := proto.CloneOf(row)
	if known.member != nil && member.GetCatalogueOffset() < known.member.GetCatalogueOffset() {
		member.CatalogueRevision, member.CatalogueOffset = known.member.GetCatalogueRevision(), known.member.GetCatalogueOffset()
	}
	known.member = member
	t.newestOffset = max(t.newestOffset, member.GetCatalogueOffset())
	known.deadline, known.deadSince, known.probeFailed = time.Time{}, time.Time{}, false
	switch row.GetState() {
	case suspect:
		known.deadline = now.Add(t.settings.SuspectTimeout)
	case dead:
		known.deadSince = now
		known.left = wasLeaving
	}
	t.deltas.addMember(row.GetName())
	t.changed = true
}

// suspect records that a member with the given incarnation didn't answer this router's probe.
func (t *table) suspect(now time.Time, name string, incarnation uint64) {
	known, ok := t.records[name]
	if !ok || known.member.GetIncarnation() != incarnation || !known.deadline.IsZero() {
		return
	}
	switch known.member.GetState() {
	case joining, alive:
		row := proto.CloneOf(known.member)
		row.State = suspect
		t.replaceRow(now, known, row)
		known.probeFailed = true
	case leaving:
		known.deadline = now.Add(t.settings.SuspectTimeout)
		known.probeFailed = true
	}
}

// suspectsToProbe returns the suspect members to probe now: those whose probe by this router failed, and those that
// would be declared dead by the next tick. On a lossy network a first probe often fails by chance, and the refutation
// may arrive later than the suspicion. Therefore a router probes a member itself before it declares the member dead.
// It adds a few members that are alive but silent, so that the end of their silence is noticed soon.
func (t *table) suspectsToProbe(now time.Time) []string {
	var names, silent []string
	for name, known := range t.records {
		switch {
		case !known.deadline.IsZero() && (known.probeFailed || known.deadline.Sub(now) <= t.settings.ProbeInterval):
			names = append(names, name)
		case known.silent && known.member.GetState() != dead:
			silent = append(silent, name)
		}
	}
	rand.Shuffle(len(silent), func(i, j int) { silent[i], silent[j] = silent[j], silent[i] })
	return append(names, silent[:min(len(silent), silentProbes)]...)
}

// recordContact records a message that came from the member itself, which ends the suspicion of a leaving member. Other
// suspect members change state only by their own refutation, which the same exchange carries.
func (t *table) recordContact(name string) {
	known, ok := t.records[name]
	if !ok {
		return
	}
	t.setSilent(known, false)
	if known.member.GetState() == leaving {
		known.deadline = time.Time{}
	}
}

// recordSilence records that a member didn't answer a message of this router.
func (t *table) recordSilence(name string) {
	if known, ok := t.records[name]; ok {
		t.setSilent(known, true)
	}
}

func (t *table) setSilent(known *record, silent bool) {
	t.changed = t.changed || known.silent != silent
	known.silent = silent
}

// tick declares members dead whose suspicion has timed out, and removes dead members and convictions that have expired.
// If the time since the last tick exceeds ProbeInterval, this process was paused and couldn't receive refutations, so
// all suspicions are extended by that time.
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
			t.replaceRow(now, known, row)
		case known.member.GetState() == dead && now.Sub(known.deadSince) >= t.settings.DeadRetention:
			delete(t.records, name)
			t.deltas.dropMember(name)
			t.changed = true
		}
	}
	t.expireConvictions(now)
}

func (t *table) members() []Member {
	members := make([]Member, 0, len(t.records)+1)
	members = append(members, newViewMember(t.self, &record{firstSeen: t.started}, t.vms.isLeaving(t.self.GetAddress())))
	for _, known := range t.records {
		members = append(members, newViewMember(known.member, known, t.vms.isLeaving(known.member.GetAddress())))
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

func newViewMember(m *protocol.Member, known *record, vmLeaving bool) Member {
	state := m.GetState()
	if vmLeaving && state < leaving {
		state = leaving
	}
	return Member{
		Name: m.GetName(), Address: m.GetAddress(), DataCentre: m.GetDataCentre(), Processor: m.GetProcessor(),
		Incarnation: m.GetIncarnation(), State: state,
		CatalogueRevision: m.GetCatalogueRevision(), CatalogueOffset: m.GetCatalogueOffset(),
		Known: known.firstSeen, Left: known.left, Silent: known.silent,
	}
}

// rows returns the full table for a joining router, this router's own row first.
func (t *table) rows() []*protocol.Member {
	rows := []*protocol.Member{t.self}
	for _, name := range slices.Sorted(maps.Keys(t.records)) {
		rows = append(rows, t.records[name].member)
	}
	return rows
}
