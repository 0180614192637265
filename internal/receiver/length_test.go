package receiver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/holder"
	"coltsfootplank/internal/kernel"
)

// largeBodyBytes is more than the socket buffers of a connection hold.
const largeBodyBytes = 32 << 20

// TestShortAnswerLooksComplete guards against an answer that looks complete although the connection ended before its last
// byte. A caller that uses HTTP/1.0 sees the end of the connection as the end of a body without a length.
func TestShortAnswerLooksComplete(t *testing.T) {
	large := strings.Repeat("x", largeBodyBytes)
	cases := []struct {
		name, path, body string
		answer           func(holder.Answer) error
	}{
		{"service", "/v1/bookings", "{}", func(answer holder.Answer) error {
			return answer.Response(kernel.ServiceResponse{Status: http.StatusOK, Body: []byte(large)})
		}},
		{"completion", "/v1/chat/completions", strings.Replace(chatBody, `"stream":true`, `"stream":false`, 1),
			func(answer holder.Answer) error {
				if err := answer.Token(kernel.Frame{Token: large}); err != nil {
					return err
				}
				return answer.Finish(1)
			}},
		{"stream", "/v1/chat/completions", chatBody, func(answer holder.Answer) error {
			if err := answer.Token(kernel.Frame{Token: large}); err != nil {
				return err
			}
			return answer.Finish(1)
		}},
	}
	for _, c := range cases {
		for _, version := range []string{"1.0", "1.1"} {
			t.Run(c.name+"/"+version, func(t *testing.T) {
				ended := make(chan struct{})
				server := &fakeServer{answer: func(request *holder.Request) *holder.Refusal {
					defer close(ended)
					if c.answer(request.Answer) == nil {
						return nil
					}
					return &holder.Refusal{Outcome: holder.OutcomeUnknown, Code: holder.CodeCallerGone}
				}}
				api := httptest.NewServer(newTestReceiver(t, server).Handler())
				defer api.Close()
				conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", api.Listener.Addr().String())
				assert.NilError(t, err)
				defer func() { _ = conn.Close() }()
				_, err = fmt.Fprintf(conn, "POST %s HTTP/%s\r\nHost: r\r\nAuthorization: Bearer key1\r\nIdempotency-Key: k\r\n"+
					"Content-Length: %d\r\n\r\n%s", c.path, version, len(c.body), c.body)
				assert.NilError(t, err)
				reader := bufio.NewReader(conn)
				_, err = reader.Peek(1)
				assert.NilError(t, err)
				// The answer is being written and the caller reads no further: the router stops.
				assert.NilError(t, api.Config.Close())
				<-ended
				response, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err)
				body, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				assert.Assert(t, len(body) < largeBodyBytes)
				complete := err == nil && (response.Header.Get(headerContentType) != "text/event-stream" ||
					strings.Contains(string(body), doneMarker))
				assert.Assert(t, !complete, "%d bytes look complete: %v", len(body), response.Header)
			})
		}
	}
}
