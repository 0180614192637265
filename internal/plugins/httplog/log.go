// Package httplog implements the log protocol over HTTP.
package httplog

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/plugins/requester"
)

// Name is the name of this plug-in in the registry of log protocols.
const Name = "httplog"

// answerTimeout is the timeout of an append, and of a read in addition to its wait. It is long because the log can be slow
// for long periods; callers that can't wait set a shorter deadline.
const answerTimeout = 10 * time.Second

// maxPageBytes is the size limit of the answer to a read. A page that exceeds it could never be read.
const maxPageBytes = 64 << 20

func init() {
	kernel.Logs.Register(Name, New)
}

// Log is a client of the log service.
type Log struct {
	client *requester.Client
}

// MissingOffsetError reports that the answer to an accepted append lacks the offset.
type MissingOffsetError struct{}

func (*MissingOffsetError) Error() string { return "read append answer: no offset" }

// New returns a client of the log at "ip:port". Errors: *requester.InvalidAddressError.
func New(address string) (kernel.LogProtocol, func(), error) {
	client, closeClient, err := requester.New(address)
	if err != nil {
		return nil, nil, err
	}
	return &Log{client: client}, closeClient, nil
}

// Append adds one record. See kernel.LogProtocol for the errors.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	answer, err := l.client.Do(ctx, requester.Request{
		Method: http.MethodPost, Path: streamPath(stream) + "/append", ContentType: "application/octet-stream",
		Body: data,
	})
	var unsent *kernel.NotSentError
	switch {
	case errors.As(err, &unsent):
		return 0, &kernel.LogUnavailableError{Operation: "append", Cause: err}
	case err != nil:
		return 0, &kernel.AppendOutcomeUnknownError{Stream: stream, Cause: err}
	case answer.Status == http.StatusOK:
		return l.parseOffset(stream, answer)
	case answer.Status == http.StatusTooManyRequests:
		return 0, &kernel.RateLimitedError{Operation: "append to log"}
	case hadNoEffect(answer.Status):
		return 0, &kernel.LogUnavailableError{Operation: "append", Cause: l.client.Rejection(answer)}
	}
	return 0, &kernel.AppendOutcomeUnknownError{Stream: stream, Cause: l.client.Rejection(answer)}
}

// parseOffset returns the offset in the answer to an accepted append.
func (l *Log) parseOffset(stream string, answer requester.Answer) (int64, error) {
	var body struct {
		Offset *int64 `json:"offset"`
	}
	err := l.client.Decode(answer, &body)
	if err == nil && body.Offset == nil {
		err = &MissingOffsetError{}
	}
	if err != nil {
		return 0, &kernel.AppendOutcomeUnknownError{Stream: stream, Cause: err}
	}
	return *body.Offset, nil
}

// hadNoEffect reports whether the status of an append means that nothing was appended: an outage (503) or a client error.
func hadNoEffect(status int) bool {
	return status == http.StatusServiceUnavailable ||
		status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// Read returns records starting at an offset. Errors: *kernel.TrimmedError, *kernel.LogUnavailableError.
func (l *Log) Read(
	ctx context.Context, stream string, from int64, limit int, wait time.Duration,
) (kernel.LogPage, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	path := fmt.Sprintf("%s?from=%d&max=%d&wait_ms=%d", streamPath(stream), from, limit, wait.Milliseconds())
	answer, err := l.client.Do(ctx, requester.Request{Method: http.MethodGet, Path: path, MaxAnswerBytes: maxPageBytes})
	var page kernel.LogPage
	if err == nil && answer.Status != http.StatusOK && answer.Status != http.StatusGone {
		err = l.client.Rejection(answer)
	}
	if err == nil {
		err = l.client.Decode(answer, &page)
	}
	if err != nil {
		return kernel.LogPage{}, &kernel.LogUnavailableError{Operation: "read", Cause: err}
	}
	if answer.Status == http.StatusGone {
		return kernel.LogPage{}, &kernel.TrimmedError{Stream: stream, First: page.First}
	}
	return page, nil
}

func streamPath(stream string) string { return "/v1/streams/" + url.PathEscape(stream) }
