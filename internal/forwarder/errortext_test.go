package forwarder

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
)

// TestErrorTextInsideStream guards against a stream that broke off and then holds the text or the head of the next upstream's
// error, or that ends as if it were complete.
func TestErrorTextInsideStream(t *testing.T) {
	const (
		text        = "id: 2\ndata: error\n\n"
		errorHead   = "HTTP/1.1 %s\r\nId: 1\r\nSignature: s\r\nContent-Type: %s\r\n%s\r\n"
		eventStream = "text/event-stream"
		withLength  = "Content-Length: 19\r\n"
		rawHead     = "HTTP/1.1 500 Internal Server Error\r\nId: 1\r\nContent-Length: 2\r\n\r\nno"
	)
	unframed := strings.Replace(streamHead, "Transfer-Encoding: chunked\r\n", "", 1)
	breaks := map[string]string{
		"reset":                    streamHead + event("1") + "RESET",
		"closed":                   streamHead + event("1") + "CLOSE",
		"closed in an event":       unframed + "id: 1\n\nid: 2\ndaCLOSE",
		"next chunk is an answer":  streamHead + event("1") + rawHead + "CLOSE",
		"next event is an answer":  unframed + "id: 1\n\n" + rawHead + "CLOSE",
		"answer as an own event":   unframed + "id: 1\n\n" + rawHead + "\n\nCLOSE",
		"answer in an event":       unframed + "id: 1\n\nid: 2\ndata: x\n" + rawHead + "CLOSE",
		"answer in a line":         unframed + "id: 1\n\nid: 2\ndata: x" + rawHead + "CLOSE",
		"second head as its event": unframed + "id: 1\n\n" + strings.TrimSuffix(rawHead, "no") + "CLOSE",
	}
	next := map[string]string{"nothing": "RESET", "head cut": "HTTP/1.1 500 Internal Server Error\r\nId: 1\r\nSigCLOSE"}
	for _, status := range []string{"500 Internal Server Error", "404 Not Found", "503 Service Unavailable", "429 Too Many Requests", "502 Bad Gateway"} {
		for _, contentType := range []string{eventStream, "text/plain"} {
			for _, framing := range []string{withLength, ""} {
				next[fmt.Sprintf("%s %s %q", status, contentType, framing)] = fmt.Sprintf(errorHead, status, contentType, framing) + text + "CLOSE"
			}
		}
	}
	next["200 that isn't a stream"] = fmt.Sprintf(errorHead, "200 OK", "text/plain", withLength) + text
	next["200 unsigned"] = strings.Replace(fmt.Sprintf(errorHead, "200 OK", eventStream, withLength), "Signature: s\r\n", "", 1) + text
	for _, resumable := range []bool{true, false} {
		for broken, first := range breaks {
			for answered, second := range next {
				t.Run(fmt.Sprintf("%s, then %s, resumable %t", broken, answered, resumable), func(t *testing.T) {
					streamRoute := route(kernel.RouteStream)
					streamRoute.Resumable = resumable
					u := newScriptedUpstream(t, first, second)
					base, _ := startTestForwarder(t, configWithRoute(streamRoute, 2), u)
					status, body, whole, _ := send(t, base, http.MethodPost, "/a/", "", callerHeader)
					assert.Equal(t, status, http.StatusOK)
					assert.Equal(t, body, "id: 1\n\n")
					assert.Assert(t, !whole, "the stream looks complete")
				})
			}
		}
	}
}
