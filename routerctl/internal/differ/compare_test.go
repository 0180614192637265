package differ

import (
	"testing"

	"gotest.tools/v3/assert"
)

const base = `revision: 7
workspaces: [{name: forge, weight: 2}]
pools:
- name: drafts
  protocol: httpengine
  upstreams: [{name: e1, address: 127.0.0.1:1, data_centre: d1, slots: 4}]
works: [{name: brief, class: stream, tier: 1, pool: drafts, idempotent: true, deadline: 90s}]
`

// TestCompare guards against a difference that is missing, reported at the wrong entry, or reported although only the
// notation or the order differs.
func TestCompare(t *testing.T) {
	cases := []struct {
		name, text string
		want       []Change
	}{
		{"another spelling, order and revision", `revision: 8
works: [{pool: drafts, name: brief, class: stream, tier: 1, idempotent: true, deadline: 1m30s}]
pools: [{name: drafts, protocol: httpengine, upstreams: [{name: e1, address: "127.0.0.1:1", data_centre: d1, slots: 4}]}]
workspaces: [{name: forge, weight: 2.0}]
`, []Change{}},
		{"changed, removed and added", `workspaces: [{name: forge, weight: 2}]
pools: [{name: drafts, protocol: httpengine, upstreams: [{name: e1, address: 127.0.0.1:1, data_centre: d1, slots: 8},
  {name: e2, address: 127.0.0.1:2, data_centre: d1, slots: 4}]}]
works: []
`, []Change{
			{Path: "pools[drafts].upstreams[e1].slots", From: uint64(4), To: uint64(8)},
			{Path: "pools[drafts].upstreams[e2]"},
			{Path: "works[brief]"},
		}},
	}
	from, err := Parse([]byte(base))
	assert.NilError(t, err)
	for _, c := range cases {
		to, err := ParseStrict([]byte(c.text))
		assert.NilError(t, err)
		got := Compare(from, to)
		assert.Equal(t, len(got), len(c.want), "%s: %v", c.name, got)
		for i, want := range c.want {
			assert.Equal(t, got[i].Path, want.Path)
			if want.From != nil {
				assert.DeepEqual(t, got[i], want)
			}
		}
	}
}

// TestCompareDuplicates guards against one of two entries with the same name hiding the other.
func TestCompareDuplicates(t *testing.T) {
	from, err := Parse([]byte("works: [{name: a, tier: 1}, {name: a, tier: 2}]"))
	assert.NilError(t, err)
	to, err := Parse([]byte("works: [{name: a, tier: 3}, {name: a, tier: 2}]"))
	assert.NilError(t, err)
	assert.Equal(t, len(Compare(from, to)), 1)
}

// TestParse guards against accepting an unknown key in an operator's file, and against refusing a newer router's
// catalogue.
func TestParse(t *testing.T) {
	text := []byte("wroks: []\n")
	_, err := ParseStrict(text)
	assert.ErrorContains(t, err, "wroks")
	_, err = Parse(text)
	assert.NilError(t, err)
}
