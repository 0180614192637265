package sender

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"coltsfootplank/loadgen/internal/planner"
)

// Limits on the size of an answer that isn't a stream, and of one event of a stream.
const (
	maxBodyBytes  = 4 << 20
	maxEventBytes = 1 << 20
)

// requestIDHeader is the header of every answer that carries the id that the router gave to the request.
const requestIDHeader = "X-Request-Id"

// errorBody is the body of error answers of the routers. It is also the data of the last event of a failed stream.
type errorBody struct {
	Error *struct {
		Outcome string `json:"outcome"`
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// readAnswer reads an answer to its end and checks it.
func readAnswer(request planner.Request, response *http.Response, arrival time.Time) Result {
	streamed := strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
	var result Result
	if request.Work.Kind == planner.KindStream && response.StatusCode == http.StatusOK && streamed {
		result = readStream(request, response, arrival)
	} else {
		result = readBody(request, response)
	}
	result.RequestID = response.Header.Get(requestIDHeader)
	if result.RequestID == "" && !result.Outcome.Lost() {
		result.Outcome, result.Detail = Corrupt, "no "+requestIDHeader+" header"
	}
	return result
}

// readBody reads an answer that isn't a stream, which is a service's answer or an error.
func readBody(request planner.Request, response *http.Response) Result {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return Result{Outcome: ConnectionLost, Detail: err.Error()}
	}
	var refusal errorBody
	if response.StatusCode >= http.StatusBadRequest {
		if json.Unmarshal(body, &refusal) != nil || refusal.Error == nil || refusal.Error.Outcome == "" {
			return Result{Outcome: Failed, Code: fmt.Sprintf("status_%d", response.StatusCode), Detail: string(body)}
		}
		return refusal.result()
	}
	if request.Work.Kind == planner.KindStream {
		return Result{Outcome: Corrupt, Detail: "the answer is not an event stream"}
	}
	if detail := echoMismatch(request, response, body); detail != "" {
		return Result{Outcome: Corrupt, Detail: detail}
	}
	return Result{Outcome: Good}
}

// echoMismatch returns a description of how the request id or body hash that a service echoes differs from that of the
// request, or an empty string. Services that echo neither can't be checked.
func echoMismatch(request planner.Request, response *http.Response, body []byte) string {
	var echo struct {
		RequestID string `json:"request_id"`
		BodyHash  string `json:"body_hash"`
	}
	// An answer that isn't JSON echoes nothing.
	_ = json.Unmarshal(body, &echo)
	if id := response.Header.Get(requestIDHeader); echo.RequestID != "" && echo.RequestID != id {
		return fmt.Sprintf("answer to request %q instead of %q", echo.RequestID, id)
	}
	if hash := fmt.Sprintf("%016x", xxhash.Sum64(serviceBody(request))); echo.BodyHash != "" && echo.BodyHash != hash {
		return fmt.Sprintf("answer to a body with hash %s instead of %s", echo.BodyHash, hash)
	}
	return ""
}

// result returns the result of a request that ended with this error.
func (b errorBody) result() Result {
	result := Result{Outcome: Failed, Code: b.Error.Code, Detail: b.Error.Message}
	switch {
	case b.Error.Code == "stream_truncated":
		result.Outcome = Truncated
	case b.Error.Outcome == string(NotRun):
		result.Outcome = NotRun
	case b.Error.Outcome == string(Unknown):
		result.Outcome = Unknown
	}
	return result
}
