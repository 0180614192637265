package scheduler

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// engineSet holds the engines of the cell and indexes those with free slots.
type engineSet struct {
	settings *Settings
	versions versionLimits
	byName   map[string]*engine
	// list is sorted by engine name, so that decisions are reproducible.
	list        []*engine
	generations map[string]*generationIndex
	// generationList is in the order in which the generations were first seen.
	generationList []*generationIndex
	random         *rand.Rand
	// share is the part of each engine's capacity that this scheduler may use.
	share float64
	// adoptUntil is until when grants of other schedulers may not be known; zero if there was no other scheduler.
	adoptUntil time.Time
	// expireAt is when the first estimate from an answer or orphaned run is over; zero if there is none.
	expireAt time.Time
	// granted counts the requests in flight on all engines. slots is the sum of the slots of all usable engines.
	granted int
	slots   int
	// reserved is the engine that is reserved for one ticket, or nil.
	reserved *engine
	speeds   poolSpeeds
	prefixes *prefixIndex
	pace     poolPace
	// connections estimates the idle connections of the holders.
	connections *connectionIndex
	// excludedEngines holds the excluded engines that wait for their next probe.
	excludedEngines []*engine
	// noUsableSince is when the pool lost its last usable engine.
	noUsableSince time.Time
	// byRoomLeft orders the engines that have a free slot and aren't reserved, the one with the most room for tokens
	// first.
	byRoomLeft *indexedHeap[*engine]
	// lastUrgentAt is when the last ticket arrived that may use the slots reserved for urgent tickets.
	// urgentReserveActive reports whether slots are reserved.
	lastUrgentAt        time.Time
	urgentReserveActive bool
	// worksStated is set once an engine has stated how long work takes on its machine.
	worksStated bool
	// now is the time of the current call.
	now time.Time
}

// generationIndex holds the engines of one hardware generation that have a free slot, those with the least work ahead
// first.
type generationIndex struct {
	open [openCount]*indexedHeap[*engine]
}

func newEngineSet(settings *Settings, random *rand.Rand) *engineSet {
	return &engineSet{
		byRoomLeft: newIndexedHeap(func(a, b *engine) bool { return a.roomLeft() > b.roomLeft() },
			func(e *engine) *int { return &e.roomIndex }),
		settings: settings, random: random, share: 1,
		prefixes: newPrefixIndex(settings), connections: newConnectionIndex(settings),
		byName: make(map[string]*engine), generations: make(map[string]*generationIndex),
	}
}

// replace sets the engines of the cell. An engine that left the cell gets no new work and is dropped once its requests
// have ended.
func (s *engineSet) replace(infos []EngineInfo) {
	kept := make(map[string]bool, len(infos))
	for _, info := range infos {
		kept[info.Name] = true
		e := s.byName[info.Name]
		if e == nil {
			e = newEngine(info, s.settings, &s.now)
			e.versions = &s.versions
			s.byName[info.Name] = e
			s.startPace(e, info)
		} else if e.info.restartedAs(info) {
			s.startPace(e, info)
		}
		s.close(e)
		if e.info.restartedAs(info) {
			clear(e.orphans)
		}
		e.info, e.removed = info, false
		e.generation = s.generation(info.Generation)
	}
	for name, e := range s.byName {
		if !kept[name] {
			e.removed = true
			s.removeIfIdle(e)
		}
	}
	s.list = s.list[:0]
	for _, e := range s.byName {
		s.list = append(s.list, e)
	}
	slices.SortFunc(s.list, func(a, b *engine) int {
		if a.info.Name < b.info.Name {
			return -1
		}
		return 1
	})
	s.versions.rank(s.list)
	s.refresh()
}

func (s *engineSet) generation(generation string) *generationIndex {
	g := s.generations[generation]
	if g == nil {
		g = &generationIndex{}
		for i := range g.open {
			g.open[i] = newIndexedHeap(lessAhead, func(e *engine) *int { return &e.openPos[i] })
		}
		s.generations[generation] = g
		s.generationList = append(s.generationList, g)
	}
	return g
}

func lessAhead(a, b *engine) bool {
	if a.ahead != b.ahead {
		return a.ahead < b.ahead
	}
	return a.info.Name < b.info.Name
}

// removeIfIdle drops an engine that has left the cell and has no request in flight.
func (s *engineSet) removeIfIdle(e *engine) {
	if !e.removed || len(e.granted) > 0 {
		return
	}
	s.close(e)
	s.prefixes.clear(e)
	s.rememberPace(e)
	delete(s.byName, e.info.Name)
	if i := slices.Index(s.list, e); i >= 0 {
		s.list = slices.Delete(s.list, i, i+1)
	}
}

// refresh recomputes the slots and index entries of all engines.
func (s *engineSet) refresh() {
	before := s.slots
	s.slots = 0
	if s.reserved != nil && !s.reserved.usable() {
		s.unreserve(s.reserved.reservedFor)
	}
	s.refreshFloor()
	for _, e := range s.list {
		e.slots, e.urgentReserveShare = s.slotsOf(e), s.urgentReserveShare()
		e.extraSlots = s.turnaroundSlots(e)
		e.share, e.adoptUntil = s.share, s.adoptUntil
		if e.countedInPool = e.usable(); e.countedInPool {
			s.slots += max(0, e.info.Slots)
		}
		s.reindex(e)
	}
	if before > 0 && s.slots == 0 {
		s.noUsableSince = s.now
	}
	s.refreshSpeeds()
}

// refreshOne recomputes one engine after an observation. If its usability changed, all engines are refreshed, because
// the pool's slots change too.
func (s *engineSet) refreshOne(e *engine) {
	if e.usable() != e.countedInPool {
		s.refresh()
		return
	}
	e.slots = s.slotsOf(e)
	e.extraSlots = s.turnaroundSlots(e)
	s.reindex(e)
}

// slotsOf returns the number of an engine's slots that this scheduler may fill.
func (s *engineSet) slotsOf(e *engine) int {
	if e.info.Slots <= 0 {
		return 0
	}
	slots := e.info.Slots
	if e.batchSlots > 0 {
		slots = min(slots, e.batchSlots)
	}
	slots = max(1, int(s.share*float64(slots)+0.999))
	if e.paceLimit = e.pace.Limit(e.info.Slots, s.pace.floor, s.share); e.paceLimit > 0 {
		slots = min(slots, e.paceLimit)
	}
	return slots
}

// spareSlots returns the number of further requests that the pool can take. A share below 1 also bounds the pool as a
// whole, because each engine's share is rounded up to a whole slot.
func (s *engineSet) spareSlots() int {
	if s.share >= 1 {
		return math.MaxInt
	}
	return max(1, int(s.share*float64(s.slots))) - s.granted
}

// reindex updates an engine's index entries after a change.
func (s *engineSet) reindex(e *engine) {
	switch {
	case e.freeSlots() <= 0 || e.reservedFor != nil:
		s.byRoomLeft.remove(e)
	case e.roomIndex < 0:
		s.byRoomLeft.push(e)
	default:
		s.byRoomLeft.fix(e)
	}
	for i, open := range e.openIndexes() {
		switch {
		case !open:
			e.generation.open[i].remove(e)
		case e.openPos[i] < 0:
			e.generation.open[i].push(e)
		default:
			e.generation.open[i].fix(e)
		}
	}
}

// close removes an engine from all indexes of engines with free slots.
func (s *engineSet) close(e *engine) {
	if e.generation == nil {
		return
	}
	s.byRoomLeft.remove(e)
	for _, open := range e.generation.open {
		open.remove(e)
	}
}

// openLen returns the number of engines in one index over all generations.
func (s *engineSet) openLen(index int) int {
	var sum int
	for _, g := range s.generationList {
		sum += g.open[index].len()
	}
	return sum
}

// anyOpen reports whether any engine has a free slot.
func (s *engineSet) anyOpen() bool { return s.openLen(openUrgentShort) > 0 && s.spareSlots() > 0 }

func (s *engineSet) start(e *engine, r *request, now time.Time) {
	s.unreserve(r)
	e.start(r, now)
	e.reach.recordGrant(r.holder, now)
	s.prefixes.recordGrant(e, r, now)
	s.connections.recordUse(r.holder, e, now)
	s.granted++
	s.reindex(e)
	if s.versions.grant(e) {
		s.refresh()
	}
}

func (s *engineSet) end(r *request, now time.Time) {
	e := r.engine
	e.end(r, now)
	s.granted--
	s.reindex(e)
	s.removeIfIdle(e)
}
