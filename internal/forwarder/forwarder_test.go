package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/abstainer"
	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/connector"
	"coltsfootplank/internal/holder"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/limiter"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/subscriber"
)

// dialect is a test dialect with the headers Id, Key, After, Signature and Not-Run.
type dialect struct{}

func (dialect) ParseRequest(header http.Header) (kernel.RequestMetadata, error) {
	return kernel.RequestMetadata{RequestID: header.Get("Id"), Credential: header.Get("Key"), ResumeAfter: header.Get("After")}, nil
}

func (dialect) RewriteRequest(header http.Header, metadata kernel.ForwardMetadata) {
	header.Del("Key")
	header.Set("Workspace", metadata.Workspace)
	if metadata.ResumeAfter != "" {
		header.Set("After", metadata.ResumeAfter)
	}
}

func (dialect) ParseAnswer(_ int, header http.Header) kernel.AnswerMetadata {
	return kernel.AnswerMetadata{
		RequestID: header.Get("Id"), NotRun: header.Get("Not-Run") != "", Signed: header.Get("Signature") != "",
		ContentEncoded: header.Get("Content-Encoding") != "",
	}
}

// scriptedUpstream answers each request with the next of its texts. After a text that ends with "RESET" it resets the
// connection, and after one that ends with "CLOSE" it closes it.
type scriptedUpstream struct {
	address string
	mu      sync.Mutex
	answers []string
	seen    []*http.Request
	bodies  []string
}

func newScriptedUpstream(t *testing.T, answers ...string) *scriptedUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	u := &scriptedUpstream{address: listener.Addr().String(), answers: answers}
	var group sync.WaitGroup
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() { u.serve(conn) })
		}
	})
	t.Cleanup(func() { _ = listener.Close() })
	return u
}

func (u *scriptedUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		u.mu.Lock()
		u.seen, u.bodies = append(u.seen, request), append(u.bodies, string(body))
		answer := "RESET"
		if len(u.answers) > 0 {
			answer, u.answers = u.answers[0], u.answers[1:]
		}
		u.mu.Unlock()
		text, broken := strings.CutSuffix(answer, "RESET")
		text, closed := strings.CutSuffix(text, "CLOSE")
		_, _ = io.WriteString(conn, text)
		if closed {
			return
		}
		if broken {
			time.Sleep(30 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
	}
}

// fakeHolder is a holder that grants each attempt at once until the exchange has ended.
type fakeHolder struct {
	address string
	mu      sync.Mutex
	sends   int
}

func (f *fakeHolder) Serve(ctx context.Context, request *holder.Request) *holder.Refusal {
	for range 5 {
		f.countSend()
		result := request.Exchange.Send(ctx, &cataloguer.Upstream{Name: "e", Address: f.address})
		sendAgain := result.Resubmit || result.Kind == unreachable || result.Kind == shed
		if result.Refusal != nil || !sendAgain {
			return result.Refusal
		}
	}
	return &holder.Refusal{Outcome: holder.OutcomeUnknown, Code: holder.CodeUpstreamLost}
}

// countSend counts a send. Requests may be served concurrently.
func (f *fakeHolder) countSend() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sends++
}

const (
	unreachable = protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE
	shed        = protocol.ReleaseKind_RELEASE_KIND_SHED
)

type fakeConfigSource struct {
	config   *subscriber.RoutingConfig
	departed string
	// delay is the time until the first configuration is available.
	delay time.Duration
	// failing is set if the directory can't be read.
	failing bool
}

func (source fakeConfigSource) AwaitRoutingConfig(ctx context.Context, wait time.Duration) *subscriber.RoutingConfig {
	if source.config == nil || source.delay > 0 {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
			return nil
		case <-time.After(source.delay):
		}
	}
	return source.config
}

func (source fakeConfigSource) Departed(name string, _ int64) bool { return name == source.departed }
func (source fakeConfigSource) DirectoryFailing() bool             { return source.failing }
func (source fakeConfigSource) Confirmed() time.Time               { return time.Time{} }
func route(kind kernel.RouteKind) kernel.Route                     { return kernel.Route{Kind: kind} }

const (
	okAnswer        = "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nContent-Length: 2\r\n\r\nab"
	failedAnswer    = "HTTP/1.1 500 Internal Server Error\r\nId: 1\r\nSignature: s\r\nContent-Length: 2\r\n\r\nno"
	shedAnswer      = "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	unsignedAnswer  = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nab"
	encodedAnswer   = "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nab"
	truncatedAnswer = "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nContent-Length: 9\r\n\r\nabRESET"
	streamHead      = "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// unsigned returns an answer with another status and without its signature.
func unsigned(answer, status string) string {
	answer = strings.Replace(answer, "500 Internal Server Error", status, 1)
	return strings.Replace(answer, "Signature: s\r\n", "", 1)
}

// withStatus returns a signed answer with the given status.
func withStatus(status string) string {
	return strings.Replace(failedAnswer, "500 Internal Server Error", status, 1)
}

func chunk(text string) string { return string("0123456789abcdef"[len(text)]) + "\r\n" + text + "\r\n" }

func event(id string) string { return chunk("id: " + id + "\n\n") }

const lastChunk = "0\r\n\r\n"

// newTestAbstainer returns an abstainer for which no upstream is registered.
func newTestAbstainer() *abstainer.Abstainer {
	return abstainer.New(abstainer.Options{
		Registered: func(string) bool { return false }, Metrics: metrics.NewRegistry(), Logger: zap.NewNop(),
	})
}

// startTestForwarder starts a forwarder in front of a scripted upstream and returns its URL and the fake holder.
func startTestForwarder(t *testing.T, source fakeConfigSource, u *scriptedUpstream) (string, *fakeHolder) {
	t.Helper()
	connections, closeAll := connector.New(connector.Settings{
		MaxIdle: 2, EchoedRequestID: func(head *connector.Head) string { return head.Header.Get("Id") },
	}, func() {})
	t.Cleanup(closeAll)
	server := &fakeHolder{address: u.address}
	f := New(Options{
		RoutingConfigSource: source, Holder: server, Dialect: dialect{}, Connector: connections, Draining: func() bool { return false },
		RepeatBudget: limiter.NewRepeatBudget(limiter.RepeatBudgetSettings{Ratio: 1, Slack: 100, Routers: func() int { return 1 }}),
		Abstainer:    newTestAbstainer(),
		MaxBodyBytes: 1 << 10, Metrics: metrics.NewRegistry(), Logger: zap.NewNop(),
	})
	httpServer := httptest.NewServer(f)
	t.Cleanup(httpServer.Close)
	return httpServer.URL, server
}

// configWithRoute returns a configuration with one route for all paths below /a/ and one workspace.
func configWithRoute(route kernel.Route, attempts int) fakeConfigSource {
	route.Host, route.Prefix, route.Attempts, route.Timeout = "h", "/a/", attempts, 2*time.Second
	route.Targets = []kernel.Target{{Service: "s", Weight: 1}}
	return fakeConfigSource{config: subscriber.NewRoutingConfig(&kernel.Publication{
		Version: 1, Routes: []kernel.Route{route}, Services: []kernel.PublishedService{{Name: "s"}},
		Workspaces: []kernel.PublishedWorkspace{{Name: "w", Keys: []string{"k"}}},
	})}
}

// send sends a request and returns the status, the body, whether the body is complete, and the header.
func send(t *testing.T, base, method, path, body string, header map[string]string) (status int, text string, whole bool, got http.Header) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, base+path, strings.NewReader(body))
	assert.NilError(t, err)
	request.Host = "h"
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := (&http.Transport{DisableCompression: true}).RoundTrip(request)
	if err != nil {
		return 0, "", false, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err == nil, response.Header
}

var callerHeader = map[string]string{"Id": "1", "Key": "k"}

// TestExchanges guards against refusing a request as not run, or sending it again, although it may have run, and
// against truncated answers that look complete to the caller, and promises of upstreams that ran the request.
func TestExchanges(t *testing.T) {
	resumable := route(kernel.RouteStream)
	resumable.Resumable = true
	cases := []struct {
		name     string
		route    kernel.Route
		attempts int
		answers  []string
		status   int
		body     string
		whole    bool
		sends    int
	}{
		{"answered", route(kernel.RouteAtMostOnce), 1, []string{okAnswer}, 200, "ab", true, 1},
		{"failure is relayed", route(kernel.RouteAtMostOnce), 2, []string{failedAnswer, okAnswer}, 500, "no", true, 1},
		{"failure of an idempotent request", route(kernel.RouteIdempotent), 2, []string{failedAnswer, okAnswer}, 200, "ab", true, 2},
		{"attempts used up", route(kernel.RouteIdempotent), 2, []string{failedAnswer, failedAnswer, okAnswer}, 500, "no", true, 2},
		{"lost at-most-once request", route(kernel.RouteAtMostOnce), 3, []string{"RESET", okAnswer}, 502, "upstream_lost\n", true, 1},
		{"lost idempotent request", route(kernel.RouteIdempotent), 2, []string{"RESET", okAnswer}, 200, "ab", true, 2},
		{"full", route(kernel.RouteAtMostOnce), 1, []string{shedAnswer, okAnswer}, 503, "overloaded\n", true, 1},
		{"full, another attempt", route(kernel.RouteAtMostOnce), 2, []string{shedAnswer, okAnswer}, 200, "ab", true, 2},
		{"promise of a run", route(kernel.RouteAtMostOnce), 2, []string{withStatus("503 Service Unavailable"), okAnswer}, 502, "upstream_failed\n", true, 1},
		{"429 of a run", route(kernel.RouteAtMostOnce), 2, []string{withStatus("429 Too Many Requests"), okAnswer}, 502, "upstream_failed\n", true, 1},
		{"promise of a stream's run", route(kernel.RouteStream), 2, []string{withStatus("503 Service Unavailable"), okAnswer}, 502, "upstream_failed\n", true, 1},
		{"unsigned success", route(kernel.RouteAtMostOnce), 1, []string{unsignedAnswer}, 502, "upstream_lost\n", true, 1},
		{"unsigned failure", route(kernel.RouteAtMostOnce), 1, []string{unsigned(failedAnswer, "404 Not Found")}, 502, "upstream_lost\n", true, 1},
		{"unsigned promise", route(kernel.RouteAtMostOnce), 1, []string{unsigned(failedAnswer, "503 Service Unavailable")}, 502, "upstream_lost\n", true, 1},
		{"unsigned failure of an idempotent request", route(kernel.RouteIdempotent), 2,
			[]string{unsigned(failedAnswer, "404 Not Found"), okAnswer}, 200, "ab", true, 2},
		{"encoded", route(kernel.RouteAtMostOnce), 1, []string{encodedAnswer}, 502, "upstream_lost\n", true, 1},
		{"truncated answer", route(kernel.RouteAtMostOnce), 1, []string{truncatedAnswer}, 502, "upstream_lost\n", true, 1},
		{"stream", route(kernel.RouteStream), 1, []string{streamHead + event("1") + event("2") + lastChunk}, 200, "id: 1\n\nid: 2\n\n", true, 1},
		{"empty stream", route(kernel.RouteStream), 1, []string{streamHead + lastChunk}, 200, "", true, 1},
		{"stream breaks", route(kernel.RouteStream), 2, []string{streamHead + event("1") + "RESET", okAnswer}, 200, "id: 1\n\n", false, 1},
		{"stream breaks within an event", route(kernel.RouteStream), 1, []string{streamHead + event("1") + chunk("id: 2") + "RESET"},
			200, "id: 1\n\n", false, 1},
		{"stream lost before its first event", route(kernel.RouteStream), 2, []string{streamHead + "RESET", okAnswer}, 502, "upstream_lost\n", true, 1},
		{"stream resumes", resumable, 2, []string{streamHead + event("1") + chunk("id: 2") + "RESET", streamHead + event("2") + event("3") + lastChunk},
			200, "id: 1\n\nid: 2\n\nid: 3\n\n", true, 2},
		{"stream resumes with a duplicate event", resumable, 2,
			[]string{streamHead + event("1") + event("2") + "RESET", streamHead + event("2") + event("3") + lastChunk}, 200, "id: 1\n\nid: 2\n\nid: 3\n\n", true, 2},
		{"stream breaks again", resumable, 2, []string{streamHead + event("1") + "RESET", streamHead + event("2") + "RESET", okAnswer},
			200, "id: 1\n\nid: 2\n\n", false, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := newScriptedUpstream(t, c.answers...)
			base, server := startTestForwarder(t, configWithRoute(c.route, c.attempts), u)
			status, body, whole, header := send(t, base, http.MethodPost, "/a/x?y=%20z", "body", callerHeader)
			assert.Equal(t, status, c.status)
			assert.Equal(t, body, c.body)
			assert.Equal(t, whole, c.whole)
			assert.Equal(t, server.sends, c.sends)
			assert.Equal(t, header.Get("Signature") != "", status == 200 || status == 500)
			assert.Equal(t, header.Get("Retry-After") != "", status == 503)
			for i, seen := range u.seen {
				assert.Equal(t, seen.RequestURI, "/a/x?y=%20z")
				assert.Equal(t, u.bodies[i], "body")
				assert.Equal(t, seen.Header.Get("Workspace"), "w")
				assert.Equal(t, seen.Header.Get("Key"), "")
			}
		})
	}
}

// TestResumeAfterLastEvent guards against a resumed stream that starts over instead of after the last relayed event.
func TestResumeAfterLastEvent(t *testing.T) {
	resumable := route(kernel.RouteStream)
	resumable.Resumable = true
	u := newScriptedUpstream(t, streamHead+event("8")+"RESET", streamHead+event("9")+lastChunk)
	base, _ := startTestForwarder(t, configWithRoute(resumable, 2), u)
	header := map[string]string{"Id": "1", "Key": "k", "After": "7"}
	_, body, whole, _ := send(t, base, http.MethodPost, "/a/", "", header)
	assert.Equal(t, body, "id: 8\n\nid: 9\n\n")
	assert.Assert(t, whole)
	assert.Equal(t, u.seen[0].Header.Get("After"), "7")
	assert.Equal(t, u.seen[1].Header.Get("After"), "8")
}

// TestRefusedRequests guards against unauthorized or invalid requests reaching an upstream, and against a router without
// a configuration refusing requests with a status that callers don't retry.
func TestRefusedRequests(t *testing.T) {
	valid := configWithRoute(route(kernel.RouteAtMostOnce), 1)
	upstreamLeaving := valid
	upstreamLeaving.departed = "e"
	cases := []struct {
		name   string
		source fakeConfigSource
		path   string
		body   string
		header map[string]string
		status int
	}{
		{"no configuration yet", fakeConfigSource{delay: time.Hour}, "/a/", "", callerHeader, 503},
		{"no route", valid, "/b/", "", callerHeader, 404},
		{"no key", valid, "/a/", "", map[string]string{"Id": "1"}, 401},
		{"unknown key", valid, "/a/", "", map[string]string{"Id": "1", "Key": "x"}, 401},
		{"no id", valid, "/a/", "", map[string]string{"Key": "k"}, 400},
		{"id that messages between routers can't carry", valid, "/a/", "", map[string]string{"Id": "1\xff", "Key": "k"}, 400},
		{"body too long", valid, "/a/", strings.Repeat("x", 2<<10), callerHeader, 413},
		{"upstream known to leave", upstreamLeaving, "/a/", "", callerHeader, 502},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := newScriptedUpstream(t, okAnswer)
			base, _ := startTestForwarder(t, c.source, u)
			status, _, _, _ := send(t, base, http.MethodPost, c.path, c.body, c.header)
			assert.Equal(t, status, c.status)
			assert.Equal(t, len(u.seen), 0)
		})
	}
}

// TestRetryAfterWithoutConfig guards against callers that use up their retries within an outage of the directory, because
// the routers, which have all lost their configuration, tell them to return while it lasts.
func TestRetryAfterWithoutConfig(t *testing.T) {
	for _, c := range []struct {
		failing   bool
		low, high time.Duration
	}{{false, 0, 500 * time.Millisecond}, {true, time.Second, 3 * time.Second}} {
		base, _ := startTestForwarder(t, fakeConfigSource{delay: time.Hour, failing: c.failing}, newScriptedUpstream(t, okAnswer))
		status, _, _, header := send(t, base, http.MethodPost, "/a/", "", callerHeader)
		assert.Equal(t, status, http.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		after := time.Duration(seconds * float64(time.Second))
		assert.Assert(t, after > c.low && after < c.high, "%s", after)
	}
}

// TestWaitsForFirstConfig guards against a router refusing a request shortly before it gets its first configuration.
func TestWaitsForFirstConfig(t *testing.T) {
	u := newScriptedUpstream(t, okAnswer)
	source := configWithRoute(route(kernel.RouteIdempotent), 1)
	source.delay = configWait / 5
	base, _ := startTestForwarder(t, source, u)
	status, _, _, _ := send(t, base, http.MethodPost, "/a/", "", callerHeader)
	assert.Equal(t, status, http.StatusOK)
}
