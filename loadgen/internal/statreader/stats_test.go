package statreader

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRead guards against counters that are skipped or counted twice, and against an error for a stand-in without them.
func TestRead(t *testing.T) {
	cases := []struct {
		name, body string
		want       Stats
	}{
		{"all", `{"totals":{"prefill_computed":10,"prefill_wasted":2,"prefill_recomputed":3,"prefill_cached":4},
			"engines":{"e1":{"prefill_computed":10}}, "duplicate_streams":1,
			"desks":{"duplicate_request_ids":["a"],"duplicate_bodies":["a","b"]}}`,
			Stats{Prefill: &Prefill{Computed: 20, Wasted: 4, Recomputed: 6, Cached: 8}, Duplicates: 6}},
		{"none", `{"log":{"appends":3}}`, Stats{}},
	}
	for _, c := range cases {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/control/stats" {
				_, _ = fmt.Fprint(w, c.body)
			}
		}))
		address := server.Listener.Addr().String()
		got, err := Read(t.Context(), []string{address, address})
		server.Close()
		assert.NilError(t, err, c.name)
		assert.DeepEqual(t, got, c.want)
		_, err = Read(t.Context(), []string{address})
		assert.ErrorType(t, err, &StatsError{})
	}
}

// TestSince guards against reporting counts of an earlier run.
func TestSince(t *testing.T) {
	later := Stats{Prefill: &Prefill{Computed: 30, Wasted: 5, Recomputed: 9, Cached: 4}, Duplicates: 3}
	got := later.Since(Stats{Prefill: &Prefill{Computed: 10, Wasted: 1, Recomputed: 2, Cached: 1}, Duplicates: 2})
	assert.DeepEqual(t, got, Stats{Prefill: &Prefill{Computed: 20, Wasted: 4, Recomputed: 7, Cached: 3}, Duplicates: 1})
	assert.Assert(t, later.Since(Stats{}).Prefill == nil)
	assert.Equal(t, got.Prefill.Percent(got.Prefill.Wasted), 20.0)
}
