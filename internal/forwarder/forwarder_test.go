package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/connector"
	"coltsfootplank/internal/holder"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/limiter"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/subscriber"
)

// dialect is a small set of headers: Id, Key, After, Signature and Not-Run.
type dialect struct{}

func (dialect) ParseRequest(header http.Header) (kernel.RequestMetadata, error) {
	return kernel.RequestMetadata{RequestID: header.Get("Id"), Credential: header.Get("Key"), ResumeAfter: header.Get("After")}, nil
}

func (dialect) RewriteRequest(header http.Header, passage kernel.ForwardMetadata) {
	header.Del("Key")
	header.Set("Workspace", passage.Workspace)
	if passage.ResumeAfter != "" {
		header.Set("After", passage.ResumeAfter)
	}
}

func (dialect) ParseAnswer(_ int, header http.Header) kernel.AnswerMetadata {
	return kernel.AnswerMetadata{
		RequestID: header.Get("Id"), NotRun: header.Get("Not-Run") != "", Signed: header.Get("Signature") != "",
		Encoded: header.Get("Content-Encoding") != "",
	}
}

// upstreams answers the requests that arrive, one text each. A text that ends with "RESET" resets the connection after it.
type upstreams struct {
	address string
	mu      sync.Mutex
	answers []string
	seen    []*http.Request
	bodies  []string
}

func newUpstreams(t *testing.T, answers ...string) *upstreams {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	u := &upstreams{address: listener.Addr().String(), answers: answers}
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

func (u *upstreams) serve(conn net.Conn) {
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
		_, _ = io.WriteString(conn, text)
		if broken {
			time.Sleep(30 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
	}
}

// granter stands in for the holder: it grants at once until the exchange has ended.
type granter struct {
	address string
	sends   int
	last    holder.SendResult
}

func (g *granter) Serve(ctx context.Context, request *holder.Request) *holder.Refusal {
	for range 5 {
		g.sends++
		g.last = request.Exchange.Send(ctx, &cataloguer.Upstream{Name: "e", Address: g.address})
		waits := g.last.Resubmit || g.last.Kind == unreachable || g.last.Kind == shed
		if g.last.Refusal != nil || !waits {
			return g.last.Refusal
		}
	}
	return &holder.Refusal{Outcome: holder.OutcomeUnknown, Code: holder.CodeUpstreamLost}
}

const (
	unreachable = protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE
	shed        = protocol.ReleaseKind_RELEASE_KIND_SHED
)

type plans struct {
	plan     *subscriber.RoutingConfig
	departed string
	// delay is how long the first plan takes.
	delay time.Duration
}

func (p plans) AwaitRoutingConfig(ctx context.Context, wait time.Duration) *subscriber.RoutingConfig {
	if p.plan == nil || p.delay > 0 {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
			return nil
		case <-time.After(p.delay):
		}
	}
	return p.plan
}

func (p plans) Departed(name string) bool      { return name == p.departed }
func route(kind kernel.RouteKind) kernel.Route { return kernel.Route{Kind: kind} }

const (
	ok       = "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nContent-Length: 2\r\n\r\nab"
	failed   = "HTTP/1.1 500 Internal Server Error\r\nId: 1\r\nSignature: s\r\nContent-Length: 2\r\n\r\nno"
	full     = "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	unsigned = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nab"
	encoded  = "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nab"
	short    = "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nContent-Length: 9\r\n\r\nabRESET"
	events   = "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)

func chunk(text string) string { return string("0123456789abcdef"[len(text)]) + "\r\n" + text + "\r\n" }

func event(id string) string { return chunk("id: " + id + "\n\n") }

const end = "0\r\n\r\n"

// serve starts a forwarder before scripted upstreams and returns its address.
func serve(t *testing.T, p plans, u *upstreams) (string, *granter) {
	t.Helper()
	connections, closeAll := connector.New(connector.Settings{
		MaxIdle: 2, EchoedRequestID: func(head *connector.Head) string { return head.Header.Get("Id") },
	}, func() {})
	t.Cleanup(closeAll)
	server := &granter{address: u.address}
	f := New(Options{
		RoutingConfigSource: p, Server: server, Dialect: dialect{}, Connector: connections, Draining: func() bool { return false },
		RepeatBudget: limiter.NewRepeatBudget(limiter.RepeatBudgetSettings{Ratio: 1, Slack: 100, Routers: func() int { return 1 }}),
		MaxBodyBytes: 1 << 10, Metrics: metrics.NewRegistry(), Logger: zap.NewNop(),
	})
	front := httptest.NewServer(f)
	t.Cleanup(front.Close)
	return front.URL, server
}

// planOf returns a plan with one route for all paths below /a/ and one workspace.
func planOf(route kernel.Route, attempts int) plans {
	route.Host, route.Prefix, route.Attempts, route.Timeout = "h", "/a/", attempts, 2*time.Second
	route.Targets = []kernel.Target{{Service: "s", Weight: 1}}
	return plans{plan: subscriber.NewRoutingConfig(&kernel.Publication{
		Version: 1, Routes: []kernel.Route{route}, Services: []kernel.PublishedService{{Name: "s"}},
		Workspaces: []kernel.PublishedWorkspace{{Name: "w", Keys: []string{"k"}}},
	})}
}

// send returns the status, the body, whether the body is whole, and the header.
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

var caller = map[string]string{"Id": "1", "Key": "k"}

// TestExchanges guards against a request that may have run being refused as not run or sent again, and against answers
// cut short that look whole.
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
		{"answered", route(kernel.RouteAtMostOnce), 1, []string{ok}, 200, "ab", true, 1},
		{"failure is passed on", route(kernel.RouteAtMostOnce), 2, []string{failed, ok}, 500, "no", true, 1},
		{"failure of a repeatable request", route(kernel.RouteIdempotent), 2, []string{failed, ok}, 200, "ab", true, 2},
		{"attempts used up", route(kernel.RouteIdempotent), 2, []string{failed, failed, ok}, 500, "no", true, 2},
		{"lost once-only request", route(kernel.RouteAtMostOnce), 3, []string{"RESET", ok}, 502, "upstream_lost\n", true, 1},
		{"lost repeatable request", route(kernel.RouteIdempotent), 2, []string{"RESET", ok}, 200, "ab", true, 2},
		{"full", route(kernel.RouteAtMostOnce), 1, []string{full, ok}, 503, "overloaded\n", true, 1},
		{"full, another attempt", route(kernel.RouteAtMostOnce), 2, []string{full, ok}, 200, "ab", true, 2},
		{"unsigned success", route(kernel.RouteAtMostOnce), 1, []string{unsigned}, 502, "upstream_lost\n", true, 1},
		{"encoded", route(kernel.RouteAtMostOnce), 1, []string{encoded}, 502, "upstream_lost\n", true, 1},
		{"cut short", route(kernel.RouteAtMostOnce), 1, []string{short}, 502, "upstream_lost\n", true, 1},
		{"stream", route(kernel.RouteStream), 1, []string{events + event("1") + event("2") + end}, 200, "id: 1\n\nid: 2\n\n", true, 1},
		{"empty stream", route(kernel.RouteStream), 1, []string{events + end}, 200, "", true, 1},
		{"stream broken off", route(kernel.RouteStream), 2, []string{events + event("1") + "RESET", ok}, 200, "id: 1\n\n", false, 1},
		{"stream broken off within an event", route(kernel.RouteStream), 1, []string{events + event("1") + chunk("id: 2") + "RESET"},
			200, "id: 1\n\n", false, 1},
		{"stream lost before its first event", route(kernel.RouteStream), 2, []string{events + "RESET", ok}, 502, "upstream_lost\n", true, 1},
		{"stream goes on", resumable, 2, []string{events + event("1") + chunk("id: 2") + "RESET", events + event("2") + event("3") + end},
			200, "id: 1\n\nid: 2\n\nid: 3\n\n", true, 2},
		{"stream goes on with an event known already", resumable, 2,
			[]string{events + event("1") + event("2") + "RESET", events + event("2") + event("3") + end}, 200, "id: 1\n\nid: 2\n\nid: 3\n\n", true, 2},
		{"stream breaks again", resumable, 2, []string{events + event("1") + "RESET", events + event("2") + "RESET", ok},
			200, "id: 1\n\nid: 2\n\n", false, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := newUpstreams(t, c.answers...)
			base, server := serve(t, planOf(c.route, c.attempts), u)
			status, body, whole, header := send(t, base, http.MethodPost, "/a/x?y=%20z", "body", caller)
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

// TestResumePoint guards against a resumed stream that starts from its beginning.
func TestResumePoint(t *testing.T) {
	resumable := route(kernel.RouteStream)
	resumable.Resumable = true
	u := newUpstreams(t, events+event("8")+"RESET", events+event("9")+end)
	base, _ := serve(t, planOf(resumable, 2), u)
	header := map[string]string{"Id": "1", "Key": "k", "After": "7"}
	_, body, whole, _ := send(t, base, http.MethodPost, "/a/", "", header)
	assert.Equal(t, body, "id: 8\n\nid: 9\n\n")
	assert.Assert(t, whole)
	assert.Equal(t, u.seen[0].Header.Get("After"), "7")
	assert.Equal(t, u.seen[1].Header.Get("After"), "8")
}

// TestTurnedAway guards against a request without a right reaching an upstream, and against a final refusal for lack of a
// configuration.
func TestTurnedAway(t *testing.T) {
	known := planOf(route(kernel.RouteAtMostOnce), 1)
	gone := known
	gone.departed = "e"
	cases := []struct {
		name   string
		plans  plans
		path   string
		body   string
		header map[string]string
		status int
	}{
		{"no configuration yet", plans{delay: time.Hour}, "/a/", "", caller, 503},
		{"no route", known, "/b/", "", caller, 404},
		{"no key", known, "/a/", "", map[string]string{"Id": "1"}, 401},
		{"unknown key", known, "/a/", "", map[string]string{"Id": "1", "Key": "x"}, 401},
		{"no id", known, "/a/", "", map[string]string{"Key": "k"}, 400},
		{"body too long", known, "/a/", strings.Repeat("x", 2<<10), caller, 413},
		{"upstream known to leave", gone, "/a/", "", caller, 502},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := newUpstreams(t, ok)
			base, _ := serve(t, c.plans, u)
			status, _, _, _ := send(t, base, http.MethodPost, c.path, c.body, c.header)
			assert.Equal(t, status, c.status)
			assert.Equal(t, len(u.seen), 0)
		})
	}
}

// TestFirstPlan guards against a request that is refused by a router that has its first configuration a moment later.
func TestFirstPlan(t *testing.T) {
	u := newUpstreams(t, ok)
	p := planOf(route(kernel.RouteIdempotent), 1)
	p.delay = planWait / 5
	base, _ := serve(t, p, u)
	status, _, _, _ := send(t, base, http.MethodPost, "/a/", "", caller)
	assert.Equal(t, status, http.StatusOK)
}
