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
// events carry the id of this request, no token belongs to another prompt, and the stream ends with a finish reason and
// the [DONE] event. Nothing may follow the end of a stream.
func readStream(request planner.Request, response *http.Response, arrival time.Time) Result {
	reader := newStreamReader(request, response, arrival)
	body := &tailReader{Reader: response.Body}
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil && reader.ended {
			return reader.result
		}
		if err != nil {
			reader.result.Detail = err.Error()
			return reader.result
		}
		if reader.ended {
			return corrupt(reader.result, "event after the end: "+event.Data)
		}
		if !reader.accept(event) {
			return reader.result
		}
	}
	if reader.ended && !body.endsWithBlankLine() {
		return corrupt(reader.result, "bytes after the end")
	}
	return reader.result
}

func corrupt(result Result, detail string) Result {
	result.Outcome, result.Code, result.Detail = Corrupt, "", detail
	return result
}

// streamReader checks the events of one stream. ended is set by the event that ends the stream, and finished by the
// finish reason before it.
type streamReader struct {
	request  planner.Request
	id       string
	digest   string
	arrival  time.Time
	last     time.Time
	finished bool
	ended    bool
	result   Result
}

func newStreamReader(request planner.Request, response *http.Response, arrival time.Time) *streamReader {
	return &streamReader{
		request: request, id: response.Header.Get(requestIDHeader), arrival: arrival,
		digest: fmt.Sprintf("%08x.", uint32(xxhash.Sum64String(request.Prefix+request.Prompt))),
		result: Result{Outcome: ConnectionLost, Detail: "the stream has no end mark"},
	}
}

// accept checks one event and returns false if the stream is corrupt.
func (r *streamReader) accept(event sse.Event) bool {
	const doneEvent = "[DONE]"
	switch {
	case event.Type == "error":
		r.ended = true
		r.result = errorEventResult(r.result, event.Data)
	case event.Data == doneEvent:
		r.ended = true
		r.result = r.doneEventResult()
	default:
		if detail := r.acceptChunk(event.Data); detail != "" {
			r.result = corrupt(r.result, detail)
		}
	}
	return r.result.Outcome != Corrupt
}

// acceptChunk checks an event with a token or with the finish reason. It returns what is wrong with it.
func (r *streamReader) acceptChunk(data string) string {
	var got chunk
	if err := json.Unmarshal([]byte(data), &got); err != nil {
		return "event is not JSON: " + err.Error()
	}
	if got.ID != r.id && got.ID != "chatcmpl-"+r.id {
		return fmt.Sprintf("event of request %q in the stream of %q", got.ID, r.id)
	}
	if r.finished {
		return "event after the finish reason: " + data
	}
	r.finished = got.hasFinishReason()
	if !got.hasToken() && got.hasFinishReason() && got.Index != nil && *got.Index != r.result.Tokens {
		return fmt.Sprintf("%d of %d tokens seen", r.result.Tokens, *got.Index)
	}
	if !got.hasToken() {
		return ""
	}
	if got.Index == nil || *got.Index != r.result.Tokens {
		return fmt.Sprintf("token %d expected in %s", r.result.Tokens, data)
	}
	text := got.Choices[0].Delta.Content
	if standinToken.MatchString(text) && text != r.digest+strconv.Itoa(r.result.Tokens)+" " {
		return fmt.Sprintf("token %d of prompt %s expected, got %q", r.result.Tokens, r.digest, text)
	}
	r.countToken(time.Now())
	return ""
}

func (r *streamReader) countToken(now time.Time) {
	if r.result.Tokens == 0 {
		r.result.FirstToken = now.Sub(r.arrival)
	} else {
		r.result.Gaps = append(r.result.Gaps, now.Sub(r.last))
	}
	r.last = now
	r.result.Tokens++
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
func (r *streamReader) doneEventResult() Result {
	result, want := r.result, r.request.OutputTokens
	if result.Tokens == 0 || r.request.Work.ExactOutput && result.Tokens != want {
		return corrupt(result, fmt.Sprintf("end mark after %d of %d tokens", result.Tokens, want))
	}
	if !r.finished {
		return corrupt(result, fmt.Sprintf("end mark without a finish reason after %d tokens", result.Tokens))
	}
	result.Outcome, result.Detail = Good, ""
	return result
}

// tailReader remembers the last bytes that were read.
type tailReader struct {
	io.Reader
	tail string
}

// Read reads from the embedded reader.
func (r *tailReader) Read(data []byte) (int, error) {
	n, err := r.Reader.Read(data)
	const tailBytes = 4
	r.tail += string(data[max(n-tailBytes, 0):n])
	r.tail = r.tail[max(len(r.tail)-tailBytes, 0):]
	return n, err
}

// endsWithBlankLine reports whether what was read ends with the end of an event.
func (r *tailReader) endsWithBlankLine() bool {
	return strings.HasSuffix(strings.ReplaceAll(r.tail, "\r", ""), "\n\n")
}
