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
	workspace  = "caruaru"
	bearerKey  = "scenario-key"
	unreached  = "unreached"
	answerTime = 2 * time.Minute
)

// answer is what one caller got. Group names the "send" that it belongs to.
type answer struct {
	checker.Reply
	Group string
	// Echo is the request id that a service's answer repeats; a repeat with the same key gets that of the first run.
	Echo string
	// Detail explains an answer that isn't whole.
	Detail string
	// Unreached is set if the router accepted no connection.
	Unreached bool
	Took      time.Duration
	order     order
}

// judged returns the reply with a foreign answer marked: its echo names a request that has another key.
func (a answer) judged(all []answer) checker.Reply {
	reply := a.Reply
	own := a.Echo == "" || a.Echo == a.RequestID
	for i := 0; i < len(all) && !own; i++ {
		own = a.Key != "" && all[i].Key == a.Key && all[i].RequestID == a.Echo
	}
	if !own {
		reply.ForeignID = a.Echo
	}
	return reply
}

// is says whether the answer counts under a word of "expect": whole, cut, unreached, an outcome or a code.
func (a answer) is(word string) bool {
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

// order is one request to send.
type order struct {
	group, router, work, key, body, prompt string
	tokens                                 int
}

// services maps the works without a token stream to their methods and paths.
var services = map[string][2]string{"booking": {"POST", "/v1/bookings"}, "status": {"GET", "/v1/status"}}

// callers gives each request a connection of its own, so that it is never sent again by the client.
var callers = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: answerTime}

func (w *world) send(o order) answer {
	_, unary := services[o.work]
	a := answer{Group: o.group, Reply: checker.Reply{
		Workspace: workspace, Work: o.work, Key: o.key, Idempotent: o.work != "booking", Stream: !unary, Router: o.router,
	}}
	defer func() { a.At = time.Now() }()
	method, path, body := "POST", "/v1/chat/completions", o.body
	if unary {
		method, path = services[o.work][0], services[o.work][1]
	} else {
		text, _ := json.Marshal(map[string]any{
			"model": o.work, "stream": true, "max_tokens": o.tokens,
			"messages": []map[string]string{{"role": "user", "content": o.prompt}},
		})
		body = string(text)
	}
	url := "http://" + address(w.routerPort(portCallers, o.router)) + path
	request, err := http.NewRequestWithContext(w.ctx, method, url, strings.NewReader(body))
	if err != nil {
		a.Detail = err.Error()
		return a
	}
	request.Header.Set("Authorization", "Bearer "+bearerKey)
	request.Header.Set("Content-Type", "application/json")
	if o.key != "" {
		request.Header.Set("Idempotency-Key", o.key)
	}
	response, err := callers.Do(request)
	if err != nil {
		var dial *net.OpError
		a.Unreached = errors.As(err, &dial) && dial.Op == "dial"
		a.Cut, a.Detail = !a.Unreached, err.Error()
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.RequestID = response.Header.Get("X-Request-Id")
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		w.readStream(&a, response, o)
	} else {
		a.readBody(response, body)
	}
	return a
}

// problem is the error body of a router, also the last event of a failed stream.
type problem struct {
	Error struct {
		Outcome string `json:"outcome"`
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

func (a *answer) refused(data []byte) {
	var p problem
	if json.Unmarshal(data, &p) != nil || p.Error.Outcome == "" {
		a.Outcome, a.Detail = "malformed", string(data)
		return
	}
	a.Outcome, a.Code, a.Detail = p.Error.Outcome, p.Error.Code, p.Error.Message
}

func (a *answer) readBody(response *http.Response, sent string) {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		a.Cut, a.Detail = true, err.Error()
		return
	}
	if response.StatusCode != http.StatusOK {
		a.refused(data)
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
	a.Whole, a.Echo = true, echo.RequestID
	if want := fmt.Sprintf("%016x", xxhash.Sum64String(sent)); echo.BodyHash != want {
		a.ForeignID = "body " + echo.BodyHash
	}
}

// readStream reads a stream to its end mark. Each token names the prompt that it answers.
func (w *world) readStream(a *answer, response *http.Response, o order) {
	a.Cut, a.Detail = true, "the stream has no end mark"
	mark := fmt.Sprintf("%08x.", uint32(xxhash.Sum64String(o.prompt)))
	for event, err := range sse.Read(response.Body, nil) {
		if err != nil {
			a.Detail = err.Error()
			return
		}
		if event.Type == "error" {
			a.Cut = false
			a.refused([]byte(event.Data))
			return
		}
		if event.Data == "[DONE]" {
			a.Cut, a.Whole, a.Detail = false, true, ""
			if len(a.Tokens) != o.tokens {
				a.Whole, a.Outcome, a.Detail = false, "malformed", fmt.Sprintf("%d of %d tokens", len(a.Tokens), o.tokens)
			}
			return
		}
		var got struct {
			ID      string `json:"id"`
			Index   int    `json:"index"`
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
				FinishReason *string `json:"finish_reason"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(event.Data), &got); err != nil || len(got.Choices) == 0 {
			a.Cut, a.Outcome, a.Detail = false, "malformed", event.Data
			return
		}
		text := got.Choices[0].Delta.Content
		if got.ID != a.RequestID || text != "" && !strings.HasPrefix(text, mark) {
			a.ForeignID = got.ID + " " + text
		}
		if got.Choices[0].FinishReason != nil {
			a.Total = got.Index
			continue
		}
		a.Tokens = append(a.Tokens, got.Index)
		w.mu.Lock()
		w.progress[o.group]++
		w.mu.Unlock()
	}
}
