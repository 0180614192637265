package sender

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"coltsfootplank/loadgen/internal/planner"
)

func tokenEvent(id string, index int) string {
	return fmt.Sprintf("data: {\"id\":%q,\"index\":%d,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d\"}}]}\n\n", id, index, index)
}

// standinTokenEvent returns an event with the text of a stand-in's token for the prompt and index. The event itself
// carries the index sent.
func standinTokenEvent(prompt string, sent, index int) string {
	return strings.Replace(tokenEvent("r", sent), fmt.Sprintf("t%d", sent),
		fmt.Sprintf("%08x.%d ", uint32(xxhash.Sum64String(prompt)), index), 1)
}

const (
	markEvent        = "data: [DONE]\n\n"
	finishEvent      = "data: {\"id\":\"r\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
	doneEvent        = finishEvent + markEvent
	errorEventFormat = "event: error\ndata: {\"error\":{\"outcome\":%q,\"code\":%q}}\n\n"
)

// TestStreamOutcome guards against a stream that counts as complete although it is incomplete, repeats tokens or has
// events of another request.
func TestStreamOutcome(t *testing.T) {
	whole := tokenEvent("r", 0) + tokenEvent("r", 1) + tokenEvent("r", 2)
	cases := []struct {
		name, body string
		want       Outcome
		code       string
	}{
		{"whole", whole + doneEvent, Good, ""},
		{"final event without token", whole + "data: {\"id\":\"r\",\"choices\":[{\"delta\":{},\"finish_reason\":\"length\"}]}\n\n" + markEvent, Good, ""},
		{"final event counts more tokens", whole + "data: {\"id\":\"r\",\"index\":4,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n" + markEvent, Corrupt, ""},
		{"end mark without finish reason", whole + markEvent, Corrupt, ""},
		{"token after the finish reason", tokenEvent("r", 0) + tokenEvent("r", 1) + finishEvent + tokenEvent("r", 2) + markEvent, Corrupt, ""},
		{"token after the end mark", whole + doneEvent + tokenEvent("r", 3), Corrupt, ""},
		{"second answer after the end mark", whole + doneEvent + whole + doneEvent, Corrupt, ""},
		{"error event after the end mark", whole + doneEvent + fmt.Sprintf(errorEventFormat, "unknown", "upstream_lost"), Corrupt, ""},
		{"end mark after an error event", tokenEvent("r", 0) + fmt.Sprintf(errorEventFormat, "unknown", "stream_truncated") + doneEvent, Corrupt, ""},
		{"body of a failure after the end mark", whole + doneEvent + `{"error":{"outcome":"unknown","code":"upstream_lost"}}`, Corrupt, ""},
		{"no end mark", whole, ConnectionLost, ""},
		{"unfinished end mark", whole + "data: [DONE]", ConnectionLost, ""},
		{"too short", tokenEvent("r", 0) + tokenEvent("r", 1) + doneEvent, Corrupt, ""},
		{"no tokens", doneEvent, Corrupt, ""},
		{"gap", tokenEvent("r", 0) + tokenEvent("r", 2) + doneEvent, Corrupt, ""},
		{"token twice", tokenEvent("r", 0) + tokenEvent("r", 0) + tokenEvent("r", 1) + doneEvent, Corrupt, ""},
		{"out of order", tokenEvent("r", 1) + tokenEvent("r", 0) + tokenEvent("r", 2) + doneEvent, Corrupt, ""},
		{"foreign token", tokenEvent("r", 0) + tokenEvent("q", 1) + tokenEvent("r", 2) + doneEvent, Corrupt, ""},
		{"own marked tokens", standinTokenEvent("pre fix ", 0, 0) + standinTokenEvent("pre fix ", 1, 1) + standinTokenEvent("pre fix ", 2, 2) + doneEvent, Good, ""},
		{"token of another prompt", standinTokenEvent("pre fix ", 0, 0) + standinTokenEvent("another ", 1, 1) + standinTokenEvent("pre fix ", 2, 2) + doneEvent, Corrupt, ""},
		{"relabelled token", standinTokenEvent("pre fix ", 0, 0) + standinTokenEvent("pre fix ", 1, 2) + standinTokenEvent("pre fix ", 2, 1) + doneEvent, Corrupt, ""},
		{"no JSON", "data: hello\n\n" + doneEvent, Corrupt, ""},
		{"truncated", tokenEvent("r", 0) + fmt.Sprintf(errorEventFormat, "unknown", "stream_truncated"), Truncated, "stream_truncated"},
		{"lost upstream", tokenEvent("r", 0) + fmt.Sprintf(errorEventFormat, "unknown", "upstream_lost"), Unknown, "upstream_lost"},
		{"failed upstream", fmt.Sprintf(errorEventFormat, "failed", "upstream_failed"), Failed, "upstream_failed"},
		{"refused in the stream", fmt.Sprintf(errorEventFormat, "not_run", "overloaded"), NotRun, "overloaded"},
		{"refused after a token", tokenEvent("r", 0) + fmt.Sprintf(errorEventFormat, "not_run", "overloaded"), Corrupt, ""},
	}
	work := &planner.Work{Kind: planner.KindStream, Model: "m", Tier: 2, ExactOutput: true}
	for _, c := range cases {
		got := send(t, work, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set(requestIDHeader, "r")
			_, _ = fmt.Fprint(w, c.body)
		})
		assert.Equal(t, got.Outcome, c.want, "%s: %s", c.name, got.Detail)
		assert.Equal(t, got.Code, c.code, c.name)
		assert.Equal(t, got.Tier, 2)
		if c.want == Good {
			assert.Equal(t, got.Tokens, 3)
			assert.Equal(t, len(got.Gaps), 2)
		}
	}
}

// send sends one request with three output tokens to a router that is implemented by the handler.
func send(t *testing.T, work *planner.Work, handler http.HandlerFunc) Result {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	return sendTo(t, work, server.Listener.Addr().String())
}

func sendTo(t *testing.T, work *planner.Work, routers ...string) Result {
	t.Helper()
	s, closeAll := New(routers, 5*time.Second)
	defer closeAll()
	order := make([]int, len(routers))
	for i := range order {
		order[i] = i
	}
	return s.Send(t.Context(), planner.Request{Work: work, Workspace: &planner.Workspace{Name: "forge", Key: "secret"},
		Routers: order, Prefix: "pre ", Prompt: "fix ", OutputTokens: 3, Reference: "ref-1"}, time.Now())
}

// TestAnswerOutcome guards against wrong outcomes of refusals and of service answers.
func TestAnswerOutcome(t *testing.T) {
	stream := &planner.Work{Kind: planner.KindStream, Model: "m"}
	booking := &planner.Work{Kind: planner.KindUnary, Method: "POST", Path: "/v1/b", Body: `{"reference":"{reference}"}`}
	cases := []struct {
		name   string
		work   *planner.Work
		status int
		body   string
		want   Outcome
		code   string
	}{
		{"refused stream", stream, 503, `{"error":{"outcome":"not_run","code":"overloaded"}}`, NotRun, "overloaded"},
		{"unknown stream", stream, 502, `{"error":{"outcome":"unknown","code":"upstream_lost"}}`, Unknown, "upstream_lost"},
		{"no stream", stream, 200, `{}`, Corrupt, ""},
		{"booked", booking, 201, `{"request_id":"r","body_hash":"HASH"}`, Good, ""},
		{"booked without echo", booking, 200, `ok`, Good, ""},
		{"booking of another request", booking, 200, `{"request_id":"q","body_hash":"HASH"}`, Corrupt, ""},
		{"hash of another body", booking, 200, `{"request_id":"r","body_hash":"0123456789abcdef"}`, Corrupt, ""},
		{"refused by the service", booking, 422, `bad`, Failed, "status_422"},
		{"duplicate", booking, 409, `{"error":{"outcome":"unknown","code":"duplicate"}}`, Unknown, "duplicate"},
	}
	for _, c := range cases {
		got := send(t, c.work, func(w http.ResponseWriter, r *http.Request) {
			received, _ := io.ReadAll(r.Body)
			w.Header().Set(requestIDHeader, "r")
			w.WriteHeader(c.status)
			_, _ = fmt.Fprint(w, strings.ReplaceAll(c.body, "HASH", fmt.Sprintf("%016x", xxhash.Sum64(received))))
		})
		assert.Equal(t, got.Outcome, c.want, "%s: %s", c.name, got.Detail)
		assert.Equal(t, got.Code, c.code, c.name)
	}
	got := send(t, booking, func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "{}") })
	assert.Equal(t, got.Outcome, Corrupt, "answer without request id")
}

// TestRequestFormat guards against requests without the headers that the catalogue requires, and against equal bodies in
// two runs.
func TestRequestFormat(t *testing.T) {
	var got *http.Request
	bodies := map[string]bool{}
	work := &planner.Work{Kind: planner.KindUnary, Method: "POST", Path: "/v1/b?x=1", Body: "{reference}",
		Key: planner.KeyUUIDv7, Deadline: 1500 * time.Millisecond}
	for range 2 {
		send(t, work, func(_ http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			got, bodies[string(body)] = r, true
		})
	}
	assert.Equal(t, len(bodies), 2, "two runs sent the same body")
	assert.Equal(t, got.URL.String(), "/v1/b?x=1")
	assert.Equal(t, got.Header.Get("Authorization"), "Bearer secret")
	assert.Equal(t, got.Header.Get("X-Deadline-Ms"), "1500")
	assert.Equal(t, got.Header.Get("Idempotency-Key")[14], byte('7'))
}

// TestLimits guards against late answers that count as good.
func TestLimits(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	answer := Result{FirstToken: ms(100), Gaps: []time.Duration{ms(10), ms(30)}, Total: ms(140)}
	cases := []struct {
		first, gap, total int
		late              bool
	}{
		{0, 0, 0, false}, {100, 20, 140, false}, {99, 0, 0, true}, {0, 19, 0, true}, {0, 0, 139, true},
	}
	for _, c := range cases {
		work := &planner.Work{Kind: planner.KindStream, FirstTokenLimit: ms(c.first), GapLimit: ms(c.gap), TotalLimit: ms(c.total)}
		assert.Equal(t, outsideLimits(work, answer), c.late, "%+v", c)
	}
}

// TestNextRouter guards against giving up after one unreachable router, and against sending a request to a second router
// when the first may have run it.
func TestNextRouter(t *testing.T) {
	dead := httptest.NewServer(nil)
	deadAddress := dead.Listener.Addr().String()
	dead.Close()
	calls := 0
	live := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls++
		w.Header().Set(requestIDHeader, "r")
	}))
	defer live.Close()
	liveAddress := live.Listener.Addr().String()
	breaking := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}))
	defer breaking.Close()
	cases := []struct {
		routers []string
		want    Outcome
		calls   int
	}{
		{[]string{deadAddress, liveAddress}, Good, 1},
		{[]string{deadAddress}, NotRun, 0},
		{[]string{breaking.Listener.Addr().String(), liveAddress}, ConnectionLost, 0},
	}
	work := &planner.Work{Kind: planner.KindUnary, Method: "POST", Path: "/v1/b", Body: "{}", Key: planner.KeyUUIDv7}
	for _, c := range cases {
		calls = 0
		got := sendTo(t, work, c.routers...)
		assert.Equal(t, got.Outcome, c.want, "%v: %s", c.routers, got.Detail)
		assert.Equal(t, calls, c.calls)
	}
}

// TestNoAnswer guards against an unanswered request that counts as refused, or whose answer is awaited without a timeout.
func TestNoAnswer(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-release:
		}
	}))
	defer server.Close()
	defer close(release)
	s, closeAll := New([]string{server.Listener.Addr().String()}, 50*time.Millisecond)
	defer closeAll()
	got := s.Send(t.Context(), planner.Request{Work: &planner.Work{Kind: planner.KindUnary, Method: "GET", Path: "/" + strings.Repeat("x", 3)},
		Workspace: &planner.Workspace{}, Routers: []int{0}}, time.Now())
	assert.Equal(t, got.Outcome, Unknown)
	assert.Equal(t, got.Code, codeNoAnswer)
}

// TestNoReplay guards against net/http retrying a request with an idempotency key by itself, which it does by default
// when a kept-alive connection breaks.
func TestNoReplay(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(requestIDHeader, "r")
		if calls.Add(1) == 1 {
			return
		}
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_ = conn.Close()
		}
	}))
	defer server.Close()
	s, closeAll := New([]string{server.Listener.Addr().String()}, 5*time.Second)
	defer closeAll()
	request := planner.Request{Work: &planner.Work{Kind: planner.KindUnary, Method: "POST", Path: "/v1/b", Body: "{}", Key: planner.KeyUUIDv7},
		Workspace: &planner.Workspace{}, Routers: []int{0}}
	assert.Equal(t, s.Send(t.Context(), request, time.Now()).Outcome, Good)
	assert.Equal(t, s.Send(t.Context(), request, time.Now()).Outcome, ConnectionLost)
	assert.Equal(t, calls.Load(), int64(2))
}
