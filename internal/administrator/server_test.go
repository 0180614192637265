package administrator

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/dumper"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/protocol/protocolconnect"
)

var _ Catalogue = (*cataloguer.Cataloguer)(nil)

// fakeCatalogue answers Apply with a fixed error, or accepts the edit.
type fakeCatalogue struct {
	failure  error
	applied  int
	gotLimit int
}

func (f *fakeCatalogue) Current() *cataloguer.Catalogue {
	return &cataloguer.Catalogue{Revision: 7, Offset: 70, Workspaces: []cataloguer.Workspace{{Name: "forge", Weight: 2}}}
}
func (f *fakeCatalogue) Apply(_ context.Context, base uint64, _ string, _ []byte) (uint64, int64, error) {
	if f.failure != nil {
		return 0, 0, f.failure
	}
	f.applied++
	return base + 1, 71, nil
}
func (f *fakeCatalogue) History(limit int) []cataloguer.HistoryEntry {
	f.gotLimit = limit
	return []cataloguer.HistoryEntry{{Revision: 7, Offset: 70, Editor: "ana", Accepted: true, AppliedUnixMS: 1234}}
}

type fakeDrainer struct{ calls int }

func (f *fakeDrainer) Drain() error {
	f.calls++
	return nil
}

// startTestServer starts the administration API of a router and returns a client and the URL.
func startTestServer(t *testing.T, catalogue Catalogue, drainer Drainer) (protocolconnect.AdminServiceClient, string) {
	t.Helper()
	state := dumper.New("r1")
	_, err := state.Register("queue", func() any { return 3 })
	assert.NilError(t, err)
	server := httptest.NewServer(Routes(New(catalogue, state, drainer), state, metrics.NewRegistry()))
	t.Cleanup(server.Close)
	return protocolconnect.NewAdminServiceClient(server.Client(), server.URL), server.URL
}

// TestApplyCodes guards against a code that tells the client that nothing was changed when the edit may have taken
// effect.
func TestApplyCodes(t *testing.T) {
	cases := []struct {
		name    string
		failure error
		want    connect.Code
	}{
		{"conflict", &cataloguer.ConflictError{Base: 6, Current: 7}, connect.CodeAborted},
		{"invalid", cataloguer.ValidationErrors{{Reason: "no pool"}}, connect.CodeInvalidArgument},
		{"log down", &kernel.LogUnavailableError{Operation: "append"}, connect.CodeUnavailable},
		{"over the rate", &kernel.RateLimitedError{Operation: "append"}, connect.CodeUnavailable},
		{"append answer lost", &kernel.AppendOutcomeUnknownError{Stream: "catalogue"}, connect.CodeUnknown},
		{"unknown over unavailable", &cataloguer.OutcomeUnknownError{Cause: &kernel.LogUnavailableError{}}, connect.CodeUnknown},
		{"deadline", context.DeadlineExceeded, connect.CodeUnknown},
		{"other", io.ErrUnexpectedEOF, connect.CodeInternal},
	}
	for _, c := range cases {
		client, _ := startTestServer(t, &fakeCatalogue{failure: c.failure}, &fakeDrainer{})
		_, err := client.ApplyCatalogue(t.Context(), &protocol.ApplyCatalogueRequest{BaseRevision: 6, Editor: "ana"})
		assert.Equal(t, connect.CodeOf(err), c.want, "%s: %v", c.name, err)
	}
}

// TestApply guards against applying edits that should only be checked, or that name no editor.
func TestApply(t *testing.T) {
	cases := []struct {
		name    string
		request *protocol.ApplyCatalogueRequest
		applied int
		failed  bool
	}{
		{"accepted", &protocol.ApplyCatalogueRequest{BaseRevision: 7, Editor: "ana"}, 1, false},
		{"check only", &protocol.ApplyCatalogueRequest{BaseRevision: 7, Editor: "ana", ValidateOnly: true}, 0, false},
		{"check invalid", &protocol.ApplyCatalogueRequest{Editor: "ana", ValidateOnly: true, Yaml: "wroks: []"}, 0, true},
		{"anonymous", &protocol.ApplyCatalogueRequest{BaseRevision: 7}, 0, true},
	}
	for _, c := range cases {
		catalogue := &fakeCatalogue{}
		client, _ := startTestServer(t, catalogue, &fakeDrainer{})
		answer, err := client.ApplyCatalogue(t.Context(), c.request)
		assert.Equal(t, err != nil, c.failed, c.name)
		assert.Equal(t, catalogue.applied, c.applied, c.name)
		if c.failed {
			assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument, c.name)
		}
		if c.applied > 0 {
			assert.Equal(t, answer.Revision, uint64(8))
			assert.Equal(t, answer.Offset, int64(71))
		}
	}
}

// TestReads guards against fields of the catalogue or of the dump that are missing from the answer, and against a
// history request without a limit, or with a huge one, that returns no rows or all of them.
func TestReads(t *testing.T) {
	catalogue, drainer := &fakeCatalogue{}, &fakeDrainer{}
	client, address := startTestServer(t, catalogue, drainer)
	current, err := client.GetCatalogue(t.Context(), &protocol.GetCatalogueRequest{})
	assert.NilError(t, err)
	assert.Equal(t, current.Revision, uint64(7))
	assert.Equal(t, current.Offset, int64(70))
	decoded, err := cataloguer.Parse([]byte(current.Yaml))
	assert.NilError(t, err)
	assert.Equal(t, decoded.Workspaces[0].Name, "forge")

	for requestedLimit, want := range map[uint32]int{0: defaultHistoryRows, 5: 5, 1 << 31: maxHistoryRows} {
		history, err := client.History(t.Context(), &protocol.HistoryRequest{Limit: requestedLimit})
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
