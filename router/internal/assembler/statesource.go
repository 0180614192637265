package assembler

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/subscriber"
)

// stateSources returns the other routers that have what is wanted of a state, the best ones first. version and offset are what this
// router has.
func stateSources(view *detector.View, version uint64, offset int64, wanted subscriber.Wanted) (sources []detector.Member) {
	for _, member := range view.Members {
		if member.Name == view.Self || !reachable(member.State) {
			continue
		}
		newer := member.CatalogueRevision > version ||
			wanted == subscriber.WantedNewer && member.CatalogueRevision == version && member.CatalogueOffset > offset
		if newer || wanted == subscriber.WantedAny {
			sources = append(sources, member)
		}
	}
	if wanted == subscriber.WantedAny {
		return oldestHalf(sources)
	}
	slices.SortStableFunc(sources, func(a, b detector.Member) int {
		return cmp.Or(cmp.Compare(b.CatalogueRevision, a.CatalogueRevision), cmp.Compare(b.CatalogueOffset, a.CatalogueOffset))
	})
	return sources
}

// oldestHalf returns the half of the routers that have run for longest, in random order. They know most of what happened before the
// directory was restored, and routers that ask at the same time don't all ask one.
func oldestHalf(sources []detector.Member) []detector.Member {
	slices.SortStableFunc(sources, func(a, b detector.Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	sources = sources[:(len(sources)+1)/2]
	rand.Shuffle(len(sources), func(i, j int) { sources[i], sources[j] = sources[j], sources[i] })
	return sources
}

// peerVersion returns the highest version of the configuration that another router states, 0 if there is none.
func (g *gatewayMode) peerVersion() (newest uint64) {
	view := g.detector.View()
	for _, member := range view.Members {
		if member.Name != view.Self && reachable(member.State) {
			newest = max(newest, member.CatalogueRevision)
		}
	}
	return newest
}
