package archiver

import (
	"cmp"
	"slices"
	"time"

	"coltsfootplank/internal/protocol"
)

const (
	// maxRecords bounds the records in the directory. Few requests crash engines at a time.
	maxRecords = 128
	// minPartCrashes is the number of crashes from which a suspect part is stored. Each crash makes all parts of the requests
	// on the engine suspect, nearly all of them only once.
	minPartCrashes = 2
	// expiryTolerance is how much earlier than known a stored conviction may expire.
	expiryTolerance = 30 * time.Second
)

// plan returns the convictions to store, and the fingerprints whose records are to be deleted with them: those that have
// expired, and those that give way to others. known is what the routers know, stored what the directory holds.
func plan(now time.Time, known []*protocol.Conviction, stored map[uint64]*protocol.Conviction) (put []*protocol.Conviction, drop []uint64) {
	kept := slices.DeleteFunc(slices.Clone(known), func(c *protocol.Conviction) bool { return !worthStoring(now, c) })
	slices.SortFunc(kept, compareWorth)
	kept = kept[:min(len(kept), maxRecords)]
	keep := make(map[uint64]bool, len(kept))
	for _, c := range kept {
		keep[c.GetFingerprint()] = true
		if !covers(stored[c.GetFingerprint()], c) {
			put = append(put, c)
		}
	}
	if len(put) == 0 {
		return nil, nil
	}
	for fingerprint := range stored {
		if !keep[fingerprint] {
			drop = append(drop, fingerprint)
		}
	}
	slices.Sort(drop)
	return put, drop
}

func worthStoring(now time.Time, c *protocol.Conviction) bool {
	return (c.GetConvicted() || !c.GetPart() || c.GetCrashes() >= minPartCrashes) && c.GetExpiresUnixMs() > now.UnixMilli()
}

// compareWorth orders convictions by what is lost without them: convicted ones first, then those with the most crashes.
func compareWorth(a, b *protocol.Conviction) int {
	switch {
	case a.GetConvicted() && !b.GetConvicted():
		return -1
	case b.GetConvicted() && !a.GetConvicted():
		return 1
	}
	return cmp.Or(
		cmp.Compare(b.GetCrashes(), a.GetCrashes()), cmp.Compare(b.GetExpiresUnixMs(), a.GetExpiresUnixMs()),
		cmp.Compare(a.GetFingerprint(), b.GetFingerprint()),
	)
}

// covers reports whether a conviction, which may be nil, says all that another one of the same fingerprint does.
func covers(has, c *protocol.Conviction) bool {
	switch {
	case has == nil || c.GetConvicted() && !has.GetConvicted():
		return false
	case !c.GetConvicted() && !has.GetConvicted() && has.GetCrashes() < c.GetCrashes():
		return false
	case c.GetConvicted() && len(has.GetTogether()) > len(c.GetTogether()):
		return false
	}
	return has.GetExpiresUnixMs()+expiryTolerance.Milliseconds() >= c.GetExpiresUnixMs()
}
