package statreader

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRead guards against counters that are missed, counted twice, or demanded where there are none.
func TestRead(t *testing.T) {
	cases := []struct {
		name, body string
		want       *Prefill
	}{
		{"at the top", `{"prefill_tokens":10,"wasted_prefill_tokens":2,"recomputed_prefill_tokens":3,"engines":{"e1":{"prefill_tokens":10}}}`,
			&Prefill{Tokens: 20, Wasted: 4, Recomputed: 6}},
		{"by engine", `{"engines":[{"prefill_tokens":4,"wasted_prefill_tokens":1},{"prefill_tokens":6}]}`,
			&Prefill{Tokens: 20, Wasted: 2}},
		{"none", `{"appends":3}`, nil},
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

// TestSince guards against counters of an earlier run in the report.
func TestSince(t *testing.T) {
	got := (&Prefill{Tokens: 30, Wasted: 5, Recomputed: 9}).Since(&Prefill{Tokens: 10, Wasted: 1, Recomputed: 2})
	assert.DeepEqual(t, got, &Prefill{Tokens: 20, Wasted: 4, Recomputed: 7})
	assert.Assert(t, (*Prefill)(nil).Since(got) == nil)
	assert.Equal(t, got.Percent(got.Wasted), 20.0)
}
