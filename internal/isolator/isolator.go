package isolator

import (
	"time"

	"coltsfootplank/internal/protocol"
)

// State says how a request is to be run.
type State int

// States of a fingerprint.
const (
	// Clear requests run with others.
	Clear State = iota
	// Suspect requests were in flight on an engine when it crashed; they run alone.
	Suspect
	// Poison requests crashed an engine while running alone; they are refused.
	Poison
)

// Settings of the table.
type Settings struct {
	// SuspectRetention is how long after a crash a request stays suspect.
	SuspectRetention time.Duration
	// PoisonRetention is how long a conviction lasts.
	PoisonRetention time.Duration
	// MaxEntries bounds the table; the suspect that expires first makes room.
	MaxEntries int
	// CrashLimit, if it isn't 0, is the number of crashes that convicts a request in place of one while it ran alone;
	// suspects then run with others.
	CrashLimit int
}

// Isolator is the table of suspects and convictions. It is not safe for concurrent use.
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

// State returns the state of a fingerprint. Fingerprint 0 is unknown and always clear.
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

// RecordCrash notes that an engine crashed with the request in flight; alone says that nothing else ran on it. Only a
// crash while alone convicts, so a healthy request is never refused for the company it ran in.
func (i *Isolator) RecordCrash(now time.Time, fingerprint uint64, alone bool) {
	if fingerprint == 0 {
		return
	}
	e := i.entries[fingerprint]
	if e == nil || !now.Before(e.expires) {
		e = &entry{}
		i.add(fingerprint, e)
	}
	e.crashes++
	e.poison = e.poison || alone || i.overLimit(e)
	i.extend(e, now)
}

func (i *Isolator) overLimit(e *entry) bool {
	return i.settings.CrashLimit > 0 && int(e.crashes) >= i.settings.CrashLimit
}

func (i *Isolator) extend(e *entry, now time.Time) {
	lasts := i.settings.SuspectRetention
	if e.poison {
		lasts = i.settings.PoisonRetention
	}
	if until := now.Add(lasts); until.After(e.expires) {
		e.expires = until
	}
}

// ClearSuspicion drops a suspicion, after the request was answered while running alone. Convictions stay.
func (i *Isolator) ClearSuspicion(fingerprint uint64) {
	if e := i.entries[fingerprint]; e != nil && !e.poison {
		delete(i.entries, fingerprint)
	}
}

// Merge takes entries from other routers. An expiry further away than an own entry could have is cut, so that a
// wrong clock can't make a conviction permanent.
func (i *Isolator) Merge(now time.Time, convictions []*protocol.Conviction) {
	for _, c := range convictions {
		expires := time.UnixMilli(c.GetExpiresUnixMs())
		lasts := i.settings.SuspectRetention
		if c.GetConvicted() {
			lasts = i.settings.PoisonRetention
		}
		if limit := now.Add(lasts); expires.After(limit) {
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

// List returns the entries that haven't expired, for gossip, and forgets the others.
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

// add inserts an entry and keeps the table within its bound. Suspects make room before convictions.
func (i *Isolator) add(fingerprint uint64, e *entry) {
	if len(i.entries) >= max(1, i.settings.MaxEntries) {
		var victim uint64
		var first *entry
		for f, other := range i.entries {
			if first == nil || (first.poison && !other.poison) ||
				(first.poison == other.poison && other.expires.Before(first.expires)) {
				victim, first = f, other
			}
		}
		delete(i.entries, victim)
	}
	i.entries[fingerprint] = e
}
