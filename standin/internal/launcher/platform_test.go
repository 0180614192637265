package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
	_ "coltsfootplank/internal/plugins/httpengine"
	_ "coltsfootplank/internal/plugins/httplog"
	_ "coltsfootplank/internal/plugins/httpservice"
	_ "coltsfootplank/internal/plugins/httpvmlist"
	_ "coltsfootplank/internal/plugins/httpweights"
	"coltsfootplank/standin/internal/configurer"
)

const settingsText = `
engines: [{name: e, count: 2, step_ms: 2, checks_fencing: true}]
desks: [{name: d, count: 2, service_ms: 1}]
log: {appends_per_second: 1000, keep_records: 100}
vm_list: {lag_ms: 300}
weights: {loads_per_second: 0.01, burst: 1}
`

// startPlatform starts a small platform.
func startPlatform(t *testing.T) *Platform {
	settings, err := configurer.Parse([]byte(settingsText))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	platform, err := New(ctx, group, zap.NewNop(), settings)
	assert.NilError(t, err)
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, group.Wait())
	})
	return platform
}

// connect returns a client of the given plugin from a registry.
func connect[T any, F ~func(string) (T, func(), error)](
	t *testing.T, registry *kernel.Registry[F], plugin, address string,
) T {
	t.Helper()
	factory, err := registry.Lookup(plugin)
	assert.NilError(t, err)
	client, closeClient, err := factory(address)
	assert.NilError(t, err)
	t.Cleanup(closeClient)
	return client
}

func engineClient(t *testing.T, p *Platform, i int) kernel.EngineProtocol {
	return connect(t, kernel.Engines, "httpengine", p.engines[i].Address())
}

// setFault switches a fault on over the control port and returns the status and body of the response.
func setFault(t *testing.T, p *Platform, target, fault string, value any) (int, string) {
	t.Helper()
	body, err := json.Marshal(map[string]any{"target": target, "fault": fault, "value": value})
	assert.NilError(t, err)
	response, err := http.Post("http://"+p.control.Address()+"/control/faults", "application/json", bytes.NewReader(body))
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(text)
}

func mustSetFault(t *testing.T, p *Platform, target, fault string, value any) {
	t.Helper()
	status, text := setFault(t, p, target, fault, value)
	assert.Equal(t, status, http.StatusNoContent, text)
}

func generateRequest(id string) kernel.GenerateRequest {
	return kernel.GenerateRequest{StreamID: id, Prompt: "p", PromptTokens: 10, MaxTokens: 10}
}

// readStream reads a stream to its end. It returns the indexes of its own tokens, the number of frames of other
// streams and the last error.
func readStream(stream kernel.TokenStream, id string) ([]int, int, error) {
	var indexes []int
	foreign := 0
	for {
		frame, err := stream.Next()
		switch {
		case err != nil:
			return indexes, foreign, errors.Join(err, stream.Close())
		case frame.StreamID != id:
			foreign++
		case !frame.Done:
			indexes = append(indexes, frame.Index)
		}
	}
}

func generate(t *testing.T, client kernel.EngineProtocol, id string) ([]int, int, error) {
	t.Helper()
	stream, err := client.Generate(t.Context(), generateRequest(id))
	if err != nil {
		return nil, 0, err
	}
	return readStream(stream, id)
}

func isErrorType[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}

// TestEngineFaults guards against an engine fault that doesn't have the described effect, and against an adapter that
// reports the effect as the wrong kind of error.
func TestEngineFaults(t *testing.T) {
	cases := []struct {
		fault   string
		value   any
		indexes string
		foreign int
		check   func(error) bool
	}{
		{indexes: "[0 1 2 3 4 5 6 7 8 9]"},
		{fault: "drop_at_token", value: 3, indexes: "[0 1 2]", check: isErrorType[*kernel.ConnectionLostError]},
		{fault: "cut_before_answer", indexes: "[]", check: isErrorType[*kernel.ConnectionLostError]},
		{fault: "cut_before_run", indexes: "[]", check: isErrorType[*kernel.ConnectionLostError]},
		{fault: "reject", value: 503, indexes: "[]", check: isErrorType[*kernel.RejectedError]},
		{fault: "duplicate_frames", indexes: "[0 0 1 1 2 2 3 3 4 4 5 5 6 6 7 7 8 8 9 9]"},
		{fault: "reorder_frames", indexes: "[1 0 3 2 5 4 7 6 9 8]"},
		{fault: "foreign_frames", indexes: "[0 1 2 3 4 5 6 7 8 9]", foreign: 10},
		{fault: "poison", value: "p", indexes: "[]", check: isErrorType[*kernel.ConnectionLostError]},
	}
	for _, c := range cases {
		t.Run(c.fault, func(t *testing.T) {
			p := startPlatform(t)
			if c.fault != "" {
				mustSetFault(t, p, "engines", c.fault, c.value)
			}
			indexes, foreign, err := generate(t, engineClient(t, p, 0), "s")
			assert.Equal(t, fmt.Sprint(indexes), c.indexes)
			assert.Equal(t, foreign, c.foreign)
			if c.check == nil {
				c.check = func(err error) bool { return errors.Is(err, io.EOF) }
			}
			assert.Assert(t, c.check(err), "%v", err)
		})
	}
}

// TestResumeAndCrash guards against a resume that misses tokens or runs the prompt again, and against a crash that
// keeps the streams or the instance id.
func TestResumeAndCrash(t *testing.T) {
	p := startPlatform(t)
	client := engineClient(t, p, 0)
	mustSetFault(t, p, "e-0", "drop_at_token", 3)
	indexes, _, err := generate(t, client, "s")
	assert.Assert(t, isErrorType[*kernel.ConnectionLostError](err), "%v", err)
	stream, err := client.Resume(t.Context(), "s", len(indexes))
	assert.NilError(t, err)
	rest, _, err := readStream(stream, "s")
	assert.ErrorIs(t, err, io.EOF)
	assert.DeepEqual(t, rest, []int{3, 4, 5, 6, 7, 8, 9})
	assert.Equal(t, p.Stats().Totals.Runs, 1)
	_, _, err = generate(t, client, "s")
	assert.Assert(t, isErrorType[*kernel.RejectedError](err), "%v", err)

	before, err := client.Load(t.Context())
	assert.NilError(t, err)
	mustSetFault(t, p, "e-0", "crash", 200)
	_, _, err = generate(t, client, "t")
	assert.Assert(t, isErrorType[*kernel.NotSentError](err), "%v", err)
	time.Sleep(400 * time.Millisecond)
	_, err = client.Resume(t.Context(), "s", 0)
	assert.Assert(t, isErrorType[*kernel.StreamUnknownError](err), "%v", err)
	after, err := client.Load(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, before.Instance != after.Instance)

	_, _, err = generate(t, engineClient(t, p, 1), "s")
	assert.ErrorIs(t, err, io.EOF)
	assert.DeepEqual(t, p.Stats().DuplicateStreamIDs, []string{"s"})
}

// TestEngineRoutes guards against an adapter and an engine that implement orders, KV transfer or cancellation
// differently.
func TestEngineRoutes(t *testing.T) {
	p := startPlatform(t)
	first, second := engineClient(t, p, 0), engineClient(t, p, 1)
	order := kernel.Order{Fencing: 5, Orderer: "r", Kind: kernel.OrderSetRole, Role: "prefill"}
	assert.NilError(t, first.Order(t.Context(), order))
	order.Fencing = 4
	assert.Assert(t, isErrorType[*kernel.StaleFencingError](first.Order(t.Context(), order)))

	request := generateRequest("a")
	request.PrefixHashes = []uint64{1 << 63}
	stream, err := first.Generate(t.Context(), request)
	assert.NilError(t, err)
	_, _, err = readStream(stream, "a")
	assert.ErrorIs(t, err, io.EOF)
	data, err := first.ExportKV(t.Context(), 1<<63)
	assert.NilError(t, err)
	assert.NilError(t, second.ImportKV(t.Context(), 1<<63, data))
	_, err = second.ExportKV(t.Context(), 1<<63)
	assert.NilError(t, err)
	events, err := second.CacheEvents(t.Context(), 0)
	assert.NilError(t, err)
	assert.Equal(t, len(events.Events), 1)

	long := generateRequest("long")
	long.MaxTokens = 10_000
	stream, err = first.Generate(t.Context(), long)
	assert.NilError(t, err)
	assert.NilError(t, first.Cancel(t.Context(), "long"))
	_, _, err = readStream(stream, "long")
	assert.Assert(t, isErrorType[*kernel.ConnectionLostError](err), "%v", err)
	assert.NilError(t, first.Cancel(t.Context(), "long"))
}
