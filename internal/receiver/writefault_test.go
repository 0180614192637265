package receiver

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/holder"
	"coltsfootplank/internal/kernel"
)

var errWriteFailed = errors.New("write failed")

// failingWriter fails one write after half of its bytes. It records what is written afterwards.
type failingWriter struct {
	http.ResponseWriter
	failAt int
	writes int
	heads  int
	failed bool
	late   []string
}

func (w *failingWriter) WriteHeader(status int) {
	w.heads++
	if w.failed {
		w.late = append(w.late, fmt.Sprintf("head %d", status))
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *failingWriter) Write(data []byte) (int, error) {
	if w.failed {
		w.late = append(w.late, string(data))
	}
	w.writes++
	if w.writes <= w.failAt {
		return w.ResponseWriter.Write(data)
	}
	w.failAt, w.failed = 1<<30, true
	n, err := w.ResponseWriter.Write(data[:len(data)/2])
	if err != nil {
		return n, err
	}
	return n, errWriteFailed
}

func (w *failingWriter) Flush() {}

// answerTokens writes a stream of n tokens with its end.
func answerTokens(n int) func(holder.Answer) error {
	return func(answer holder.Answer) error {
		for index := range n {
			if err := answer.Token(kernel.Frame{Index: index, Token: tokenText(index)}); err != nil {
				return err
			}
		}
		return answer.Finish(n)
	}
}

func answerStored(answer holder.Answer) error {
	return answer.Response(kernel.ServiceResponse{Status: http.StatusCreated, Body: []byte(strings.Repeat("booked ", 9))})
}

// TestWriteFails guards against a second head, a refusal or a regular end after a write of the answer has failed in the
// middle.
func TestWriteFails(t *testing.T) {
	const booking, chat = "/v1/bookings", "/v1/chat/completions"
	plain := strings.Replace(chatBody, `"stream":true`, `"stream":false`, 1)
	cases := []struct {
		name, path, body string
		answer           func(holder.Answer) error
		writes           int
	}{
		{"service", booking, "{}", answerStored, 1},
		{"stored result of a stream", chat, chatBody, answerStored, 1},
		{"stored result of a completion", chat, plain, answerStored, 1},
		{"stream", chat, chatBody, answerTokens(2), 4},
		{"completion", chat, plain, answerTokens(2), 1},
	}
	for _, c := range cases {
		for failAt := range c.writes {
			t.Run(fmt.Sprintf("%s/%d", c.name, failAt), func(t *testing.T) {
				server := &fakeServer{answer: func(request *holder.Request) *holder.Refusal {
					assert.Assert(t, c.answer(request.Answer) != nil)
					return &holder.Refusal{Outcome: holder.OutcomeUnknown, Code: holder.CodeCallerGone}
				}}
				request := httptest.NewRequest(http.MethodPost, c.path, strings.NewReader(c.body))
				request.Header.Set(headerAuthorization, "Bearer key1")
				request.Header.Set(headerKey, "k")
				writer := &failingWriter{ResponseWriter: httptest.NewRecorder(), failAt: failAt}
				aborted := serveAborted(newTestReceiver(t, server).Handler(), writer, request)
				assert.Assert(t, writer.failed)
				assert.Equal(t, len(writer.late), 0, "%q", writer.late)
				assert.Assert(t, writer.heads <= 1, "%d heads", writer.heads)
				assert.Assert(t, aborted, "the answer has a regular end")
			})
		}
	}
}

// serveAborted serves a request and reports whether the handler aborted the connection.
func serveAborted(handler http.Handler, w http.ResponseWriter, request *http.Request) (aborted bool) {
	defer func() {
		if reason := recover(); reason != nil {
			aborted = reason == http.ErrAbortHandler //nolint:errorlint // The server compares it in this way, too.
		}
	}()
	handler.ServeHTTP(w, request)
	return false
}

// TestRefusedAfterAnswer guards against a refusal or a stored result inside an answer that has begun.
func TestRefusedAfterAnswer(t *testing.T) {
	refusal := &holder.Refusal{Outcome: holder.OutcomeUnknown, Code: holder.CodeUpstreamLost, Message: "lost"}
	plain := strings.Replace(chatBody, `"stream":true`, `"stream":false`, 1)
	cases := []struct {
		name, path, body string
		tokens           int
		stored           bool
		status           int
		aborted          bool
	}{
		{"stream without tokens", "/v1/chat/completions", chatBody, 0, false, http.StatusBadGateway, false},
		{"stream with a token", "/v1/chat/completions", chatBody, 1, false, http.StatusOK, false},
		{"stream with tokens", "/v1/chat/completions", chatBody, 5, false, http.StatusOK, false},
		{"completion without tokens", "/v1/chat/completions", plain, 0, false, http.StatusBadGateway, false},
		{"completion with tokens", "/v1/chat/completions", plain, 5, false, http.StatusBadGateway, false},
		{"stored result after tokens", "/v1/chat/completions", chatBody, 2, true, http.StatusOK, false},
		{"service without an answer", "/v1/bookings", "{}", 0, false, http.StatusBadGateway, false},
		{"service with an answer", "/v1/bookings", "{}", 0, true, http.StatusCreated, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := &fakeServer{answer: func(request *holder.Request) *holder.Refusal {
				for index := range c.tokens {
					assert.NilError(t, request.Answer.Token(kernel.Frame{Index: index, Token: "a"}))
				}
				if c.stored {
					_ = answerStored(request.Answer) // An error is what a stored result after tokens should give.
				}
				return refusal
			}}
			request := httptest.NewRequest(http.MethodPost, c.path, strings.NewReader(c.body))
			request.Header.Set(headerAuthorization, "Bearer key1")
			request.Header.Set(headerKey, "k")
			recorded := httptest.NewRecorder()
			writer := &failingWriter{ResponseWriter: recorded, failAt: 1 << 30}
			assert.Equal(t, serveAborted(newTestReceiver(t, server).Handler(), writer, request), c.aborted)
			text := recorded.Body.String()
			assert.Equal(t, recorded.Code, c.status)
			assert.Assert(t, writer.heads <= 1, "%d heads", writer.heads)
			assert.Equal(t, strings.Contains(text, "booked"), c.aborted, "%s", text)
			assert.Equal(t, strings.Contains(text, `"outcome"`), !c.aborted, "%s", text)
			assert.Assert(t, !strings.Contains(text, doneMarker), "%s", text)
			if recorded.Code == http.StatusOK {
				assert.Equal(t, strings.Count(text, `"finish_reason":null`), c.tokens, "%s", text)
				assert.Equal(t, strings.Count(text, "event: error\n"), 1, "%s", text)
			}
		})
	}
}
