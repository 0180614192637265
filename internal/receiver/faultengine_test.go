package receiver

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
)

// streamTokens is the number of tokens of every stream of a faultEngine.
const streamTokens = 3

// engineAttempt is what an engine sends on one connection: the answer text, of which it sends the first cut bytes. A
// negative cut sends all of it. reset ends the connection with a reset, otherwise with a regular end.
type engineAttempt struct {
	name   string
	answer func(id string, from int) string
	cut    int
	reset  bool
}

// engineScript is the behaviour of an engine towards one prompt and the resumes of its stream. The last resume is repeated.
type engineScript struct {
	first   engineAttempt
	resumes []engineAttempt

	prompts, resumed int
}

// faultEngine serves the engine protocol on raw connections, so that an answer can end at any byte.
type faultEngine struct {
	address string
	mu      sync.Mutex
	scripts map[string]*engineScript // by prompt
	streams map[string]*engineScript // by stream id
}

func newFaultEngine(t *testing.T) *faultEngine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &faultEngine{
		address: listener.Addr().String(), scripts: make(map[string]*engineScript), streams: make(map[string]*engineScript),
	}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil //nolint:nilerr // The listener was closed at the end of the test.
			}
			group.Go(func() error { return e.serve(conn) })
		}
	})
	t.Cleanup(func() {
		assert.NilError(t, listener.Close())
		assert.NilError(t, group.Wait())
	})
	return e
}

func (e *faultEngine) add(prompt string, script *engineScript) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.scripts[prompt] = script
}

// serve answers one request. A write error means that the router has closed the connection.
func (e *faultEngine) serve(conn net.Conn) error {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return nil //nolint:nilerr // The router opened a connection and sent nothing on it.
	}
	attempt, id, from := e.next(request)
	text := attempt.answer(id, from)
	if attempt.cut >= 0 {
		text = text[:min(attempt.cut, len(text))]
	}
	_, _ = io.WriteString(conn, text)
	if tcp, ok := conn.(*net.TCPConn); ok && attempt.reset {
		_ = tcp.SetLinger(0)
	}
	return nil
}

func (e *faultEngine) next(request *http.Request) (attempt engineAttempt, id string, from int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch request.Method {
	case http.MethodPost:
		var prompt kernel.GenerateRequest
		if err := json.NewDecoder(request.Body).Decode(&prompt); err != nil {
			return statusAttempt(http.StatusBadRequest), "", 0
		}
		script := e.scripts[prompt.Prompt]
		e.streams[prompt.StreamID] = script
		script.prompts++
		return script.first, prompt.StreamID, 0
	case http.MethodGet:
		id = strings.TrimPrefix(request.URL.Path, "/v1/streams/")
		_, _ = fmt.Sscan(request.URL.Query().Get("from"), &from)
		script := e.streams[id]
		attempt = script.resumes[min(script.resumed, len(script.resumes)-1)]
		script.resumed++
		return attempt, id, from
	default:
		return statusAttempt(http.StatusNoContent), "", 0
	}
}

// encodeFrames returns frames as lines of JSON.
func encodeFrames(frames ...kernel.Frame) string {
	var text strings.Builder
	for _, frame := range frames {
		data, err := json.Marshal(frame)
		if err != nil {
			panic(err)
		}
		text.Write(data)
		text.WriteByte('\n')
	}
	return text.String()
}

// tokenText is the token with an index.
func tokenText(index int) string { return fmt.Sprintf("t%d ", index) }

func tokenFrames(id string, from, to int) []kernel.Frame {
	var frames []kernel.Frame
	for index := max(from, 0); index < to; index++ {
		frames = append(frames, kernel.Frame{StreamID: id, Index: index, Token: tokenText(index)})
	}
	return frames
}

func lastFrame(id string, total int) kernel.Frame {
	return kernel.Frame{StreamID: id, Index: total, Done: true, Total: total}
}

func wholeBody(id string, from int) string {
	return encodeFrames(append(tokenFrames(id, from, streamTokens), lastFrame(id, streamTokens))...)
}

const okHead = "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n"

func untilClose(body string) string { return okHead + "\r\n" + body }

func withLength(body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", okHead, len(body), body)
}

func chunked(body string) string {
	var text strings.Builder
	text.WriteString(okHead + "Transfer-Encoding: chunked\r\n\r\n")
	for part := range strings.Lines(body) {
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(part), part)
	}
	return text.String() + "0\r\n\r\n"
}

// frameAttempt sends frames in chunked encoding with a regular end.
func frameAttempt(name string, frames func(id string, from int) []kernel.Frame) engineAttempt {
	return engineAttempt{name: name, cut: -1, answer: func(id string, from int) string {
		return chunked(encodeFrames(frames(id, from)...))
	}}
}

func textAttempt(name, text string) engineAttempt {
	return engineAttempt{name: name, cut: -1, answer: func(string, int) string { return text }}
}

func statusAttempt(status int) engineAttempt {
	const body = `{"error":"injected failure"}`
	return textAttempt(fmt.Sprintf("status_%d", status), fmt.Sprintf(
		"HTTP/1.1 %d Injected\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body))
}

func continuing() engineAttempt {
	return engineAttempt{name: "continues", cut: -1, answer: func(id string, from int) string {
		return chunked(wholeBody(id, from))
	}}
}
