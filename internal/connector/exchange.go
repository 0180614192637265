package connector

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// maxInlineBodyBytes is the size up to which a body is written before the answer is read. It fits into the socket's send
// buffer, so that an upstream that answers without reading the body can't block the writer.
const maxInlineBodyBytes = 8 << 10

// writeBufferBytes is the size of the write buffer. It holds the head of a request and a short body, so that both are
// sent in one segment.
const writeBufferBytes = 16 << 10

// Request is one request as the caller sent it.
type Request struct {
	Method string
	// Target is the path and query of the request line.
	Target string
	Host   string
	// Header is sent unchanged, plus a Content-Length if there is a body.
	Header http.Header
	Body   []byte
	// HasBody is true if the request has a body, even an empty one.
	HasBody bool
	// ID is the request ID that the answer must repeat.
	ID string
}

// Head is the status and the header of an answer.
type Head struct {
	Status int
	Header http.Header
}

// Answer is an upstream's answer. Its user either reads the body to its end and calls Done, or calls Abort.
type Answer struct {
	Head
	// Length is the length of the body in bytes, or -1 if it isn't known.
	Length int64

	connector  *Connector
	connection *connection
	address    string
	requestID  string
	response   *http.Response
	// stopReset cancels the reset of the connection at the end of the context; it returns false if that was too late.
	stopReset func() bool
	writing   *errgroup.Group
	// writePending is set while a long body is being written, and stays set if the write fails.
	writePending atomic.Bool
	// whole is set when the body was read to its end.
	whole bool
}

// write sends the head and a short body. A long body is written in the background, since an upstream may answer before
// it has read all of it.
func (a *Answer) write(request Request) error {
	writer := bufio.NewWriterSize(a.connection.counter, writeBufferBytes)
	if err := writeHead(writer, request); err != nil {
		return err
	}
	if len(request.Body) <= maxInlineBodyBytes {
		if _, err := writer.Write(request.Body); err != nil {
			return err
		}
		return writer.Flush()
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	a.writePending.Store(true)
	a.writing.Go(func() error {
		_, err := a.connection.counter.Write(request.Body)
		if err == nil {
			a.writePending.Store(false)
		}
		return err
	})
	return nil
}

// readHead reads the head of the answer. It skips answers that belong to earlier requests.
func (a *Answer) readHead(request Request, echoedRequestID func(*Head) string) error {
	for range maxSkippedAnswers + 1 {
		//nolint:bodyclose // Done and Abort handle the body together with the connection.
		response, err := a.connection.readResponse(request.Method)
		if err != nil {
			return err
		}
		head := Head{Status: response.StatusCode, Header: response.Header}
		echoedID := echoedRequestID(&head)
		if echoedID == request.ID || echoedID == "" && !a.connection.reused {
			a.Head, a.Length, a.response = head, response.ContentLength, response
			return nil
		}
		// More answers to other requests may follow, so the connection must not be reused.
		a.connection.closing = true
		if err := discard(response.Body); err != nil {
			return err
		}
	}
	return &MismatchedAnswerError{RequestID: request.ID}
}

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (a *Answer) Read(buffer []byte) (int, error) {
	n, err := a.response.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err
}

// Whole reports whether the body was read to its end.
func (a *Answer) Whole() bool { return a.whole }

// EndsWithConnection reports whether the body has no stated end, so that the regular end of the connection ends it.
func (a *Answer) EndsWithConnection() bool {
	return a.Length < 0 && len(a.response.TransferEncoding) == 0
}

// Done ends the exchange. It keeps the connection for another request if the exchange is complete and the upstream
// allows it.
func (a *Answer) Done() {
	if !a.stopReset() || !a.whole || a.writePending.Load() || a.response.Close || a.connection.reader.Buffered() > 0 {
		a.Abort()
		return
	}
	// The write has succeeded, since writePending is false.
	_ = a.writing.Wait()
	a.connection.applyKeepAlive(a.Header.Get("Keep-Alive"))
	if a.connection.closing || a.connection.idleLimit <= 0 {
		a.connection.close()
		return
	}
	a.connector.putIdle(a.address, a.connection)
}

// Abort resets the connection, which cancels the request at the upstream.
func (a *Answer) Abort() {
	a.stopReset()
	a.connection.reset()
	// The write error, if any, only says that the connection was closed.
	_ = a.writing.Wait()
}
