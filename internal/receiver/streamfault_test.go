package receiver

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/tmaxmax/go-sse"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/dispatcher"
	"coltsfootplank/internal/holder"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/plugins/httpengine"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/recorder"
	"coltsfootplank/internal/ticketer"
)

// grantingTickets grants every ticket at once, on the engine e1.
type grantingTickets struct{}

func (grantingTickets) Submit(_ *protocol.Ticket, handler ticketer.DecisionHandler) {
	handler.Granted(&protocol.Grant{Engine: "e1"})
}
func (grantingTickets) Cancel(string)             {}
func (grantingTickets) Release(*protocol.Release) {}

// newStreamServer starts the callers' API in front of one engine, with a holder and a dispatcher.
func newStreamServer(t *testing.T, engine *faultEngine) *httptest.Server {
	assert.Equal(t, httpengine.Name, "httpengine")
	catalogue, err := cataloguer.Parse([]byte(strings.Replace(catalogueText, "127.0.0.1:1", engine.address, 1)))
	assert.NilError(t, err)
	indexed := fakeCatalogue{catalogue.Index()}
	clients, closeClients := dispatcher.NewClients()
	t.Cleanup(closeClients)
	settings := holder.DefaultSettings()
	settings.Dispatch.ResumeAttempts, settings.Dispatch.ResumeDelay = 2, time.Millisecond
	requests := holder.New(settings, indexed, grantingTickets{}, nil, clients, recorder.New("r", 1000),
		metrics.NewRegistry(), zap.NewNop())
	api := New(Settings{MaxBodyBytes: 1 << 20, Ready: func() bool { return true }}, indexed, requests, zap.NewNop())
	server := httptest.NewServer(api.Handler())
	t.Cleanup(server.Close)
	return server
}

// callerForm is how a caller asks for an answer.
type callerForm struct {
	version string
	stream  bool
}

func (f callerForm) String() string { return fmt.Sprintf("HTTP/%s,stream=%t", f.version, f.stream) }

// request sends one request and returns all bytes up to the end of the connection.
func (f callerForm) request(ctx context.Context, address, prompt string) ([]byte, error) {
	body := fmt.Sprintf(`{"model":"drafter","stream":%t,"messages":[{"role":"user","content":%q}]}`, f.stream, prompt)
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/%s\r\nHost: r\r\nAuthorization: Bearer key1\r\n"+
		"Connection: close\r\nContent-Length: %d\r\n\r\n%s", f.version, len(body), body)
	if err != nil {
		return nil, err
	}
	return io.ReadAll(conn)
}

// received is an answer as its caller sees it. complete is set if it looks complete.
type received struct {
	status   int
	tokens   int
	complete bool
	outcome  holder.Outcome
}

// parseAnswer parses the bytes of an answer. It returns an error if they are more than one answer, if a token isn't the
// next one, or if the answer ends neither as complete nor with a typed error nor in the middle.
func parseAnswer(raw []byte, form callerForm) (received, error) {
	var got received
	if n := bytes.Count(raw, []byte("\r\nHTTP/1.")); n != 0 || !bytes.HasPrefix(raw, []byte("HTTP/1.")) {
		return got, fmt.Errorf("%d heads after the first line", n)
	}
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
	if err != nil {
		return got, err
	}
	body, err := io.ReadAll(response.Body)
	if closeErr := response.Body.Close(); err != nil || closeErr != nil {
		return got, fmt.Errorf("read body: %w", err)
	}
	got.status = response.StatusCode
	if got.status != http.StatusOK {
		return parseRefusal(got, body)
	}
	if !form.stream {
		return parseCompletion(got, body)
	}
	return parseEvents(got, body)
}

func parseRefusal(got received, body []byte) (received, error) {
	var refusal refusalBody
	if err := json.Unmarshal(body, &refusal); err != nil || refusal.Error.Outcome == "" {
		return got, fmt.Errorf("refusal %q: %w", body, err)
	}
	got.outcome = refusal.Error.Outcome
	return got, nil
}

func parseCompletion(got received, body []byte) (received, error) {
	var whole completion
	if err := json.Unmarshal(body, &whole); err != nil || len(whole.Choices) != 1 {
		return got, fmt.Errorf("completion %q: %w", body, err)
	}
	want := ""
	for ; got.tokens < whole.Usage.CompletionTokens; got.tokens++ {
		want += tokenText(got.tokens)
	}
	if text := whole.Choices[0].Message.Content; text != want {
		return got, fmt.Errorf("text %q, want %q", text, want)
	}
	got.complete = true
	return got, nil
}

func parseEvents(got received, body []byte) (received, error) {
	finished, ended := false, false
	for event, err := range sse.Read(bytes.NewReader(body), nil) {
		switch {
		case err != nil:
			return got, err
		case ended:
			return got, fmt.Errorf("event after the end: %q", event.Data)
		case event.Type == "error":
			ended = true
			var err error
			if got, err = parseRefusal(got, []byte(event.Data)); err != nil || finished {
				return got, fmt.Errorf("error event, finished=%t: %w", finished, err)
			}
			continue
		case event.Data == doneMarker:
			ended, got.complete = true, finished
			continue
		}
		var part chunk
		if err := json.Unmarshal([]byte(event.Data), &part); err != nil || len(part.Choices) != 1 {
			return got, fmt.Errorf("event %q: %w", event.Data, err)
		}
		if part.Index != got.tokens || finished {
			return got, fmt.Errorf("event %q after %d tokens, finished=%t", event.Data, got.tokens, finished)
		}
		if part.Choices[0].FinishReason != nil {
			finished = true
			continue
		}
		if part.Choices[0].Delta.Content != tokenText(got.tokens) {
			return got, fmt.Errorf("event %q after %d tokens", event.Data, got.tokens)
		}
		got.tokens++
	}
	if !ended || finished != got.complete {
		return got, fmt.Errorf("neither [DONE] nor an error event at the end of %q", body)
	}
	return got, nil
}

// firstAttempts are the ways in which the connection of the first attempt ends after some bytes.
func firstAttempts() []engineAttempt {
	framings := []struct {
		name   string
		encode func(string) string
		reset  bool
	}{
		{"until_close", untilClose, false},
		{"until_close_reset", untilClose, true},
		{"chunked", chunked, false},
		{"length", withLength, false},
	}
	const id = "00000000-0000-0000-0000-000000000000"
	var attempts []engineAttempt
	for _, framing := range framings {
		answer := func(id string, from int) string { return framing.encode(wholeBody(id, from)) }
		for cut := range len(answer(id, 0)) + 1 {
			attempts = append(attempts, engineAttempt{
				name: fmt.Sprintf("%s_%d", framing.name, cut), answer: answer, cut: cut, reset: framing.reset,
			})
		}
	}
	for cut := range len(wholeBody(id, 0)) {
		attempts = append(attempts, engineAttempt{
			name: fmt.Sprintf("regular_end_%d", cut), cut: -1,
			answer: func(id string, from int) string { return chunked(wholeBody(id, from)[:cut]) },
		})
	}
	return attempts
}

// frameFaults are first attempts that end between two frames or with a wrong final frame.
func frameFaults() []engineAttempt {
	var attempts []engineAttempt
	for tokens := range streamTokens + 1 {
		attempts = append(attempts, frameAttempt(fmt.Sprintf("%d_tokens", tokens), func(id string, _ int) []kernel.Frame {
			return tokenFrames(id, 0, tokens)
		}))
		for total := range streamTokens + 2 {
			if total == tokens {
				continue
			}
			attempts = append(attempts, frameAttempt(fmt.Sprintf("%d_tokens_total_%d", tokens, total),
				func(id string, _ int) []kernel.Frame { return append(tokenFrames(id, 0, tokens), lastFrame(id, total)) }))
		}
	}
	return attempts
}

// resumeFaults are the answers to a resume. complete is set if they complete the stream.
func resumeFaults() (complete, incomplete []engineAttempt) {
	from := func(offset, to int) func(string, int) []kernel.Frame {
		return func(id string, from int) []kernel.Frame { return tokenFrames(id, from+offset, to) }
	}
	whole := func(offset int) func(string, int) []kernel.Frame {
		return func(id string, next int) []kernel.Frame {
			return append(from(offset, streamTokens)(id, next), lastFrame(id, streamTokens))
		}
	}
	total := func(offset int) func(string, int) []kernel.Frame {
		return func(id string, next int) []kernel.Frame { return []kernel.Frame{lastFrame(id, max(next+offset, 0))} }
	}
	foreign := func(_ string, next int) []kernel.Frame {
		return append(tokenFrames("other", next, 9), lastFrame("other", 9))
	}
	foreignEnd := func(_ string, next int) []kernel.Frame { return []kernel.Frame{lastFrame("other", next)} }
	complete = []engineAttempt{
		continuing(), frameAttempt("repeats", whole(-1)), frameAttempt("starts_over", whole(-streamTokens)),
		frameAttempt("foreign_then_continues", func(id string, next int) []kernel.Frame {
			return append(foreign(id, next), whole(0)(id, next)...)
		}),
	}
	incomplete = []engineAttempt{
		frameAttempt("gap", func(id string, next int) []kernel.Frame {
			return append(tokenFrames(id, next+1, streamTokens+2), lastFrame(id, streamTokens+2))
		}),
		frameAttempt("starts_over_without_end", from(-streamTokens, streamTokens)),
		frameAttempt("no_final_frame", from(0, streamTokens)),
		frameAttempt("ends_at_once", func(string, int) []kernel.Frame { return nil }),
		frameAttempt("foreign", foreign), frameAttempt("foreign_end", foreignEnd), frameAttempt("total_high", total(1)),
		textAttempt("error_body", chunked(`{"error":{"outcome":"not_run","code":"overloaded"}}`+"\n")),
		textAttempt("done_without_id", chunked(`{"done":true}`+"\n")),
		textAttempt("not_json", chunked("data: [DONE]\n\n")), textAttempt("not_http", "[DONE]\r\n\r\n"),
		textAttempt("empty", ""), {name: "reset", answer: func(string, int) string { return "" }, reset: true},
		{name: "reset_in_frame", answer: func(id string, next int) string { return untilClose(wholeBody(id, next)) }, cut: 90, reset: true},
	}
	for _, status := range []int{204, 206, 302, 404, 409, 429, 500, 503} {
		incomplete = append(incomplete, statusAttempt(status))
	}
	return complete, incomplete
}

// faultCell is one cell of the matrix: a fault of the first attempt, the answers to the resumes and the caller's form.
type faultCell struct {
	first    engineAttempt
	resumes  []engineAttempt
	form     callerForm
	complete bool
}

func (c faultCell) String() string {
	names := make([]string, 0, len(c.resumes))
	for _, resume := range c.resumes {
		names = append(names, resume.name)
	}
	return fmt.Sprintf("%s/%s/%s", c.first.name, strings.Join(names, "+"), c.form)
}

func faultCells() []faultCell {
	streamed := callerForm{"1.1", true}
	var cells []faultCell
	for _, first := range firstAttempts() {
		cells = append(cells,
			faultCell{first: first, resumes: []engineAttempt{continuing()}, form: streamed, complete: true},
			faultCell{first: first, resumes: []engineAttempt{statusAttempt(http.StatusInternalServerError)}, form: streamed})
	}
	forms := []callerForm{streamed, {"1.1", false}, {"1.0", true}, {"1.0", false}}
	complete, incomplete := resumeFaults()
	for _, first := range frameFaults() {
		for _, form := range forms {
			for _, resume := range complete {
				cells = append(cells, faultCell{first: first, resumes: []engineAttempt{resume}, form: form, complete: true})
			}
			for _, resume := range incomplete {
				cells = append(cells, faultCell{first: first, resumes: []engineAttempt{resume}, form: form})
				if resume.name == "status_404" {
					continue
				}
				cells = append(cells, faultCell{
					first: first, resumes: []engineAttempt{resume, continuing()}, form: form, complete: true,
				})
			}
		}
	}
	return cells
}

// check reports what is wrong with an answer.
func (c faultCell) check(got received, script *engineScript) error {
	switch {
	case got.complete && got.tokens != streamTokens:
		return fmt.Errorf("complete with %d of %d tokens", got.tokens, streamTokens)
	case c.complete && !got.complete:
		return fmt.Errorf("incomplete with %d tokens although a resume completes the stream", got.tokens)
	case !got.complete && got.outcome == holder.OutcomeNotRun:
		return fmt.Errorf("not run after %d prompts", script.prompts)
	case script.prompts != 1:
		return fmt.Errorf("%d prompts", script.prompts)
	}
	return nil
}

// TestStreamFaults guards against an answer that gets bytes or the end of something else than its own stream: it breaks
// off the first attempt at each byte and each frame and gives the resumes every kind of answer.
func TestStreamFaults(t *testing.T) {
	engine := newFaultEngine(t)
	server := newStreamServer(t, engine)
	cells, complete := faultCells(), 0
	for i, cell := range cells {
		prompt := fmt.Sprintf("cell %d", i)
		script := &engineScript{first: cell.first, resumes: cell.resumes}
		engine.add(prompt, script)
		raw, err := cell.form.request(t.Context(), server.Listener.Addr().String(), prompt)
		assert.NilError(t, err, "%s", cell)
		got, err := parseAnswer(raw, cell.form)
		if err == nil {
			engine.mu.Lock()
			err = cell.check(got, script)
			engine.mu.Unlock()
		}
		if err != nil {
			t.Errorf("%s: %v\n%s", cell, err, raw)
		}
		if got.complete {
			complete++
		}
	}
	t.Logf("%d cells, %d complete answers", len(cells), complete)
	assert.Assert(t, complete > 0 && complete < len(cells))
}
