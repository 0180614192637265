package cataloguer

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

const sampleYAML = `
workspaces:
  - name: caruaru
    weight: 2
    key_hashes: [5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8]
  - name: recife
    weight: 1
    key_hashes: []
pools:
  - name: drafts
    protocol: http_engine
    upstreams:
      - {name: engine-1, address: "127.0.0.1:9001", data_centre: recife-1, slots: 4}
      - {name: engine-2, address: "127.0.0.1:9002", data_centre: recife-2, slots: 4}
  - name: desk
    protocol: http_service
    upstreams:
      - {name: desk-1, address: "127.0.0.1:9101", data_centre: recife-1, slots: 8}
works:
  - {name: brief, owner: design, class: stream, tier: 1, pool: drafts, model: brief-8b, idempotent: true, deadline: 30s}
  - {name: deposit, owner: desk, class: unary, tier: 0, pool: desk, path: /orders/deposit, idempotent: false}
  - {name: order, owner: desk, class: unary, tier: 0, pool: desk, method: GET, path: /orders/, idempotent: true}
`

// TestParseProblems guards against invalid catalogues being accepted, and against errors that name the wrong line
// or stop at the first problem.
func TestParseProblems(t *testing.T) {
	cases := []struct {
		name string
		yaml string
		want []ValidationError
	}{
		{
			name: "unknown fields in two entries",
			yaml: "workspaces:\n  - {name: a, weight: 1, key_hashes: [], wieght: 2}\n  - name: b\n    weight: 1\n    colour: red\n",
			want: []ValidationError{
				{Line: 2, Field: "workspaces[0]", Reason: `unknown field "wieght"`},
				{Line: 5, Field: "workspaces[1]", Reason: `unknown field "colour"`},
			},
		},
		{
			name: "unknown section",
			yaml: "workspaces: []\nclusters: []\n",
			want: []ValidationError{{Line: 2, Reason: `unknown field "clusters"`}},
		},
		{
			name: "duplicate key",
			yaml: "workspaces:\n  - name: a\n    name: b\n    weight: 1\n",
			want: []ValidationError{{Line: 3, Reason: `mapping key "name" already defined at [2:5]`}},
		},
		{
			name: "several values",
			yaml: "workspaces:\n  - name: a\n    weight: 0\npools:\n  - name: p\n    protocol: x\n    upstreams:\n" +
				"      - name: u\n        address: host:1\n        data_centre: d\n        slots: 0\n" +
				"works:\n  - name: w\n    class: stream\n    tier: 4\n    pool: q\n    model: m\n    idempotent: true\n    workspaces: [z]\n",
			want: []ValidationError{
				{Line: 3, Field: "workspaces[0].weight", Reason: "must be a positive number"},
				{Line: 9, Field: "pools[0].upstreams[0].address", Reason: `"host:1" is not ip:port`},
				{Line: 11, Field: "pools[0].upstreams[0].slots", Reason: "must be positive"},
				{Line: 16, Field: "works[0].pool", Reason: `there is no pool "q"`},
				{Line: 19, Field: "works[0].workspaces", Reason: `there is no workspace "z"`},
				{Line: 15, Field: "works[0].tier", Reason: "4 is not within 0..3"},
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseFile("", []byte(c.yaml))
			var all ValidationErrors
			assert.Assert(t, errors.As(err, &all), "%v", err)
			got := make([]ValidationError, len(all))
			for i, problem := range all {
				got[i] = *problem
			}
			assert.DeepEqual(t, got, c.want)
			var first *ValidationError
			assert.Assert(t, errors.As(err, &first))
		})
	}
}
