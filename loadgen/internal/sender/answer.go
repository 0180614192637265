package sender

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tmaxmax/go-sse"

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

// chunk is the data of one event of a stream. Index is the index of the token; in an event with the finish reason and no
// token, it is the number of tokens of the stream.
type chunk struct {
	ID      string `json:"id"`
	Index   *int   `json:"index"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

func (c chunk) hasToken() bool { return len(c.Choices) > 0 && c.Choices[0].Delta.Content != "" }

func (c chunk) hasFinishReason() bool { return len(c.Choices) > 0 && c.Choices[0].FinishReason != nil }

// standinToken matches the tokens of stand-in engines, which consist of the digest of the prompt and the token index.
// Tokens of other engines are checked by their index only.
var standinToken = regexp.MustCompile(`^[0-9a-f]{8}\.[0-9]+ $`)

// readStream reads a stream to its end. The stream is complete only if each token index occurs once and in order, all
// events carry the id of this request, no token belongs to another prompt, and the stream ends with the [DONE] event.
func readStream(request planner.Request, response *http.Response, arrival time.Time) Result {
	const doneEvent = "[DONE]"
	id := response.Header.Get(requestIDHeader)
	result := Result{Outcome: ConnectionLost, Detail: "the stream has no end mark"}
	digest := fmt.Sprintf("%08x.", uint32(xxhash.Sum64String(request.Prefix+request.Prompt)))
	last := time.Time{}
	for event, err := range sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			result.Detail = err.Error()
			return result
		}
		if event.Type == "error" {
			return errorEventResult(result, event.Data)
		}
		if event.Data == doneEvent {
			return doneEventResult(result, request)
		}
		var got chunk
		if err := json.Unmarshal([]byte(event.Data), &got); err != nil {
			return corrupt(result, "event is not JSON: "+err.Error())
		}
		if got.ID != id && got.ID != "chatcmpl-"+id {
			return corrupt(result, fmt.Sprintf("event of request %q in the stream of %q", got.ID, id))
		}
		if !got.hasToken() && got.hasFinishReason() && got.Index != nil && *got.Index != result.Tokens {
			return corrupt(result, fmt.Sprintf("%d of %d tokens seen", result.Tokens, *got.Index))
		}
		if !got.hasToken() {
			continue
		}
		if got.Index == nil || *got.Index != result.Tokens {
			return corrupt(result, fmt.Sprintf("token %d expected in %s", result.Tokens, event.Data))
		}
		if text := got.Choices[0].Delta.Content; standinToken.MatchString(text) && text != digest+strconv.Itoa(result.Tokens)+" " {
			return corrupt(result, fmt.Sprintf("token %d of prompt %s expected, got %q", result.Tokens, digest, text))
		}
		now := time.Now()
		if result.Tokens == 0 {
			result.FirstToken = now.Sub(arrival)
		} else {
			result.Gaps = append(result.Gaps, now.Sub(last))
		}
		last = now
		result.Tokens++
	}
	return result
}

func corrupt(result Result, detail string) Result {
	result.Outcome, result.Detail = Corrupt, detail
	return result
}

// errorEventResult returns the result of a stream that ended with an error event. A stream with tokens can't end with
// outcome not_run.
func errorEventResult(result Result, data string) Result {
	var failure errorBody
	if err := json.Unmarshal([]byte(data), &failure); err != nil || failure.Error == nil {
		return corrupt(result, "error event without an error: "+data)
	}
	ended := failure.result()
	if ended.Outcome == NotRun && result.Tokens > 0 {
		return corrupt(result, "not_run after a token")
	}
	result.Outcome, result.Code, result.Detail = ended.Outcome, ended.Code, ended.Detail
	return result
}

// doneEventResult returns the result of a stream that ended with the [DONE] event, after a check of its length.
func doneEventResult(result Result, request planner.Request) Result {
	if result.Tokens == 0 || request.Work.ExactOutput && result.Tokens != request.OutputTokens {
		return corrupt(result, fmt.Sprintf("end mark after %d of %d tokens", result.Tokens, request.OutputTokens))
	}
	result.Outcome, result.Detail = Good, ""
	return result
}
