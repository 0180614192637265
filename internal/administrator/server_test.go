package administrator

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/dumper"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/protocol/protocolconnect"
)

// fakeCatalogue answers Apply with a fixed error, or accepts the edit.
type fakeCatalogue struct {
	failure  error
	invalid  error
	applied  int
	gotLimit int
}

func (f *fakeCatalogue) Current() (Snapshot, error) {
	return Snapshot{Revision: 7, Offset: 70, YAML: []byte("revision: 7\n")}, nil
}
func (f *fakeCatalogue) Validate([]byte) error { return f.invalid }
func (f *fakeCatalogue) Apply(_ context.Context, base uint64, _ string, _ []byte) (uint64, int64, error) {
	if f.failure != nil {
		return 0, 0, f.failure
	}
	f.applied++
	return base + 1, 71, nil
}
func (f *fakeCatalogue) History(limit int) []HistoryRow {
	f.gotLimit = limit
	return []HistoryRow{{Revision: 7, Offset: 70, Editor: "ana", Accepted: true, Applied: time.UnixMilli(1234)}}
}

type fakeDrainer struct{ calls int }

func (f *fakeDrainer) Drain() error {
	f.calls++
	return nil
}

func serve(t *testing.T, catalogue Catalogue, drainer Drainer) (protocolconnect.AdminServiceClient, string) {
	t.Helper()
	state := dumper.New("r1")
	_, err := state.Register("queue", func() any { return 3 })
	assert.NilError(t, err)
	server := httptest.NewServer(Routes(New(catalogue, state, drainer), state, metrics.NewRegistry()))
	t.Cleanup(server.Close)
	return protocolconnect.NewAdminServiceClient(server.Client(), server.URL), server.URL
}

// TestApplyCodes guards against an error that promises "no effect" when the edit may have taken effect.
func TestApplyCodes(t *testing.T) {
	cases := []struct {
		name    string
		failure error
		want    connect.Code
	}{
		{"conflict", &ConflictError{Base: 6, Current: 7}, connect.CodeAborted},
		{"invalid", &ValidationError{Problems: []string{"no pool"}}, connect.CodeInvalidArgument},
		{"log down", &kernel.LogUnavailableError{Operation: "append"}, connect.CodeUnavailable},
		{"over the rate", &kernel.RateLimitedError{Operation: "append"}, connect.CodeUnavailable},
		{"append answer lost", &kernel.AppendUnknownError{Stream: "catalogue"}, connect.CodeUnknown},
		{"unknown over unavailable", &OutcomeUnknownError{Cause: &kernel.LogUnavailableError{}}, connect.CodeUnknown},
		{"deadline", context.DeadlineExceeded, connect.CodeUnknown},
		{"other", io.ErrUnexpectedEOF, connect.CodeInternal},
	}
	for _, c := range cases {
		client, _ := serve(t, &fakeCatalogue{failure: c.failure}, &fakeDrainer{})
		_, err := client.ApplyCatalogue(t.Context(), &protocol.ApplyCatalogueRequest{BaseRevision: 6, Editor: "ana"})
		assert.Equal(t, connect.CodeOf(err), c.want, "%s: %v", c.name, err)
	}
}

// TestApply guards against edits that are applied although they are invalid, only to be checked, or anonymous.
func TestApply(t *testing.T) {
	invalid := &ValidationError{Problems: []string{"no pool"}}
	cases := []struct {
		name    string
		request *protocol.ApplyCatalogueRequest
		invalid error
		applied int
		failed  bool
	}{
		{"accepted", &protocol.ApplyCatalogueRequest{BaseRevision: 7, Editor: "ana"}, nil, 1, false},
		{"check only", &protocol.ApplyCatalogueRequest{BaseRevision: 7, Editor: "ana", ValidateOnly: true}, nil, 0, false},
		{"invalid", &protocol.ApplyCatalogueRequest{BaseRevision: 7, Editor: "ana"}, invalid, 0, true},
		{"anonymous", &protocol.ApplyCatalogueRequest{BaseRevision: 7}, nil, 0, true},
	}
	for _, c := range cases {
		catalogue := &fakeCatalogue{invalid: c.invalid}
		client, _ := serve(t, catalogue, &fakeDrainer{})
		answer, err := client.ApplyCatalogue(t.Context(), c.request)
		assert.Equal(t, err != nil, c.failed, c.name)
		assert.Equal(t, catalogue.applied, c.applied, c.name)
		if c.applied > 0 {
			assert.Equal(t, answer.Revision, uint64(8))
			assert.Equal(t, answer.Offset, int64(71))
		}
	}
}

// TestReads guards against lost fields between the catalogue or the dump and the answer, and against a
// history request that asks for no rows or for all of them.
func TestReads(t *testing.T) {
	catalogue, drainer := &fakeCatalogue{}, &fakeDrainer{}
	client, address := serve(t, catalogue, drainer)
	current, err := client.GetCatalogue(t.Context(), &protocol.GetCatalogueRequest{})
	assert.NilError(t, err)
	assert.Equal(t, current.Revision, uint64(7))
	assert.Equal(t, current.Yaml, "revision: 7\n")

	for asked, want := range map[uint32]int{0: defaultHistoryRows, 5: 5, 1 << 31: maxHistoryRows} {
		history, err := client.History(t.Context(), &protocol.HistoryRequest{Limit: asked})
		assert.NilError(t, err)
		assert.Equal(t, catalogue.gotLimit, want)
		assert.Equal(t, history.Entries[0].AppliedUnixMs, int64(1234))
	}

	state, err := client.Dump(t.Context(), &protocol.DumpRequest{Section: "queue"})
	assert.NilError(t, err)
	assert.Assert(t, len(state.Json) > 0)
	_, err = client.Dump(t.Context(), &protocol.DumpRequest{Section: "none"})
	assert.Equal(t, connect.CodeOf(err), connect.CodeNotFound)

	_, err = client.Drain(t.Context(), &protocol.DrainRequest{})
	assert.NilError(t, err)
	assert.Equal(t, drainer.calls, 1)

	for _, path := range []string{"/debug/state?section=queue", "/debug/metrics"} {
		answer, err := http.Get(address + path)
		assert.NilError(t, err)
		assert.NilError(t, answer.Body.Close())
		assert.Equal(t, answer.StatusCode, http.StatusOK, path)
	}
}
