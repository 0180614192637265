package httplog

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
)

// neverAnswers blocks until the caller disconnects. The server detects that only after the body was read.
func neverAnswers(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// TestAppendErrors guards against reporting an append that may have been stored as failed, which would let a request that
// must run at most once, such as a booking, run twice.
func TestAppendErrors(t *testing.T) {
	const (
		done = iota
		unavailable
		limited
		unknown
	)
	answer := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    int
	}{
		{name: "accepted", handler: answer(http.StatusOK, `{"offset":7}`), want: done},
		{name: "outage", handler: answer(http.StatusServiceUnavailable, ""), want: unavailable},
		{name: "refused", handler: answer(http.StatusBadRequest, ""), want: unavailable},
		{name: "over the rate", handler: answer(http.StatusTooManyRequests, ""), want: limited},
		{name: "server error", handler: answer(http.StatusInternalServerError, ""), want: unknown},
		{name: "gateway timeout", handler: answer(http.StatusGatewayTimeout, ""), want: unknown},
		{name: "no offset", handler: answer(http.StatusOK, `{}`), want: unknown},
		{name: "not JSON", handler: answer(http.StatusOK, `offset 7`), want: unknown},
		{name: "cut", handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, want: unknown},
		{name: "too slow", handler: neverAnswers, want: unknown},
		{name: "down", want: unavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			if c.handler == nil {
				server.Close()
			}
			client, closeClient, err := New(strings.TrimPrefix(server.URL, "http://"))
			assert.NilError(t, err)
			defer closeClient()
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			offset, err := client.Append(ctx, "claims", []byte("x"))
			var (
				unavailableError *kernel.LogUnavailableError
				limitedError     *kernel.RateLimitedError
				unknownError     *kernel.AppendOutcomeUnknownError
			)
			assert.Equal(t, errors.As(err, &unavailableError), c.want == unavailable, "%v", err)
			assert.Equal(t, errors.As(err, &limitedError), c.want == limited, "%v", err)
			assert.Equal(t, errors.As(err, &unknownError), c.want == unknown, "%v", err)
			assert.Equal(t, offset == 7, c.want == done)
		})
	}
}
