package connector

import (
	"io"
	"math"
	"net/http"
	"strings"
)

const (
	// maxHeadBytes is the size limit of the head of an answer together with the interim answers before it.
	maxHeadBytes = 64 << 10
	// unlimitedBytes is the limit of a connection while no head is read.
	unlimitedBytes = math.MaxInt64
	// firstInvalidStatus is the lowest number above the five classes of statuses.
	firstInvalidStatus = 600
)

// limitedReader reads at most left bytes and scans those of a head. Further reads fail with *HeadTooLargeError.
type limitedReader struct {
	reader io.Reader
	left   int64
	head   HeadScanner
}

func (r *limitedReader) Read(buffer []byte) (int, error) {
	if r.left <= 0 {
		return 0, &HeadTooLargeError{Limit: maxHeadBytes}
	}
	n, err := r.reader.Read(buffer[:min(int64(len(buffer)), r.left)])
	r.left -= int64(n)
	r.head.Scan(buffer[:n])
	return n, err
}

// readResponse reads the head of a final answer. It skips the interim answers (1xx) before it. Errors:
// *HeadTooLargeError, *ContinuedLineError, those of CheckHead, and those of the connection.
func (c *connection) readResponse(method string) (*http.Response, error) {
	c.limit.left, c.limit.head = maxHeadBytes, HeadScanner{}
	// The head may follow an answer to another request in the buffer. Peeking at buffered bytes can't fail.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.limit.head.Scan(buffered)
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil && c.limit.left <= 0 {
			// The parser may have failed at the line that was cut at the limit.
			err = &HeadTooLargeError{Limit: maxHeadBytes}
		}
		if err == nil {
			err = CheckHead(response)
		}
		if err == nil && c.limit.head.Continued() {
			err = &ContinuedLineError{}
		}
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			c.limit.left = unlimitedBytes
			return response, nil
		}
	}
}

// CheckHead rejects heads of answers that net/http accepts although they aren't valid HTTP. Where the body of such an answer
// ends isn't known, so that nothing that follows the head may be used. Errors: *InvalidStatusError, *InvalidFieldNameError.
func CheckHead(response *http.Response) error {
	status := response.StatusCode
	// No request asks for another protocol.
	if status < http.StatusContinue || status >= firstInvalidStatus || status == http.StatusSwitchingProtocols {
		return &InvalidStatusError{Status: response.Status}
	}
	for name := range response.Header {
		// Other bytes that no name may hold are errors for net/http.
		if strings.Contains(name, " ") {
			return &InvalidFieldNameError{Name: name}
		}
	}
	return nil
}
