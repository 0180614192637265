package generator

import (
	"fmt"
	"regexp"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"coltsfootplank/internal/kernel"
)

// defaultOutputTokens is the output length of a request that sets neither a limit nor a length.
const defaultOutputTokens = 16

// lengthMarker in a prompt, for example "#tokens=40", sets the output length if it is below the limit of the request.
var lengthMarker = regexp.MustCompile(`#tokens=(\d{1,7})`)

// stream is one request on an engine. Engine.mu guards it.
type stream struct {
	request           kernel.GenerateRequest
	promptHash        uint32
	total             int
	cached            int
	prefilled         int
	produced          int
	done              bool
	ended             bool
	delivered         bool
	connectionDropped bool
	finishedAt        time.Time
	changed           chan struct{}
}

func newStream(request kernel.GenerateRequest) *stream {
	return &stream{
		request: request, promptHash: uint32(xxhash.Sum64String(request.Prompt)),
		total: outputLength(request), changed: make(chan struct{}),
	}
}

// outputLength returns the number of output tokens.
func outputLength(request kernel.GenerateRequest) int {
	length := request.MaxTokens
	if match := lengthMarker.FindStringSubmatch(request.Prompt); match != nil {
		wanted, err := strconv.Atoi(match[1])
		if err == nil && (length == 0 || wanted < length) {
			length = wanted
		}
	}
	if length == 0 {
		length = defaultOutputTokens
	}
	return length
}

// Token returns the output token with the given index for a prompt with the given hash. It contains the hash, so that
// a client can verify that the output is complete and belongs to its prompt.
func Token(promptHash uint32, index int) string {
	return fmt.Sprintf("%08x.%d ", promptHash, index)
}

// frame returns the frame with the given index. The index after the last token is that of the final frame.
func (s *stream) frame(index int) kernel.Frame {
	if index >= s.total {
		return kernel.Frame{
			StreamID: s.request.StreamID, Index: s.total, Done: true, Total: s.total, CachedTokens: s.cached,
		}
	}
	return kernel.Frame{StreamID: s.request.StreamID, Index: index, Token: Token(s.promptHash, index)}
}

// remainingPrefill returns the number of prompt tokens that aren't computed yet.
func (s *stream) remainingPrefill() int {
	return s.request.PromptTokens - s.cached - s.prefilled
}

// kvTokens returns the KV memory of a running stream in tokens.
func (s *stream) kvTokens() int {
	return s.prefilled + s.produced
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
