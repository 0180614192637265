package scenarios

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tmaxmax/go-sse"

	"coltsfootplank/internal/checker"
)

const (
	workspace     = "caruaru"
	bearerKey     = "scenario-key"
	unreached     = "unreached"
	answerTimeout = 2 * time.Minute
)

// answer is what one caller received. Group is the group of the "send" command that the request belongs to.
type answer struct {
	checker.Answer
	Group string
	// EchoedID is the request id in a service's answer. A repeat with the same idempotency key gets the id of the
	// request that ran.
	EchoedID string
	// Detail explains why an answer isn't whole.
	Detail string
	// Unreached is set if the router did not accept the connection.
	Unreached bool
	Elapsed   time.Duration
	spec      requestSpec
}

// checkedReply returns the reply, with ForeignID set if the echoed request id is neither its own nor that of a request
// with the same idempotency key.
func (a answer) checkedReply(all []answer) checker.Answer {
	reply := a.Answer
	belongs := a.EchoedID == "" || a.EchoedID == a.RequestID
	for i := 0; i < len(all) && !belongs; i++ {
		belongs = a.Key != "" && all[i].Key == a.Key && all[i].RequestID == a.EchoedID
	}
	if !belongs {
		reply.ForeignID = a.EchoedID
	}
	return reply
}

// matches reports whether the answer counts for a word of the command "expect": whole, cut, unreached, an outcome or a
// code.
func (a answer) matches(word string) bool {
	switch word {
	case "whole":
		return a.Whole
	case "cut":
		return a.Cut
	case unreached:
		return a.Unreached
	}
	return a.Outcome == word || a.Code == word
}

// requestSpec describes a request to send.
type requestSpec struct {
	group, router, work, key, body, prompt string
	tokens                                 int
}

// unaryRoutes maps the kinds of work without a token stream to their methods and paths.
var unaryRoutes = map[string][2]string{"booking": {"POST", "/v1/bookings"}, "status": {"GET", "/v1/status"}}

// callerClient sends the requests of callers. Each request has its own connection, because net/http may resend a request
// when a reused connection fails.
var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: answerTimeout}

// send sends a request and reads its answer to the end.
func (s *scenario) send(spec requestSpec) answer {
	_, unary := unaryRoutes[spec.work]
	a := answer{Group: spec.group, Answer: checker.Answer{
		Workspace: workspace, Work: spec.work, Key: spec.key, Idempotent: spec.work != "booking", Stream: !unary,
		Router: spec.router,
	}}
	defer func() { a.At = time.Now() }()
	method, path, body := "POST", "/v1/chat/completions", spec.body
	if unary {
		method, path = unaryRoutes[spec.work][0], unaryRoutes[spec.work][1]
	} else {
		text, _ := json.Marshal(map[string]any{
			"model": spec.work, "stream": true, "max_tokens": spec.tokens,
			"messages": []map[string]string{{"role": "user", "content": spec.prompt}},
		})
		body = string(text)
	}
	url := "http://" + address(s.routerPort(portCallers, spec.router)) + path
	request, err := http.NewRequestWithContext(s.ctx, method, url, strings.NewReader(body))
	if err != nil {
		a.Detail = err.Error()
		return a
	}
	request.Header.Set("Authorization", "Bearer "+bearerKey)
	request.Header.Set("Content-Type", "application/json")
	if spec.key != "" {
		request.Header.Set("Idempotency-Key", spec.key)
	}
	response, err := callerClient.Do(request)
	if err != nil {
		var netErr *net.OpError
		a.Unreached = errors.As(err, &netErr) && netErr.Op == "dial"
		a.Cut, a.Detail = !a.Unreached, err.Error()
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.RequestID = response.Header.Get("X-Request-Id")
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		s.readStream(&a, response, spec)
	} else {
		a.readBody(response, body)
	}
	return a
}

// errorBody is the body of an error response of a router, and the data of the last event of a failed stream.
type errorBody struct {
	Error struct {
		Outcome string `json:"outcome"`
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// setRefusal sets the outcome from an error body.
func (a *answer) setRefusal(data []byte) {
	var parsed errorBody
	if json.Unmarshal(data, &parsed) != nil || parsed.Error.Outcome == "" {
		a.Outcome, a.Detail = "malformed", string(data)
		return
	}
	a.Outcome, a.Code, a.Detail = parsed.Error.Outcome, parsed.Error.Code, parsed.Error.Message
}

func (a *answer) readBody(response *http.Response, sent string) {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		a.Cut, a.Detail = true, err.Error()
		return
	}
	if response.StatusCode != http.StatusOK {
		a.setRefusal(data)
		return
	}
	var echo struct {
		RequestID string `json:"request_id"`
		BodyHash  string `json:"body_hash"`
	}
	if err := json.Unmarshal(data, &echo); err != nil || a.Stream {
		a.Outcome, a.Detail = "malformed", string(data)
		return
	}
	a.Whole, a.EchoedID = true, echo.RequestID
	if want := fmt.Sprintf("%016x", xxhash.Sum64String(sent)); echo.BodyHash != want {
		a.ForeignID = "body " + echo.BodyHash
	}
}

// readStream reads a stream up to its end marker. Each token begins with a hash of the prompt, which shows whether it
// belongs to this request.
func (s *scenario) readStream(a *answer, response *http.Response, spec requestSpec) {
	a.Cut, a.Detail = true, "the stream has no end marker"
	tokenPrefix := fmt.Sprintf("%08x.", uint32(xxhash.Sum64String(spec.prompt)))
	for event, err := range sse.Read(response.Body, nil) {
		if err != nil {
			a.Detail = err.Error()
			return
		}
		if event.Type == "error" {
			a.Cut = false
			a.setRefusal([]byte(event.Data))
			return
		}
		if event.Data == "[DONE]" {
			a.Cut, a.Whole, a.Detail = false, true, ""
			if len(a.Tokens) != spec.tokens {
				a.Whole, a.Outcome, a.Detail = false, "malformed", fmt.Sprintf("%d of %d tokens", len(a.Tokens), spec.tokens)
			}
			return
		}
		var chunk struct {
			ID      string `json:"id"`
			Index   int    `json:"index"`
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
				FinishReason *string `json:"finish_reason"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil || len(chunk.Choices) == 0 {
			a.Cut, a.Outcome, a.Detail = false, "malformed", event.Data
			return
		}
		text := chunk.Choices[0].Delta.Content
		if chunk.ID != a.RequestID || text != "" && !strings.HasPrefix(text, tokenPrefix) {
			a.ForeignID = chunk.ID + " " + text
		}
		if chunk.Choices[0].FinishReason != nil {
			a.Total = chunk.Index
			continue
		}
		a.Tokens = append(a.Tokens, chunk.Index)
		s.mu.Lock()
		s.tokensReceived[spec.group]++
		s.mu.Unlock()
	}
}
