package generator

import (
	"fmt"
	"regexp"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"coltsfootplank/internal/kernel"
)

// defaultTokens is the length of an answer whose request sets neither a limit nor a length.
const defaultTokens = 16

// lengthMark in a prompt, for example "#tokens=40", sets the length of the answer below the request's limit.
var lengthMark = regexp.MustCompile(`#tokens=(\d{1,7})`)

// stream is one request on an engine. The instance's lock guards it.
type stream struct {
	request   kernel.GenerateRequest
	digest    uint32
	total     int
	cached    int
	prefilled int
	produced  int
	done      bool
	ended     bool
	delivered bool
	dropped   bool
	finished  time.Time
	changed   chan struct{}
}

func newStream(request kernel.GenerateRequest) *stream {
	return &stream{
		request: request, digest: uint32(xxhash.Sum64String(request.Prompt)),
		total: answerLength(request), changed: make(chan struct{}),
	}
}

// answerLength returns the number of tokens of the answer.
func answerLength(request kernel.GenerateRequest) int {
	length := request.MaxTokens
	if match := lengthMark.FindStringSubmatch(request.Prompt); match != nil {
		wanted, err := strconv.Atoi(match[1])
		if err == nil && (length == 0 || wanted < length) {
			length = wanted
		}
	}
	if length == 0 {
		length = defaultTokens
	}
	return length
}

// Token returns token number index of the answer to a prompt whose digest is given. It names the prompt, so that
// a caller can verify that an answer is complete and its own.
func Token(digest uint32, index int) string {
	return fmt.Sprintf("%08x.%d ", digest, index)
}

// frame returns frame number index, which is the final frame if it equals the total.
func (s *stream) frame(index int) kernel.Frame {
	if index >= s.total {
		return kernel.Frame{
			StreamID: s.request.StreamID, Index: s.total, Done: true, Total: s.total, CachedTokens: s.cached,
		}
	}
	return kernel.Frame{StreamID: s.request.StreamID, Index: index, Token: Token(s.digest, index)}
}

// toPrefill returns the number of prompt tokens that are still to be computed.
func (s *stream) toPrefill() int {
	return s.request.PromptTokens - s.cached - s.prefilled
}

// held returns the memory of a running stream in tokens.
func (s *stream) held() int {
	return s.prefilled + s.produced
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
