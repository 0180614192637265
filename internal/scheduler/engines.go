package scheduler

import (
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
}

// engineClass holds the engines of one hardware generation that have a free slot, least work ahead first.
type engineClass struct {
	open *indexedHeap[*engine]
}

func newEngineSet(settings *Settings, random *rand.Rand) *engineSet {
	return &engineSet{
		settings: settings, random: random, share: 1,
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
			e = newEngine(info, s.settings)
			s.byName[info.Name] = e
		}
		if e.class != nil {
			e.class.open.remove(e)
		}
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
		c = &engineClass{open: newIndexedHeap(lessAhead, func(e *engine) *int { return &e.classIndex })}
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
	if e.class != nil {
		e.class.open.remove(e)
	}
	delete(s.byName, e.info.Name)
	if i := slices.Index(s.list, e); i >= 0 {
		s.list = slices.Delete(s.list, i, i+1)
	}
}

// refresh recomputes slots and indexes of all engines.
func (s *engineSet) refresh() {
	s.slots = 0
	for _, e := range s.list {
		e.slots = s.slotsOf(e)
		if e.usable() {
			s.slots += max(0, e.info.Slots)
		}
		s.reindex(e)
	}
}

// slotsOf is the part of an engine's slots that this scheduler may fill.
func (s *engineSet) slotsOf(e *engine) int {
	if e.info.Slots <= 0 {
		return 0
	}
	return max(1, int(s.share*float64(e.info.Slots)+0.999))
}

// spare is the number of requests that the pool can take in addition. A share below one bounds the whole pool
// too, because each engine's share is rounded up to a whole slot.
func (s *engineSet) spare() int {
	return max(1, int(s.share*float64(s.slots))) - s.granted
}

// reindex restores an engine's place after a change.
func (s *engineSet) reindex(e *engine) {
	switch {
	case e.free() <= 0:
		e.class.open.remove(e)
	case e.classIndex < 0:
		e.class.open.push(e)
	default:
		e.class.open.fix(e)
	}
}

// anyOpen says whether any engine has a free slot.
func (s *engineSet) anyOpen() bool {
	for _, c := range s.classList {
		if c.open.len() > 0 {
			return s.spare() > 0
		}
	}
	return false
}

func (s *engineSet) start(e *engine, r *request, now time.Time) {
	e.start(r, now)
	s.granted++
	s.reindex(e)
}

func (s *engineSet) end(r *request) {
	e := r.engine
	e.end(r)
	s.granted--
	s.reindex(e)
	s.forget(e)
}
