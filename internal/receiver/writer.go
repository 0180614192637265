package receiver

import (
	"net/http"
	"strconv"

	"coltsfootplank/internal/holder"
	"coltsfootplank/internal/kernel"
)

// answerWriter writes one answer. Once a write has failed, nothing follows the part that was written.
type answerWriter struct {
	w         http.ResponseWriter
	requestID string
	// started is set once a part of the answer may have been written, and failed once a write has failed.
	started, failed bool
}

// Response writes the whole answer of a plain service, or the stored result of an earlier request with the same
// idempotency key. Errors: *AnswerStartedError, *WriteError.
func (a *answerWriter) Response(response kernel.ServiceResponse) error {
	if a.started {
		return &AnswerStartedError{RequestID: a.requestID}
	}
	if response.ContentType != "" {
		a.w.Header().Set(headerContentType, response.ContentType)
	}
	a.started = true
	a.setLength(response.Body)
	a.w.WriteHeader(response.Status)
	if err := a.write(response.Body); err != nil {
		return err
	}
	return a.flush()
}

// refuse writes a refusal if nothing was written yet. Otherwise it aborts the connection.
func (a *answerWriter) refuse(refusal *holder.Refusal) {
	if a.started {
		a.abort()
	}
	writeRefusal(a.w, a.requestID, refusal)
}

// abort ends the handler and the connection, so that the caller doesn't take a part of an answer for a complete one.
func (a *answerWriter) abort() { panic(http.ErrAbortHandler) }

func (a *answerWriter) write(data []byte) error {
	a.started = true
	_, err := a.w.Write(data)
	return a.check(err)
}

// setLength states the length of a body. Without it, a caller that uses HTTP/1.0 can't tell a short body from a whole one.
func (a *answerWriter) setLength(body []byte) {
	if len(body) > 0 {
		a.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
}

func (a *answerWriter) flush() error {
	return a.check(http.NewResponseController(a.w).Flush())
}

func (a *answerWriter) check(err error) error {
	if err == nil {
		return nil
	}
	a.failed = true
	return &WriteError{Cause: err}
}
