package receiver

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/holder"
	"coltsfootplank/internal/kernel"
)

const catalogueText = `
workspaces:
- {name: forge, weight: 1, key_hashes: [8174099687a26621f4e2cdd7cc03b3dacedb3fb962255b1aafd033cabe831530]}
- {name: rival, weight: 1, key_hashes: [b10253764c8b233fb37542e23401c7b450e5a6f9751f3b5a014f6f67e8bc999d]}
pools:
- name: models
  protocol: httpengine
  upstreams: [{name: e1, address: "127.0.0.1:1", data_centre: dc, slots: 4}]
- name: desk
  protocol: httpservice
  upstreams: [{name: d1, address: "127.0.0.1:2", data_centre: dc, slots: 4}]
works:
- {name: brief, owner: o, class: stream, tier: 1, pool: models, model: drafter, idempotent: true, deadline: 30s,
   expected_output_tokens: 7, limits: {max_output_tokens: 100}}
- {name: private, owner: o, class: stream, tier: 1, pool: models, model: private, idempotent: true, workspaces: [rival]}
- {name: booking, owner: o, class: unary, tier: 0, pool: desk, method: POST, path: /v1/bookings, idempotent: false}
`

type fakeCatalogue struct{ catalogue *cataloguer.Catalogue }

func (s fakeCatalogue) Current() *cataloguer.Catalogue { return s.catalogue }

// fakeServer records the request and answers it with a function.
type fakeServer struct {
	request *holder.Request
	answer  func(*holder.Request) *holder.Refusal
}

func (f *fakeServer) Serve(_ context.Context, request *holder.Request) *holder.Refusal {
	f.request = request
	return f.answer(request)
}

func (f *fakeServer) Draining() bool { return false }

// newTestReceiver returns a receiver that hands the requests to a server.
func newTestReceiver(t *testing.T, server *fakeServer) *Receiver {
	t.Helper()
	catalogue, err := cataloguer.Parse([]byte(catalogueText))
	assert.NilError(t, err)
	settings := Settings{MaxBodyBytes: 1024, Ready: func() bool { return true }}
	return New(settings, fakeCatalogue{catalogue.Index()}, server, zap.NewNop())
}

// exchange sends one request to the API and returns the response and its body.
func exchange(t *testing.T, server *fakeServer, method, path, body string, headers map[string]string) (*httptest.ResponseRecorder, string) {
	t.Helper()
	api := newTestReceiver(t, server)
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set(headerAuthorization, "Bearer key1")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	recorded := httptest.NewRecorder()
	api.Handler().ServeHTTP(recorded, request)
	return recorded, recorded.Body.String()
}

const chatBody = `{"model":"drafter","stream":true,"messages":[{"role":"user","content":"a vane"}]}`

// TestRefusedBeforeServing guards against invalid requests reaching the scheduler, and against a workspace finding out
// which catalogue entries another workspace has.
func TestRefusedBeforeServing(t *testing.T) {
	cases := []struct {
		name, method, path, body string
		headers                  map[string]string
		status                   int
		code                     holder.Code
	}{
		{"wrong key", "POST", "/v1/chat/completions", chatBody, map[string]string{headerAuthorization: "Bearer x"}, 401, holder.CodeUnauthorized},
		{"no key", "POST", "/v1/chat/completions", chatBody, map[string]string{headerAuthorization: ""}, 401, holder.CodeUnauthorized},
		{"broken JSON", "POST", "/v1/chat/completions", `{"model":`, nil, 400, holder.CodeInvalidRequest},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"drafter"}`, nil, 400, holder.CodeInvalidRequest},
		{
			"negative length", "POST", "/v1/chat/completions",
			`{"model":"drafter","max_tokens":-1,"messages":[{"content":"a"}]}`, nil, 400, holder.CodeInvalidRequest,
		},
		{
			"unknown model", "POST", "/v1/chat/completions", strings.Replace(chatBody, "drafter", "other", 1), nil, 404,
			holder.CodeUnknownEntry,
		},
		{
			"another workspace's entry", "POST", "/v1/chat/completions", strings.Replace(chatBody, "drafter", "private", 1),
			nil, 404, holder.CodeUnknownEntry,
		},
		{"unknown path", "GET", "/v1/none", "", nil, 404, holder.CodeUnknownEntry},
		{"wrong method", "GET", "/v1/bookings", "", nil, 404, holder.CodeUnknownEntry},
		{"booking without a key", "POST", "/v1/bookings", "{}", nil, 400, holder.CodeInvalidRequest},
		{"bad deadline", "POST", "/v1/chat/completions", chatBody, map[string]string{headerDeadline: "-5"}, 400, holder.CodeInvalidRequest},
		{"body too large", "POST", "/v1/bookings", strings.Repeat("x", 2000), map[string]string{headerKey: "k"}, 400, holder.CodeInvalidRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := &fakeServer{answer: func(*holder.Request) *holder.Refusal { return nil }}
			response, text := exchange(t, server, c.method, c.path, c.body, c.headers)
			assert.Equal(t, response.Code, c.status, "%s", text)
			var body refusalBody
			assert.NilError(t, json.Unmarshal([]byte(text), &body))
			assert.Equal(t, body.Error.Code, c.code)
			assert.Equal(t, body.Error.Outcome, holder.OutcomeNotRun)
			assert.Assert(t, server.request == nil)
		})
	}
}

// TestRequest guards against losing the deadline, token limit or workspace of a request on its way to the scheduler.
func TestRequest(t *testing.T) {
	server := &fakeServer{answer: func(request *holder.Request) *holder.Refusal {
		assert.NilError(t, request.Answer.Token(kernel.Frame{Index: 0, Token: "a"}))
		assert.NilError(t, request.Answer.Finish(1))
		return nil
	}}
	response, text := exchange(t, server, "POST", "/v1/chat/completions", chatBody, map[string]string{headerDeadline: "1500"})
	request := server.request
	assert.Equal(t, request.Workspace, "forge")
	assert.Equal(t, request.MaxTokens, 7)
	assert.Equal(t, request.Deadline.Sub(request.Arrived), 1500*time.Millisecond)
	assert.Equal(t, response.Header().Get(headerRequestID), request.ID)
	assert.Assert(t, strings.HasSuffix(text, "data: [DONE]\n\n"), "%s", text)
	_, _ = exchange(t, server, "POST", "/v1/chat/completions", chatBody, nil)
	assert.Equal(t, server.request.Deadline.Sub(server.request.Arrived), 30*time.Second)
}

// TestTruncatedStream guards against a truncated stream that looks complete to the caller.
func TestTruncatedStream(t *testing.T) {
	server := &fakeServer{answer: func(request *holder.Request) *holder.Refusal {
		assert.NilError(t, request.Answer.Token(kernel.Frame{Index: 0, Token: "a"}))
		return &holder.Refusal{Outcome: holder.OutcomeUnknown, Code: holder.CodeStreamTruncated, Message: "cut"}
	}}
	_, text := exchange(t, server, "POST", "/v1/chat/completions", chatBody, nil)
	assert.Assert(t, !strings.Contains(text, doneMarker), "%s", text)
	assert.Assert(t, strings.Contains(text, "event: error"), "%s", text)
	assert.Assert(t, strings.Contains(text, `"outcome":"unknown"`), "%s", text)
}

// TestRetryAfter guards against a refusal that lets callers retry at once, such as by a Retry-After rounded down.
func TestRetryAfter(t *testing.T) {
	server := &fakeServer{answer: func(*holder.Request) *holder.Refusal {
		return &holder.Refusal{Outcome: holder.OutcomeNotRun, Code: holder.CodeOverloaded, RetryAfter: 1200 * time.Millisecond}
	}}
	response, text := exchange(t, server, "POST", "/v1/chat/completions", chatBody, nil)
	assert.Equal(t, response.Code, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header().Get(headerRetryAfter), "2")
	assert.Assert(t, strings.Contains(text, `"retry_after_ms":1200`), "%s", text)
}

// TestPrefixHashes guards against two workspaces sharing prefix hashes, and against hashes that depend on the text
// after the prefix.
func TestPrefixHashes(t *testing.T) {
	shared := strings.Repeat("p", 2*prefixBlockBytes)
	first := prefixHashes("forge", shared+strings.Repeat("a", prefixBlockBytes))
	second := prefixHashes("forge", shared+strings.Repeat("b", prefixBlockBytes))
	other := prefixHashes("rival", shared)
	assert.Equal(t, len(first), 3)
	assert.DeepEqual(t, first[:2], second[:2])
	assert.Assert(t, first[2] != second[2])
	assert.Assert(t, other[0] != first[0])
	assert.Equal(t, len(prefixHashes("forge", strings.Repeat("p", 100*prefixBlockBytes))), maxPrefixBlocks)
}
