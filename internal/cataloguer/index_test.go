package cataloguer

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func parseSample(t testing.TB) *Catalogue {
	t.Helper()
	c, err := Parse([]byte(sampleYAML))
	assert.NilError(t, err)
	return c
}

// TestLookups guards against matching a request to the wrong work or workspace.
func TestLookups(t *testing.T) {
	c := parseSample(t)
	paths := []struct{ method, path, want string }{
		{"POST", "/orders/deposit", "deposit"},
		{"GET", "/orders/17", "order"},
		{"GET", "/orders/17/lots/3", "order"},
		{"GET", "/orders/deposit", "order"},
		{"GET", "/orders", ""},
		{"POST", "/orders/17", ""},
		{"GET", "", ""},
	}
	for _, p := range paths {
		work, ok := c.WorkByPath(p.method, p.path)
		assert.Equal(t, ok, p.want != "", "%s %s", p.method, p.path)
		if ok {
			assert.Equal(t, work.Name, p.want)
		}
	}
	keys := []struct{ bearer, want string }{
		{"password", "caruaru"},
		{"password ", ""},
		{"", ""},
		{strings.Repeat("x", maxKeyBytes+1), ""},
	}
	for _, k := range keys {
		workspace, ok := c.WorkspaceByKey(k.bearer)
		assert.Equal(t, ok, k.want != "", "key %q", k.bearer)
		if ok {
			assert.Equal(t, workspace.Name, k.want)
		}
	}
	brief, ok := c.WorkByModel("brief-8b")
	assert.Assert(t, ok)
	assert.Equal(t, brief.Name, "brief")
	deposit, _ := c.Work("deposit")
	assert.Assert(t, deposit.KeyRequired() && !brief.KeyRequired())
}

// TestLookupAllocations guards against heap allocations on the request path.
func TestLookupAllocations(t *testing.T) {
	c := parseSample(t)
	bearer := strings.Repeat("k", 200)
	allocations := testing.AllocsPerRun(100, func() {
		c.WorkByModel("brief-8b")
		c.WorkByPath("GET", "/orders/17/lots/3")
		c.WorkspaceByKey(bearer)
		c.Pool("drafts")
	})
	assert.Equal(t, allocations, 0.0)
}

// TestMarshalRoundTrip guards against fields that get lost when an operator reads, edits and applies a catalogue.
func TestMarshalRoundTrip(t *testing.T) {
	c := parseSample(t)
	data, err := c.Marshal()
	assert.NilError(t, err)
	again, err := Parse(data)
	assert.NilError(t, err)
	assert.Assert(t, Diff(c, again).Empty() && Diff(again, c).Empty(), "%s", data)
}
