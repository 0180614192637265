// Package sender sends one request to the routers, as a caller behind a load balancer does, and checks that the
// answer is whole and its own.
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
	// run makes the references of two runs with one seed different; equal bodies would look like repeats.
	run     string
	routers []string
	client  *http.Client
	timeout time.Duration
}

// New returns a sender for the routers' addresses, and a function that closes its connections.
func New(routers []string, answerTimeout time.Duration) (*Sender, func()) {
	transport := newTransport()
	s := &Sender{run: uuid.NewString(), routers: routers, client: &http.Client{Transport: transport}, timeout: answerTimeout}
	return s, transport.CloseIdleConnections
}

// Transcript is what one router answered.
type Transcript struct {
	Status int
	Body   bytes.Buffer
}

// Send sends one request and reads its answer to the end. Arrival is when it was planned to be sent.
func (s *Sender) Send(ctx context.Context, request planner.Request, arrival time.Time) Result {
	return s.SendRecorded(ctx, request, arrival, nil)
}

// SendRecorded is Send that also keeps the answer, unless transcript is nil.
func (s *Sender) SendRecorded(ctx context.Context, request planner.Request, arrival time.Time, transcript *Transcript) Result {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	request.Reference += "-" + s.run
	response, refusal := s.open(ctx, request)
	result := refusal
	if response != nil {
		// The rest of a body after a verdict doesn't matter, and neither does a failure to close it.
		defer func() { _ = response.Body.Close() }()
		if transcript != nil {
			transcript.Status = response.StatusCode
			response.Body = recordedBody{Reader: io.TeeReader(response.Body, &transcript.Body), Closer: response.Body}
		}
		result = read(request, response, arrival)
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

// open returns the head of the answer. A router that can't be reached is skipped, but only if no byte was sent.
func (s *Sender) open(ctx context.Context, request planner.Request) (*http.Response, Result) {
	refusal := Result{Outcome: NotRun, Code: codeUnreachable}
	key := ""
	if request.Work.Key == planner.KeyUUIDv7 {
		key = uuid.Must(uuid.NewV7()).String()
	}
	for _, router := range request.Routers {
		mark := &sentMark{}
		call, err := newCall(mark.watch(ctx), s.routers[router], request, key)
		if err != nil {
			return nil, Result{Outcome: Failed, Code: "bad_request", Detail: err.Error()}
		}
		response, err := s.client.Do(call)
		if err == nil {
			return response, Result{}
		}
		if mark.sent() {
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

// replayGuard hides the type of the body, because net/http sends a request with an Idempotency-Key again by
// itself when it knows how to rewind the body. The generator must know of every repeat.
type replayGuard struct{ io.Reader }

func newCall(ctx context.Context, router string, request planner.Request, key string) (*http.Request, error) {
	method, path, body := request.Work.Method, request.Work.Path, []byte(nil)
	if request.Work.Kind == planner.KindStream {
		method, path = http.MethodPost, "/v1/chat/completions"
		// One message, so that the router passes the text on as it is and the token texts can be checked.
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
		reader = replayGuard{bytes.NewReader(body)}
	}
	call, err := http.NewRequestWithContext(ctx, method, "http://"+router+path, reader)
	if err != nil {
		return nil, err
	}
	call.ContentLength = int64(len(body))
	if len(body) > 0 {
		call.Header.Set("Content-Type", "application/json")
	}
	call.Header.Set("Authorization", "Bearer "+request.Workspace.Key)
	if key != "" {
		call.Header.Set("Idempotency-Key", key)
	}
	if request.Work.Deadline > 0 {
		call.Header.Set("X-Deadline-Ms", strconv.FormatInt(request.Work.Deadline.Milliseconds(), 10))
	}
	return call, nil
}

// serviceBody returns the body of a service call.
func serviceBody(request planner.Request) []byte {
	return []byte(strings.ReplaceAll(request.Work.Body, "{reference}", request.Reference))
}

// outsideLimits reports whether a whole answer came too late. The gap limit is for the mean of one answer.
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
