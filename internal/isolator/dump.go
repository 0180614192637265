package isolator

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// DumpEntry is a suspect or poison request or part in the state dump.
type DumpEntry struct {
	// Trait is the fingerprint of the request, or the hash of the part, in hexadecimal.
	Trait string `json:"trait"`
	Part  bool   `json:"part"`
	// Crashes is the number of crashes, Blamed the number of those that nothing else explains.
	Crashes int  `json:"crashes"`
	Blamed  int  `json:"blamed"`
	Poison  bool `json:"poison"`
	// Together is the number of parts without which a poison part isn't refused.
	Together int `json:"together,omitempty"`
	// Trial is the request that tests poison after its retention.
	Trial   string    `json:"trial,omitempty"`
	Expires time.Time `json:"expires"`
}

// maxDumpEntries bounds the entries of a dump.
const maxDumpEntries = 100

// Dump returns the entries with the most crashes, poison first.
func (i *Isolator) Dump() []DumpEntry {
	entries := make([]DumpEntry, 0, len(i.suspects))
	for _, s := range i.suspects {
		entries = append(entries, DumpEntry{
			Trait: strconv.FormatUint(s.trait, 16), Part: s.part, Crashes: len(s.runs), Blamed: len(s.blamedRuns()),
			Poison: s.poison, Together: len(s.together), Trial: s.trial, Expires: s.expires,
		})
	}
	slices.SortFunc(entries, func(a, b DumpEntry) int {
		if a.Poison != b.Poison {
			if a.Poison {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Trait, b.Trait))
	})
	return entries[:min(len(entries), maxDumpEntries)]
}
