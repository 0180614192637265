package requester

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/fakes"
	"coltsfootplank/internal/kernel"
)

// TestEndlessAnswer guards against an answer that doesn't end, such as a load report, using up the memory or holding its
// reader.
func TestEndlessAnswer(t *testing.T) {
	const okLine = "HTTP/1.1 200 OK\r\n"
	cases := []struct {
		name, prefix, unit string
	}{
		{"header line", okLine + "A: ", "x"},
		{"header lines", okLine, "A: b\r\n"},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		{"body", okLine + "\r\n", " "},
		{"chunks", okLine + "Transfer-Encoding: chunked\r\n\r\n", "5\r\n     \r\n"},
		{"chunk extension", okLine + "Transfer-Encoding: chunked\r\n\r\n", "5;a"},
		{"trailer", okLine + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n", "A: b\r\n"},
		{"body of an error", "HTTP/1.1 503 Service Unavailable\r\n\r\n", "x"},
	}
	for _, c := range cases {
		for _, newConnection := range []bool{false, true} {
			t.Run(c.name, func(t *testing.T) {
				u, closeUpstream, err := fakes.NewEndlessUpstream(c.prefix, c.unit, 0)
				assert.NilError(t, err)
				defer closeUpstream()
				start := time.Now()
				var report kernel.LoadReport
				err = newTestClient(t, u.Address).Fetch(t.Context(), Request{Method: http.MethodGet, Path: "/", NewConnection: newConnection}, &report)
				elapsed := time.Since(start)
				var lost *kernel.ConnectionLostError
				assert.Assert(t, errors.As(err, &lost), "%v", err)
				assert.Assert(t, u.Written() < fakes.MaxBufferedBytes, "%d bytes written", u.Written())
				assert.Assert(t, elapsed < CallTimeout/4, "took %s", elapsed)
			})
		}
	}
}

// TestAnswerLimit guards against reading more of an answer than a request allows, and against rejecting an answer within
// the limit.
func TestAnswerLimit(t *testing.T) {
	server := newFaultyServer(t, func() behaviour { return answerAndKeep })
	client := newTestClient(t, server.address)
	for _, limit := range []int64{1, 2, 0} {
		answer, err := client.Do(t.Context(), Request{Method: http.MethodGet, Path: "/", MaxAnswerBytes: limit})
		var tooLarge *AnswerTooLargeError
		assert.Equal(t, errors.As(err, &tooLarge), limit == 1, "%v", err)
		assert.Equal(t, string(answer.Body) == "ok", limit != 1)
	}
}
