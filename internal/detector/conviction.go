package detector

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"coltsfootplank/internal/protocol"
)

// maxConvictions bounds the memory for suspect and poison fingerprints. When it is reached, the conviction that
// expires first is evicted.
const maxConvictions = 4096

// maxCrashIDs bounds the crashes that are kept for one conviction. Fewer suffice to convict.
const maxCrashIDs = 8

// mergeConvictions merges convictions into the table and reports whether any of them was new. It keeps the larger crash
// count and the later expiry, and a convicted fingerprint stays convicted. Fingerprints that become convicted are pushed to
// other members.
func (t *table) mergeConvictions(now time.Time, convictions []*protocol.Conviction) (changed bool) {
	for _, c := range convictions {
		if c.GetExpiresUnixMs() <= now.UnixMilli() {
			continue
		}
		known := t.convictions[c.GetFingerprint()]
		merged := mergeConviction(c, known)
		if proto.Equal(merged, known) {
			continue
		}
		if merged.GetConvicted() && (!known.GetConvicted() || len(merged.GetTogether()) < len(known.GetTogether())) {
			t.push = true
		}
		if known == nil && len(t.convictions) >= maxConvictions {
			t.dropConviction(t.firstExpiringConviction())
		}
		t.convictions[c.GetFingerprint()] = merged
		t.deltas.addConviction(c.GetFingerprint())
		t.changed, changed = true, true
	}
	return changed
}

// mergeConviction merges a conviction with the known one, which may be nil.
func mergeConviction(c, known *protocol.Conviction) *protocol.Conviction {
	merged := &protocol.Conviction{
		Fingerprint:   c.GetFingerprint(),
		ExpiresUnixMs: max(c.GetExpiresUnixMs(), known.GetExpiresUnixMs()),
		Convicted:     c.GetConvicted() || known.GetConvicted(),
		Part:          c.GetPart() || known.GetPart(),
		CrashIds:      slices.Concat(c.GetCrashIds(), known.GetCrashIds()),
	}
	slices.Sort(merged.CrashIds)
	merged.CrashIds = slices.Compact(merged.CrashIds)
	merged.CrashIds = merged.CrashIds[:min(len(merged.CrashIds), maxCrashIDs)]
	merged.Crashes = max(c.GetCrashes(), known.GetCrashes(), uint32(len(merged.CrashIds)))
	switch {
	case c.GetConvicted() && known.GetConvicted():
		merged.Together = intersection(c.GetTogether(), known.GetTogether())
	case c.GetConvicted():
		merged.Together = c.GetTogether()
	default:
		merged.Together = known.GetTogether()
	}
	return merged
}

func intersection(a, b []uint64) []uint64 {
	return slices.DeleteFunc(slices.Clone(a), func(value uint64) bool { return !slices.Contains(b, value) })
}

func (t *table) expireConvictions(now time.Time) {
	for fingerprint, c := range t.convictions {
		if c.GetExpiresUnixMs() <= now.UnixMilli() {
			t.dropConviction(fingerprint)
		}
	}
}

func (t *table) dropConviction(fingerprint uint64) {
	delete(t.convictions, fingerprint)
	t.deltas.dropConviction(fingerprint)
	t.changed = true
}

func (t *table) firstExpiringConviction() uint64 {
	return slices.MinFunc(t.sortedConvictions(), func(a, b *protocol.Conviction) int {
		return cmp.Compare(a.GetExpiresUnixMs(), b.GetExpiresUnixMs())
	}).GetFingerprint()
}

func (t *table) sortedConvictions() []*protocol.Conviction {
	return slices.SortedFunc(maps.Values(t.convictions), func(a, b *protocol.Conviction) int {
		return cmp.Compare(a.GetFingerprint(), b.GetFingerprint())
	})
}
