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
	byName   map[string]*engine
	// list is in the order of the engines' names, so that decisions are reproducible.
	list    []*engine
	classes map[string]*engineClass
	// classList is in the order of the generations' names.
	classList []*engineClass
	random    *rand.Rand
	// share of every engine's capacity that this scheduler may use.
	share float64
	// granted counts the requests in flight, slots the slots of all usable engines.
	granted int
	slots   int
	// reserved is the engine kept for one ticket, or nil.
	reserved *engine
	speeds   speedSurvey
	prefixes *prefixIndex
	// connections are those that the holders keep.
	connections *connectionIndex
	// out holds the excluded engines that wait for a probe.
	out []*engine
	// noneSince is when the last usable engine was lost.
	noneSince time.Time
	// roomiest orders the engines with a free slot, but for the reserved one, by the tokens that they can take.
	roomiest *indexedHeap[*engine]
	// urgentSeen is the arrival of the last ticket that may use the reserved slots; urgent says whether there are any.
	urgentSeen time.Time
	urgent     bool
	// now is the time of the current call.
	now time.Time
}

// engineClass holds the engines of one hardware generation that have a free slot, least work ahead first.
type engineClass struct {
	open [openCount]*indexedHeap[*engine]
}

func newEngineSet(settings *Settings, random *rand.Rand) *engineSet {
	return &engineSet{
		roomiest: newIndexedHeap(func(a, b *engine) bool { return a.roomLeft() > b.roomLeft() },
			func(e *engine) *int { return &e.roomPos }),
		settings: settings, random: random, share: 1, prefixes: newPrefixIndex(settings), connections: newConnectionIndex(settings),
		byName: make(map[string]*engine), classes: make(map[string]*engineClass),
	}
}

// replace sets the engines of the cell. Engines that left stay, unused, until their requests have ended.
func (s *engineSet) replace(infos []EngineInfo) {
	kept := make(map[string]bool, len(infos))
	for _, info := range infos {
		kept[info.Name] = true
		e := s.byName[info.Name]
		if e == nil {
			e = newEngine(info, s.settings, &s.now)
			s.byName[info.Name] = e
		}
		s.close(e)
		e.info, e.gone = info, false
		e.class = s.class(info.Generation)
	}
	for name, e := range s.byName {
		if !kept[name] {
			e.gone = true
			s.forget(e)
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
	s.refresh()
}

func (s *engineSet) class(generation string) *engineClass {
	c := s.classes[generation]
	if c == nil {
		c = &engineClass{}
		for i := range c.open {
			c.open[i] = newIndexedHeap(lessAhead, func(e *engine) *int { return &e.openPos[i] })
		}
		s.classes[generation] = c
		s.classList = append(s.classList, c)
	}
	return c
}

func lessAhead(a, b *engine) bool {
	if a.ahead != b.ahead {
		return a.ahead < b.ahead
	}
	return a.info.Name < b.info.Name
}

// forget drops an engine that left the cell and has no request in flight.
func (s *engineSet) forget(e *engine) {
	if !e.gone || len(e.granted) > 0 {
		return
	}
	s.close(e)
	s.prefixes.clear(e)
	delete(s.byName, e.info.Name)
	if i := slices.Index(s.list, e); i >= 0 {
		s.list = slices.Delete(s.list, i, i+1)
	}
}

// refresh recomputes slots and indexes of all engines.
func (s *engineSet) refresh() {
	before := s.slots
	s.slots = 0
	if s.reserved != nil && !s.reserved.usable() {
		s.unreserve(s.reserved.reservedFor)
	}
	for _, e := range s.list {
		e.slots, e.reserve = s.slotsOf(e), s.reserveShare()
		if e.counted = e.usable(); e.counted {
			s.slots += max(0, e.info.Slots)
		}
		s.reindex(e)
	}
	if before > 0 && s.slots == 0 {
		s.noneSince = s.now
	}
	s.survey()
}

// refreshOne recomputes one engine after an observation. A change of its usability changes the pool's slots.
func (s *engineSet) refreshOne(e *engine) {
	if e.usable() != e.counted {
		s.refresh()
		return
	}
	e.slots = s.slotsOf(e)
	s.reindex(e)
}

// slotsOf is the part of an engine's slots that this scheduler may fill.
func (s *engineSet) slotsOf(e *engine) int {
	if e.info.Slots <= 0 {
		return 0
	}
	slots := e.info.Slots
	if e.batchSlots > 0 {
		slots = min(slots, e.batchSlots)
	}
	slots = max(1, int(s.share*float64(slots)+0.999))
	if e.allowance > 0 {
		slots = min(slots, e.allowance)
	}
	return slots
}

// spare is the number of requests that the pool can take in addition. A share below one bounds the whole pool
// too, because each engine's share is rounded up to a whole slot.
func (s *engineSet) spare() int {
	if s.share >= 1 {
		return math.MaxInt
	}
	return max(1, int(s.share*float64(s.slots))) - s.granted
}

// reindex restores an engine's places after a change.
func (s *engineSet) reindex(e *engine) {
	switch {
	case e.free() <= 0 || e.reservedFor != nil:
		s.roomiest.remove(e)
	case e.roomPos < 0:
		s.roomiest.push(e)
	default:
		s.roomiest.fix(e)
	}
	for i, open := range e.opens() {
		switch {
		case !open:
			e.class.open[i].remove(e)
		case e.openPos[i] < 0:
			e.class.open[i].push(e)
		default:
			e.class.open[i].fix(e)
		}
	}
}

// close takes an engine out of all indexes.
func (s *engineSet) close(e *engine) {
	if e.class == nil {
		return
	}
	s.roomiest.remove(e)
	for _, open := range e.class.open {
		open.remove(e)
	}
}

// openLen is the number of engines in one index.
func (s *engineSet) openLen(index int) int {
	var sum int
	for _, c := range s.classList {
		sum += c.open[index].len()
	}
	return sum
}

// anyOpen says whether any engine has a free slot.
func (s *engineSet) anyOpen() bool { return s.openLen(openUrgentShort) > 0 && s.spare() > 0 }

func (s *engineSet) start(e *engine, r *request, now time.Time) {
	s.unreserve(r)
	e.start(r, now)
	s.prefixes.dispatched(e, r, now)
	s.connections.granted(r.holder, e, now)
	s.granted++
	s.reindex(e)
}

func (s *engineSet) end(r *request, now time.Time) {
	e := r.engine
	e.end(r, now)
	s.granted--
	s.reindex(e)
	s.forget(e)
}
