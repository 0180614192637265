package admitter

import (
	"fmt"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors that wrap those of the network.
var Error = errs.Class("admitter")

// refusalTimeout bounds the write of a refusal. It fits into the socket's buffer, so that the write doesn't wait.
const refusalTimeout = 50 * time.Millisecond

// ClosedError is the error of reads from a connection that was closed because of its client or for other clients. It is a
// net.Error that times out, to which net/http writes no answer of its own.
type ClosedError struct {
	Cause Cause
}

func (e *ClosedError) Error() string { return "connection closed by the router: " + string(e.Cause) }

// Timeout implements net.Error.
func (e *ClosedError) Timeout() bool { return true }

// Temporary implements net.Error.
func (e *ClosedError) Temporary() bool { return false }

// refusalStatus returns the status that states a cause. 503 and 408 promise that the request has not run.
func refusalStatus(cause Cause) int {
	switch cause {
	case CauseHeadBytes, CauseLineBytes, CauseFields:
		return http.StatusRequestHeaderFieldsTooLarge
	case CauseHeadTimeout:
		return http.StatusRequestTimeout
	}
	return http.StatusServiceUnavailable
}

// refusalText returns the whole answer to a head that is refused.
func refusalText(cause Cause) []byte {
	status := refusalStatus(cause)
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: 1\r\n"
	}
	body := string(cause) + "\n"
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, http.StatusText(status), retry, len(body), body)
}
