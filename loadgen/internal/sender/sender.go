// Package sender sends requests to the routers, as a caller behind a load balancer does, and checks that each answer is
// complete and belongs to its request.
package sender

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"coltsfootplank/loadgen/internal/planner"
)

// Sender sends requests. Its methods may be called concurrently.
type Sender struct {
	// runID is appended to the references of requests. Without it, two runs with the same seed would send the same
	// bodies, which look like retries.
	runID   string
	routers []string
	client  *http.Client
	timeout time.Duration
}

// New returns a sender for the routers' addresses and a function that closes its idle connections.
func New(routers []string, answerTimeout time.Duration) (*Sender, func()) {
	transport := newTransport()
	s := &Sender{runID: uuid.NewString(), routers: routers, client: &http.Client{Transport: transport}, timeout: answerTimeout}
	return s, transport.CloseIdleConnections
}

// Transcript is a recorded answer of a router.
type Transcript struct {
	Status int
	Body   bytes.Buffer
}

// Send sends one request and reads its answer to the end. arrival is the time for which the request was planned.
func (s *Sender) Send(ctx context.Context, request planner.Request, arrival time.Time) Result {
	return s.SendRecorded(ctx, request, arrival, nil)
}

// SendRecorded is like Send, but also records the answer in transcript unless that is nil.
func (s *Sender) SendRecorded(ctx context.Context, request planner.Request, arrival time.Time, transcript *Transcript) Result {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	request.Reference += "-" + s.runID
	response, refusal := s.dispatch(ctx, request)
	result := refusal
	if response != nil {
		// Once the outcome is known, neither the rest of the body nor an error from closing it matters.
		defer func() { _ = response.Body.Close() }()
		if transcript != nil {
			transcript.Status = response.StatusCode
			response.Body = recordedBody{Reader: io.TeeReader(response.Body, &transcript.Body), Closer: response.Body}
		}
		result = readAnswer(request, response, arrival)
	}
	if ctx.Err() != nil && result.Outcome == ConnectionLost {
		result.Outcome, result.Code = Unknown, codeNoAnswer
	}
	result.Tier = request.Work.Tier
	result.Total = time.Since(arrival)
	if result.Outcome == Good && outsideLimits(request.Work, result) {
		result.Outcome = Late
	}
	return result
}

// dispatch sends the request to the first router that accepts it and returns the response. It tries the next router only
// if no byte of the request was written. Without a response, it returns the result of the request.
func (s *Sender) dispatch(ctx context.Context, request planner.Request) (*http.Response, Result) {
	refusal := Result{Outcome: NotRun, Code: codeUnreachable}
	key := ""
	if request.Work.Key == planner.KeyUUIDv7 {
		key = uuid.Must(uuid.NewV7()).String()
	}
	for _, router := range request.Routers {
		tracker := &writeTracker{}
		httpRequest, err := newHTTPRequest(tracker.trace(ctx), s.routers[router], request, key)
		if err != nil {
			return nil, Result{Outcome: Failed, Code: "bad_request", Detail: err.Error()}
		}
		response, err := s.client.Do(httpRequest)
		if err == nil {
			return response, Result{}
		}
		if tracker.sent() {
			return nil, Result{Outcome: ConnectionLost, Detail: err.Error()}
		}
		refusal.Detail = err.Error()
	}
	return nil, refusal
}

// recordedBody copies what is read from the answer to a transcript.
type recordedBody struct {
	io.Reader
	io.Closer
}

// message is one chat message.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatRequest is the body of POST /v1/chat/completions.
type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
}

// nonRewindableBody hides the type of a request body. If net/http can rewind the body, it retries a request with an
// Idempotency-Key by itself, and the load generator would not know of the retry.
type nonRewindableBody struct{ io.Reader }

func newHTTPRequest(ctx context.Context, router string, request planner.Request, key string) (*http.Request, error) {
	method, path, body := request.Work.Method, request.Work.Path, []byte(nil)
	if request.Work.Kind == planner.KindStream {
		method, path = http.MethodPost, "/v1/chat/completions"
		// With a single message, the router passes the text on unchanged, so that the tokens' prompt digest can be checked.
		encoded, err := json.Marshal(chatRequest{
			Model: request.Work.Model, Stream: true, MaxTokens: request.OutputTokens,
			Messages: []message{{Role: "user", Content: request.Prefix + request.Prompt}},
		})
		if err != nil {
			return nil, err
		}
		body = encoded
	} else {
		body = serviceBody(request)
	}
	var reader io.Reader
	if len(body) > 0 {
		reader = nonRewindableBody{bytes.NewReader(body)}
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+router+path, reader)
	if err != nil {
		return nil, err
	}
	httpRequest.ContentLength = int64(len(body))
	if len(body) > 0 {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	httpRequest.Header.Set("Authorization", "Bearer "+request.Workspace.Key)
	if key != "" {
		httpRequest.Header.Set("Idempotency-Key", key)
	}
	if request.Work.Deadline > 0 {
		httpRequest.Header.Set("X-Deadline-Ms", strconv.FormatInt(request.Work.Deadline.Milliseconds(), 10))
	}
	return httpRequest, nil
}

// serviceBody returns the body of a service call with its unique reference.
func serviceBody(request planner.Request) []byte {
	return []byte(strings.ReplaceAll(request.Work.Body, "{reference}", request.Reference))
}

// outsideLimits reports whether a complete answer exceeded a limit of its kind of work. The gap limit applies to the mean
// gap of the answer.
func outsideLimits(work *planner.Work, result Result) bool {
	over := func(value, limit time.Duration) bool { return limit > 0 && value > limit }
	if over(result.Total, work.TotalLimit) {
		return true
	}
	if work.Kind != planner.KindStream {
		return false
	}
	sum := time.Duration(0)
	for _, gap := range result.Gaps {
		sum += gap
	}
	mean := sum / time.Duration(max(len(result.Gaps), 1))
	return over(result.FirstToken, work.FirstTokenLimit) || over(mean, work.GapLimit)
}
