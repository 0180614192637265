package dumper

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

func newTestDumper(t *testing.T) *Dumper {
	t.Helper()
	d := New("r1")
	for name, value := range map[string]any{"members": []string{"r1", "r2"}, "queue": map[string]int{"draft": 3}, "broken": math.NaN()} {
		_, err := d.Register(name, func() any { return value })
		assert.NilError(t, err)
	}
	return d
}

// TestDump guards against a section that can't be encoded hiding the others, and against wrong selection.
func TestDump(t *testing.T) {
	text, err := newTestDumper(t).Dump("")
	assert.NilError(t, err)
	var got dump
	assert.NilError(t, json.Unmarshal(text, &got))
	assert.Equal(t, got.Process, "r1")
	assert.Assert(t, time.Since(got.Time) < time.Minute)
	assert.Equal(t, string(got.Sections["members"]), `["r1","r2"]`)
	assert.Equal(t, len(got.Sections), 2)
	assert.Equal(t, len(got.Failures), 1)

	text, err = newTestDumper(t).Dump("queue")
	assert.NilError(t, err)
	got = dump{}
	assert.NilError(t, json.Unmarshal(text, &got))
	assert.Equal(t, len(got.Sections), 1)
	assert.Equal(t, string(got.Sections["queue"]), `{"draft":3}`)
}

// TestRegister guards against one section replacing another, and against a section that remains after its removal.
func TestRegister(t *testing.T) {
	d := New("r1")
	remove, err := d.Register("queue", func() any { return 1 })
	assert.NilError(t, err)
	_, err = d.Register("queue", func() any { return 2 })
	var duplicate *DuplicateError
	assert.Assert(t, errors.As(err, &duplicate))
	remove()
	_, err = d.Dump("queue")
	var unknown *UnknownSectionError
	assert.Assert(t, errors.As(err, &unknown))
	assert.Equal(t, len(d.Names()), 0)
}

// TestHandlers guards against wrong status codes, and against metrics that are missing from the JSON text.
func TestHandlers(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests", registry).Inc(7)
	state := newTestDumper(t).StateHandler()
	cases := []struct {
		handler http.Handler
		target  string
		status  int
		want    string
	}{
		{state, "/debug/state?section=members", http.StatusOK, `"members":["r1","r2"]`},
		{state, "/debug/state?section=none", http.StatusNotFound, "unknown state section"},
		{MetricsHandler(registry), "/debug/metrics", http.StatusOK, `"requests":{"count":7}`},
	}
	for _, c := range cases {
		answer := httptest.NewRecorder()
		c.handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, c.target, nil))
		assert.Equal(t, answer.Code, c.status)
		assert.Assert(t, strings.Contains(answer.Body.String(), c.want), answer.Body.String())
	}
}
