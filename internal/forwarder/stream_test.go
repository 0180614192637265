package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/holder"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/limiter"
)

func resumableRoute() kernel.Route {
	resumable := route(kernel.RouteStream)
	resumable.Resumable = true
	return resumable
}

// TestFailureRelayedInsideStream guards against the failure of a later attempt ending up in a stream that an earlier
// attempt began, which the caller then takes for complete.
func TestFailureRelayedInsideStream(t *testing.T) {
	begun := streamHead + event("1") + "RESET"
	rest := streamHead + event("2") + lastChunk
	notFound := strings.Replace(failedAnswer, "500 Internal Server Error", "404 Not Found", 1)
	cases := []struct {
		name     string
		attempts int
		answers  []string
		body     string
		whole    bool
		sends    int
	}{
		{"failure", 2, []string{begun, failedAnswer, rest}, "id: 1\n\n", false, 2},
		{"failure, another attempt", 3, []string{begun, failedAnswer, rest}, "id: 1\n\nid: 2\n\n", true, 3},
		{"not found", 2, []string{begun, notFound, rest}, "id: 1\n\n", false, 2},
		{"two failures", 3, []string{begun, failedAnswer, failedAnswer, rest}, "id: 1\n\n", false, 3},
		{"full", 2, []string{begun, shedAnswer, rest}, "id: 1\n\n", false, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := newScriptedUpstream(t, c.answers...)
			base, server := startTestForwarder(t, configWithRoute(resumableRoute(), c.attempts), u)
			status, body, whole, _ := send(t, base, http.MethodPost, "/a/", "", callerHeader)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, body, c.body)
			assert.Equal(t, whole, c.whole)
			assert.Equal(t, server.sends, c.sends)
		})
	}
}

// TestStreamCompleteWithinEvent guards against a stream that ends in the regular way in the middle of an event being
// relayed as complete, with a part of an event as its end.
func TestStreamCompleteWithinEvent(t *testing.T) {
	unframedHead := strings.Replace(streamHead, "Transfer-Encoding: chunked\r\n", "", 1)
	rest := streamHead + event("2") + lastChunk
	cases := []struct {
		name   string
		route  kernel.Route
		answer string
		status int
		body   string
		whole  bool
	}{
		{"last chunk", route(kernel.RouteStream), streamHead + event("1") + chunk("id: 2") + lastChunk, 200, "id: 1\n\n", false},
		{"last chunk after a line", route(kernel.RouteStream), streamHead + event("1") + chunk("id: 2\n") + lastChunk, 200, "id: 1\n\n", false},
		{"last chunk, resumed", resumableRoute(), streamHead + event("1") + chunk("id: 2") + lastChunk, 200, "id: 1\n\nid: 2\n\n", true},
		{"first event", route(kernel.RouteStream), streamHead + chunk("id: 1") + lastChunk, 502, "upstream_lost\n", true},
		{"closed", route(kernel.RouteStream), unframedHead + "id: 1\n\nid: 2CLOSE", 200, "id: 1\n\n", false},
		{"closed, resumed", resumableRoute(), unframedHead + "id: 1\n\nid: 2CLOSE", 200, "id: 1\n\nid: 2\n\n", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := newScriptedUpstream(t, c.answer, rest)
			base, _ := startTestForwarder(t, configWithRoute(c.route, 2), u)
			status, body, whole, _ := send(t, base, http.MethodPost, "/a/", "", callerHeader)
			assert.Equal(t, status, c.status)
			assert.Equal(t, body, c.body)
			assert.Equal(t, whole, c.whole)
		})
	}
}

// TestConnectionClosedBeforeFirstEvent guards against taking the crash of an upstream that has sent only a head, without a
// length, for the end of a stream.
func TestConnectionClosedBeforeFirstEvent(t *testing.T) {
	closed := strings.Replace(streamHead, "Transfer-Encoding: chunked\r\n", "", 1) + "CLOSE"
	first, rest := streamHead+event("1")+chunk("id: 2")+"RESET", streamHead+event("2")+lastChunk
	cases := []struct {
		name    string
		route   kernel.Route
		answers []string
		status  int
		body    string
		whole   bool
	}{
		{"first attempt", route(kernel.RouteStream), []string{closed}, 502, "upstream_lost\n", true},
		{"another attempt", resumableRoute(), []string{closed, streamHead + event("1") + lastChunk}, 200, "id: 1\n\n", true},
		{"resume", resumableRoute(), []string{first, closed}, 200, "id: 1\n\n", false},
		{"resume with an end", resumableRoute(), []string{first, rest}, 200, "id: 1\n\nid: 2\n\n", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := newScriptedUpstream(t, c.answers...)
			base, _ := startTestForwarder(t, configWithRoute(c.route, 2), u)
			status, body, whole, _ := send(t, base, http.MethodPost, "/a/", "", callerHeader)
			assert.Equal(t, status, c.status)
			assert.Equal(t, body, c.body)
			assert.Equal(t, whole, c.whole)
		})
	}
}

// TestSuccessThatIsNoStreamRelayedAsEvents guards against the body of another success than a stream ending up in a stream
// that has begun, and against refusing it where nothing has been relayed.
func TestSuccessThatIsNoStreamRelayedAsEvents(t *testing.T) {
	jsonAnswer := "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
	u := newScriptedUpstream(t, streamHead+event("1")+"RESET", jsonAnswer, jsonAnswer)
	base, _ := startTestForwarder(t, configWithRoute(resumableRoute(), 2), u)
	_, body, whole, _ := send(t, base, http.MethodPost, "/a/", "", callerHeader)
	assert.Equal(t, body, "id: 1\n\n")
	assert.Assert(t, !whole)
	_, body, whole, _ = send(t, base, http.MethodPost, "/a/", "", callerHeader)
	assert.Equal(t, body, "{}")
	assert.Assert(t, whole)
}

// TestBrokenStreamOverHTTP10 guards against a broken stream that a caller of HTTP/1.0 takes for complete.
func TestBrokenStreamOverHTTP10(t *testing.T) {
	for _, broken := range []bool{false, true} {
		end := lastChunk
		if broken {
			end = "RESET"
		}
		u := newScriptedUpstream(t, streamHead+event("1")+end)
		base, _ := startTestForwarder(t, configWithRoute(route(kernel.RouteStream), 1), u)
		conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "GET /a/ HTTP/1.0\r\nHost: h\r\nId: 1\r\nKey: k\r\n\r\n")
		assert.NilError(t, err)
		data, err := io.ReadAll(conn)
		assert.Equal(t, errors.Is(err, syscall.ECONNRESET), broken, "%v", err)
		assert.Assert(t, strings.Contains(string(data), "id: 1\n\n"))
		assert.NilError(t, conn.Close())
	}
}

// answerlessHolder reports an answer although none was written.
type answerlessHolder struct{}

func (answerlessHolder) Serve(context.Context, *holder.Request) *holder.Refusal { return nil }

// TestAnswerNeverWritten guards against an empty success for a request that was reported as answered and wasn't.
func TestAnswerNeverWritten(t *testing.T) {
	f := New(Options{
		RoutingConfigSource: configWithRoute(route(kernel.RouteStream), 1), Holder: answerlessHolder{}, Dialect: dialect{},
		Draining:     func() bool { return false },
		RepeatBudget: limiter.NewRepeatBudget(limiter.RepeatBudgetSettings{Ratio: 1, Slack: 100, Routers: func() int { return 1 }}),
		Abstainer:    newTestAbstainer(),
		MaxBodyBytes: 1 << 10, Metrics: metrics.NewRegistry(), Logger: zap.NewNop(),
	})
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	status, _, _, _ := send(t, server.URL, http.MethodPost, "/a/", "", callerHeader)
	assert.Equal(t, status, 0)
}

// TestEventBuffer guards against events that are split at the wrong place or held back, with the line ends of the format
// and at each boundary between two reads.
func TestEventBuffer(t *testing.T) {
	cases := []struct {
		name   string
		body   string
		events []string
		rest   string
	}{
		{"LF", "id: 1\n\nid: 2\ndata: x\n\nid", []string{"id: 1\n\n", "id: 2\ndata: x\n\n"}, "id"},
		{"CR LF", "id: 1\r\n\r\nid: 2\r\n\r\nid: 3\r\n", []string{"id: 1\r\n\r\n", "id: 2\r\n\r\n"}, "id: 3\r\n"},
		{"CR within a line", "a\n\rb\n\n", []string{"a\n\rb\n\n"}, ""},
	}
	for _, c := range cases {
		for size := 1; size <= len(c.body); size++ {
			buffer, reader := newEventBuffer(nil), strings.NewReader(c.body)
			var events []string
			for {
				err := buffer.fill(io.LimitReader(reader, int64(size)))
				for event := buffer.event(); event != nil; event = buffer.event() {
					events = append(events, string(event))
				}
				if err != nil {
					break
				}
			}
			assert.DeepEqual(t, events, c.events)
			assert.Equal(t, string(buffer.rest()), c.rest, "%s, %d bytes a read", c.name, size)
		}
	}
}
