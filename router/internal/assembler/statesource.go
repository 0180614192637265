package assembler

import (
	"cmp"
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
		// Those that have run for longest know most of what happened before the directory was restored.
		slices.SortStableFunc(sources, func(a, b detector.Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
		return sources
	}
	slices.SortStableFunc(sources, func(a, b detector.Member) int {
		return cmp.Or(cmp.Compare(b.CatalogueRevision, a.CatalogueRevision), cmp.Compare(b.CatalogueOffset, a.CatalogueOffset))
	})
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
