package assembler

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/subscriber"
)

// TestStateSources guards against asking a router that has nothing newer, that can't answer, or this one itself,
// and one that has just started what happened before the directory was restored.
func TestStateSources(t *testing.T) {
	member := func(name string, version uint64, offset int64, state protocol.MemberState) detector.Member {
		m := detector.Member{Name: name, CatalogueRevision: version, CatalogueOffset: offset, State: state, Incarnation: 2}
		if name == "older" || name == "same" {
			m.Incarnation = 1
		}
		return m
	}
	alive, dead := protocol.MemberState_MEMBER_STATE_ALIVE, protocol.MemberState_MEMBER_STATE_DEAD
	view := &detector.View{Self: "self", Members: []detector.Member{
		member("dead", 9, 9, dead), member("newer", 4, 1, alive), member("newest", 5, 1, alive), member("older", 2, 9, alive),
		member("same", 3, 7, alive), member("self", 3, 5, alive),
	}}
	for _, row := range []struct {
		wanted subscriber.Wanted
		want   []string
	}{
		{subscriber.WantedPublication, []string{"newest", "newer"}},
		{subscriber.WantedNewer, []string{"newest", "newer", "same"}},
		{subscriber.WantedAny, []string{"older", "same"}},
	} {
		var names []string
		for _, source := range stateSources(view, 3, 5, row.wanted) {
			names = append(names, source.Name)
		}
		if row.wanted == subscriber.WantedAny {
			slices.Sort(names)
		}
		assert.DeepEqual(t, names, row.want)
	}
}
