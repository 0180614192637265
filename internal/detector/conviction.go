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

// mergeConvictions merges convictions into the table. It keeps the larger crash count and the later expiry, and a
// convicted fingerprint stays convicted.
func (t *table) mergeConvictions(now time.Time, convictions []*protocol.Conviction) {
	for _, c := range convictions {
		if c.GetExpiresUnixMs() <= now.UnixMilli() {
			continue
		}
		known := t.convictions[c.GetFingerprint()]
		merged := &protocol.Conviction{
			Fingerprint:   c.GetFingerprint(),
			Crashes:       max(c.GetCrashes(), known.GetCrashes()),
			ExpiresUnixMs: max(c.GetExpiresUnixMs(), known.GetExpiresUnixMs()),
			Convicted:     c.GetConvicted() || known.GetConvicted(),
		}
		if proto.Equal(merged, known) {
			continue
		}
		if known == nil && len(t.convictions) >= maxConvictions {
			t.dropConviction(t.firstExpiringConviction())
		}
		t.convictions[c.GetFingerprint()] = merged
		t.deltas.addConviction(c.GetFingerprint())
		t.changed = true
	}
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
