package isolator

import (
	"time"

	"coltsfootplank/internal/protocol"
)

// State determines how a request is run.
type State int

// States of a fingerprint.
const (
	// Clear requests may share an engine with other requests.
	Clear State = iota
	// Suspect requests were in flight on an engine when it crashed. They run alone on an engine.
	Suspect
	// Poison requests crashed an engine while running alone, or reached the crash limit. They are refused.
	Poison
)

// Settings configures an isolator.
type Settings struct {
	// SuspectRetention is how long a request stays a suspect after a crash.
	SuspectRetention time.Duration
	// PoisonRetention is how long a request stays poison after a crash.
	PoisonRetention time.Duration
	// MaxEntries is the maximum number of entries. The suspect that expires first is evicted to make room.
	MaxEntries int
	// CrashLimit, if it isn't 0, is the number of crashes after which a request becomes poison. Suspects then don't run
	// alone.
	CrashLimit int
}

// Isolator is the table of suspect and poison requests. It is not safe for concurrent use.
type Isolator struct {
	settings Settings
	entries  map[uint64]*entry
}

type entry struct {
	crashes uint32
	poison  bool
	expires time.Time
}

// New returns an empty table.
func New(settings Settings) *Isolator {
	return &Isolator{settings: settings, entries: make(map[uint64]*entry)}
}

// State returns the state of a fingerprint. Fingerprint 0 means unknown and is always Clear.
func (i *Isolator) State(now time.Time, fingerprint uint64) State {
	e := i.entries[fingerprint]
	switch {
	case e == nil || fingerprint == 0 || !now.Before(e.expires):
		return Clear
	case e.poison:
		return Poison
	case i.settings.CrashLimit > 0:
		return Clear
	}
	return Suspect
}

// RecordCrash records that an engine crashed while the request was in flight; alone means that no other request ran on
// it. Without a CrashLimit, only a crash while alone makes a request poison, so that a harmless request is never
// refused because of the requests that it ran with. It returns the number of crashes recorded for the fingerprint.
func (i *Isolator) RecordCrash(now time.Time, fingerprint uint64, alone bool) uint32 {
	if fingerprint == 0 {
		return 0
	}
	e := i.entries[fingerprint]
	if e == nil || !now.Before(e.expires) {
		e = &entry{}
		i.add(fingerprint, e)
	}
	e.crashes++
	e.poison = e.poison || alone || i.crashLimitReached(e)
	i.extendExpiry(e, now)
	return e.crashes
}

func (i *Isolator) crashLimitReached(e *entry) bool {
	return i.settings.CrashLimit > 0 && int(e.crashes) >= i.settings.CrashLimit
}

// extendExpiry prolongs the retention of an entry, counted from now.
func (i *Isolator) extendExpiry(e *entry, now time.Time) {
	retention := i.settings.SuspectRetention
	if e.poison {
		retention = i.settings.PoisonRetention
	}
	if expires := now.Add(retention); expires.After(e.expires) {
		e.expires = expires
	}
}

// ClearSuspicion removes a suspect whose request was answered while running alone. Poison requests are kept.
func (i *Isolator) ClearSuspicion(fingerprint uint64) {
	if e := i.entries[fingerprint]; e != nil && !e.poison {
		delete(i.entries, fingerprint)
	}
}

// Merge adds entries from other routers. An expiry later than a local entry could have is shortened, so that a wrong
// clock on another router can't keep a request poison permanently.
func (i *Isolator) Merge(now time.Time, convictions []*protocol.Conviction) {
	for _, c := range convictions {
		expires := time.UnixMilli(c.GetExpiresUnixMs())
		retention := i.settings.SuspectRetention
		if c.GetConvicted() {
			retention = i.settings.PoisonRetention
		}
		if limit := now.Add(retention); expires.After(limit) {
			expires = limit
		}
		if c.GetFingerprint() == 0 || !now.Before(expires) {
			continue
		}
		e := i.entries[c.GetFingerprint()]
		if e == nil || !now.Before(e.expires) {
			e = &entry{}
			i.add(c.GetFingerprint(), e)
		}
		e.crashes = max(e.crashes, c.GetCrashes())
		e.poison = e.poison || c.GetConvicted()
		if expires.After(e.expires) {
			e.expires = expires
		}
	}
}

// List returns the entries that haven't expired, for gossip, and removes the others.
func (i *Isolator) List(now time.Time) []*protocol.Conviction {
	var list []*protocol.Conviction
	for fingerprint, e := range i.entries {
		if !now.Before(e.expires) {
			delete(i.entries, fingerprint)
			continue
		}
		list = append(list, &protocol.Conviction{Fingerprint: fingerprint, Crashes: e.crashes,
			ExpiresUnixMs: e.expires.UnixMilli(), Convicted: e.poison})
	}
	return list
}

// add inserts an entry. In a full table it first evicts the entry that expires first, suspects before poison requests.
func (i *Isolator) add(fingerprint uint64, e *entry) {
	if len(i.entries) >= max(1, i.settings.MaxEntries) {
		var evicted uint64
		var candidate *entry
		for f, other := range i.entries {
			if candidate == nil || (candidate.poison && !other.poison) ||
				(candidate.poison == other.poison && other.expires.Before(candidate.expires)) {
				evicted, candidate = f, other
			}
		}
		delete(i.entries, evicted)
	}
	i.entries[fingerprint] = e
}
