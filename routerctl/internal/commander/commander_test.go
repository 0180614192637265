package commander

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/protocol/protocolconnect"
)

const currentYAML = `revision: 7
workspaces:
- {name: forge, weight: 2}
works:
- {name: brief, class: stream, tier: 1, pool: drafts, idempotent: true, deadline: 90s}
`

// fakeAdmin answers as a router would. If failure is set, every call fails; delay delays the answers to ApplyCatalogue.
type fakeAdmin struct {
	protocolconnect.UnimplementedAdminServiceHandler
	failure error
	delay   time.Duration
	got     *protocol.ApplyCatalogueRequest
}

func (f *fakeAdmin) GetCatalogue(context.Context, *protocol.GetCatalogueRequest) (*protocol.GetCatalogueResponse, error) {
	return &protocol.GetCatalogueResponse{Revision: 7, Yaml: currentYAML}, f.failure
}

func (f *fakeAdmin) ApplyCatalogue(ctx context.Context, request *protocol.ApplyCatalogueRequest) (*protocol.ApplyCatalogueResponse, error) {
	f.got = request
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(f.delay):
	}
	return &protocol.ApplyCatalogueResponse{Revision: 8, Offset: 71}, f.failure
}

func (f *fakeAdmin) History(context.Context, *protocol.HistoryRequest) (*protocol.HistoryResponse, error) {
	return &protocol.HistoryResponse{Entries: []*protocol.HistoryEntry{
		{Revision: 7, Offset: 70, Editor: "ana", Accepted: true, AppliedUnixMs: 1000}}}, f.failure
}

func (f *fakeAdmin) Dump(context.Context, *protocol.DumpRequest) (*protocol.DumpResponse, error) {
	return &protocol.DumpResponse{Json: `{"process":"r1","sections":{"queue":{"brief":3}}}`}, f.failure
}

func (f *fakeAdmin) Drain(context.Context, *protocol.DrainRequest) (*protocol.DrainResponse, error) {
	return &protocol.DrainResponse{}, f.failure
}

type result struct {
	code     int
	out, err string
}

// run starts a router's administration API and runs one command line against it.
func run(t *testing.T, admin *fakeAdmin, arguments ...string) result {
	t.Helper()
	_, handler := protocolconnect.NewAdminServiceHandler(admin)
	server := httptest.NewServer(handler)
	defer server.Close()
	return runAt(t, server.Listener.Addr().String(), arguments...)
}

func runAt(t *testing.T, address string, arguments ...string) result {
	t.Helper()
	var out, err bytes.Buffer
	code := Run(t.Context(), append([]string{"--admin", address}, arguments...),
		Streams{In: strings.NewReader(currentYAML), Out: &out, Err: &err})
	return result{code: code, out: out.String(), err: err.String()}
}

// TestCommands guards against commands that don't print what the router answered.
func TestCommands(t *testing.T) {
	settingsFile := filepath.Join(t.TempDir(), "r1.yaml")
	assert.NilError(t, os.WriteFile(settingsFile, []byte("name: r1\ndata_centre: d1\ncallers: {listen: 127.0.0.1:1}\n"+
		"peers: {listen: 127.0.0.1:2}\nadmin: {listen: 127.0.0.1:3}\nplatform: {log: {address: 127.0.0.1:4}}\n"), 0o600))
	cases := []struct{ line, want string }{
		{"catalogue get", "deadline: 90s"},
		{"catalogue get -o json", `"deadline": "1m30s"`},
		{"catalogue apply - --base 7", "revision: 8\noffset: 71\n"},
		{"catalogue apply - --base 7 -o json", "{\n  \"offset\": 71,\n  \"revision\": 8\n}\n"},
		{"catalogue apply - --base 7 --check-only", "valid: true"},
		{"catalogue diff -", "[]\n"},
		{"catalogue history", "applied: \"1970-01-01T00:00:01Z\""},
		{"state queue", "brief: 3"},
		{"state -o json", `"brief": 3`},
		{"drain", "draining: true"},
		{"settings check " + settingsFile, "probe_interval: 1s"},
		{"settings reference -o json", `"field": "claims.window"`},
		{"--help", "outcome unknown"},
	}
	for _, c := range cases {
		got := run(t, &fakeAdmin{}, strings.Fields(c.line)...)
		assert.Equal(t, got.code, exitSuccess, "%s: %s", c.line, got.err)
		assert.Assert(t, strings.Contains(got.out, c.want), "%s: %s", c.line, got.out)
		assert.Equal(t, got.err, "")
	}
}

// TestApplyRequest guards against a request with another base revision, editor or text than the operator gave.
func TestApplyRequest(t *testing.T) {
	admin := &fakeAdmin{}
	run(t, admin, "catalogue", "apply", "-", "--base", "41", "--editor", "ana")
	assert.Equal(t, admin.got.BaseRevision, uint64(41))
	assert.Equal(t, admin.got.Editor, "ana")
	assert.Equal(t, admin.got.Yaml, currentYAML)
	assert.Equal(t, admin.got.ValidateOnly, false)
}

// TestExitCodes guards against an exit code that states an outcome although it is unknown, and against errors of more
// than one line.
func TestExitCodes(t *testing.T) {
	invalidFile := filepath.Join(t.TempDir(), "bad.yaml")
	assert.NilError(t, os.WriteFile(invalidFile, []byte("nme: r1\nworks: 3\n"), 0o600))
	rpcError := func(code connect.Code) error { return connect.NewError(code, &NoCertificateError{}) }
	apply := "catalogue apply - --base 7"
	cases := []struct {
		name, line string
		admin      fakeAdmin
		want       int
	}{
		{"no command", "", fakeAdmin{}, exitUsage},
		{"no base", "catalogue apply -", fakeAdmin{}, exitUsage},
		{"bad output", "state -o xml", fakeAdmin{}, exitUsage},
		{"missing file", "catalogue diff " + invalidFile + ".none", fakeAdmin{}, exitFailure},
		{"missing settings", "settings check " + invalidFile + ".none", fakeAdmin{}, exitFailure},
		{"bad settings", "settings check " + invalidFile, fakeAdmin{}, exitValidation},
		{"bad catalogue", "catalogue diff " + invalidFile, fakeAdmin{}, exitValidation},
		{"unknown section", "state none", fakeAdmin{failure: rpcError(connect.CodeNotFound)}, exitFailure},
		{"conflict", apply, fakeAdmin{failure: rpcError(connect.CodeAborted)}, exitConflict},
		{"refused as invalid", apply, fakeAdmin{failure: rpcError(connect.CodeInvalidArgument)}, exitValidation},
		{"log down", apply, fakeAdmin{failure: rpcError(connect.CodeUnavailable)}, exitUnavailable},
		{"append unknown", apply, fakeAdmin{failure: rpcError(connect.CodeUnknown)}, exitUnknown},
		{"router fault", apply, fakeAdmin{failure: rpcError(connect.CodeInternal)}, exitUnknown},
		{"late answer", apply + " --timeout 50ms", fakeAdmin{delay: time.Minute}, exitUnknown},
		{"late check", apply + " --timeout 50ms --check-only", fakeAdmin{delay: time.Minute}, exitUnavailable},
		{"drain fault", "drain", fakeAdmin{failure: rpcError(connect.CodeInternal)}, exitUnknown},
		{"read fault", "catalogue history", fakeAdmin{failure: rpcError(connect.CodeUnknown)}, exitFailure},
	}
	for _, c := range cases {
		got := run(t, &c.admin, strings.Fields(c.line)...)
		assert.Equal(t, got.code, c.want, "%s: %s", c.name, got.err)
		assert.Equal(t, strings.Count(got.err, "\n"), 1, "%s: %s", c.name, got.err)
		assert.Equal(t, got.out, "", c.name)
	}
}

// TestUnreachable guards against reporting an unknown outcome when no connection to the router could be established.
func TestUnreachable(t *testing.T) {
	server := httptest.NewServer(nil)
	address := server.Listener.Addr().String()
	server.Close()
	for _, line := range []string{"catalogue get", "catalogue apply - --base 7", "drain", "state"} {
		assert.Equal(t, runAt(t, address, strings.Fields(line)...).code, exitUnavailable, line)
	}
}
