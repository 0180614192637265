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

// Bounds of what is read of one answer.
const (
	maxBodyBytes  = 4 << 20
	maxEventBytes = 1 << 20
)

// requestIDHeader carries the router's id of the request on every answer.
const requestIDHeader = "X-Request-Id"

// problem is the error body of the routers, also sent as the last event of a failed stream.
type problem struct {
	Error *struct {
		Outcome string `json:"outcome"`
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

func read(request planner.Request, response *http.Response, arrival time.Time) Result {
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

// readBody reads an answer that isn't a stream: a service's answer, or an error.
func readBody(request planner.Request, response *http.Response) Result {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return Result{Outcome: ConnectionLost, Detail: err.Error()}
	}
	var refusal problem
	if response.StatusCode >= http.StatusBadRequest {
		if json.Unmarshal(body, &refusal) != nil || refusal.Error == nil || refusal.Error.Outcome == "" {
			return Result{Outcome: Failed, Code: fmt.Sprintf("status_%d", response.StatusCode), Detail: string(body)}
		}
		return refusal.result()
	}
	if request.Work.Kind == planner.KindStream {
		return Result{Outcome: Corrupt, Detail: "the answer is not an event stream"}
	}
	if detail := foreignAnswer(request, response, body); detail != "" {
		return Result{Outcome: Corrupt, Detail: detail}
	}
	return Result{Outcome: Good}
}

// foreignAnswer says why a service's answer belongs to another request. Services that repeat neither the request
// id nor the hash of the body can't be checked.
func foreignAnswer(request planner.Request, response *http.Response, body []byte) string {
	var echo struct {
		RequestID string `json:"request_id"`
		BodyHash  string `json:"body_hash"`
	}
	// An answer that isn't JSON repeats nothing.
	_ = json.Unmarshal(body, &echo)
	if id := response.Header.Get(requestIDHeader); echo.RequestID != "" && echo.RequestID != id {
		return fmt.Sprintf("answer to request %q instead of %q", echo.RequestID, id)
	}
	if hash := fmt.Sprintf("%016x", xxhash.Sum64(serviceBody(request))); echo.BodyHash != "" && echo.BodyHash != hash {
		return fmt.Sprintf("answer to a body with hash %s instead of %s", echo.BodyHash, hash)
	}
	return ""
}

// result maps the routers' error body to an outcome.
func (p problem) result() Result {
	result := Result{Outcome: Failed, Code: p.Error.Code, Detail: p.Error.Message}
	switch {
	case p.Error.Code == "stream_truncated":
		result.Outcome = Truncated
	case p.Error.Outcome == string(NotRun):
		result.Outcome = NotRun
	case p.Error.Outcome == string(Unknown):
		result.Outcome = Unknown
	}
	return result
}

// chunk is one event of a stream. Index is the token index; on the event with the finish reason it is the number
// of tokens.
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

func (c chunk) token() bool { return len(c.Choices) > 0 && c.Choices[0].Delta.Content != "" }

func (c chunk) finish() bool { return len(c.Choices) > 0 && c.Choices[0].FinishReason != nil }

// markedToken matches the tokens of the stand-in, which name the digest of the prompt and the token index. Tokens
// of other engines are checked by their index only.
var markedToken = regexp.MustCompile(`^[0-9a-f]{8}\.[0-9]+ $`)

// readStream reads a stream to its end. It is whole only if each token index came once and in order, all events
// carry the id of this request, no token answers another prompt, and the end mark was seen.
func readStream(request planner.Request, response *http.Response, arrival time.Time) Result {
	const endMark = "[DONE]"
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
			return endedByError(result, event.Data)
		}
		if event.Data == endMark {
			return endedWhole(result, request)
		}
		var got chunk
		if err := json.Unmarshal([]byte(event.Data), &got); err != nil {
			return corrupt(result, "event is not JSON: "+err.Error())
		}
		if got.ID != id && got.ID != "chatcmpl-"+id {
			return corrupt(result, fmt.Sprintf("event of request %q in the stream of %q", got.ID, id))
		}
		if !got.token() && got.finish() && got.Index != nil && *got.Index != result.Tokens {
			return corrupt(result, fmt.Sprintf("%d of %d tokens seen", result.Tokens, *got.Index))
		}
		if !got.token() {
			continue
		}
		if got.Index == nil || *got.Index != result.Tokens {
			return corrupt(result, fmt.Sprintf("token %d expected in %s", result.Tokens, event.Data))
		}
		if text := got.Choices[0].Delta.Content; markedToken.MatchString(text) && text != digest+strconv.Itoa(result.Tokens)+" " {
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

func endedByError(result Result, data string) Result {
	var failure problem
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

func endedWhole(result Result, request planner.Request) Result {
	if result.Tokens == 0 || request.Work.ExactOutput && result.Tokens != request.OutputTokens {
		return corrupt(result, fmt.Sprintf("end mark after %d of %d tokens", result.Tokens, request.OutputTokens))
	}
	result.Outcome, result.Detail = Good, ""
	return result
}
