package connector

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// inlineBytes is the size up to which a body is written before the answer is read. It fits into the socket's buffer, so
// that an upstream that answers without reading the body can't block the writer.
const inlineBytes = 8 << 10

// writeBufferBytes holds the head of a request and a short body, so that both go out in one segment.
const writeBufferBytes = 16 << 10

// Request is one request with its bytes as the caller sent them.
type Request struct {
	Method string
	// Target is the path and query of the request line.
	Target string
	Host   string
	// Header is sent as it is, with a Content-Length if there is a body.
	Header http.Header
	Body   []byte
	// HasBody says that the request has a body, which may be empty.
	HasBody bool
	// ID is the request that the answer must name.
	ID string
}

// Head is the status and the header of an answer.
type Head struct {
	Status int
	Header http.Header
}

// Answer is an upstream's answer. The caller reads the body to its end and calls Done, or calls Abort.
type Answer struct {
	Head
	// Length is the length of the body in bytes, -1 if it isn't known.
	Length int64

	connector  *Connector
	connection *connection
	address    string
	response   *http.Response
	release    func() bool
	writing    *errgroup.Group
	// unwritten is set while a long body is being written.
	unwritten atomic.Bool
	// whole is set at the end of the body.
	whole bool
}

// write sends the head and a short body; a long body is written while the answer is awaited, since an upstream may
// answer before it has read all.
func (a *Answer) write(request Request) error {
	writer := bufio.NewWriterSize(a.connection.counter, writeBufferBytes)
	if err := writeHead(writer, request); err != nil {
		return err
	}
	if len(request.Body) <= inlineBytes {
		if _, err := writer.Write(request.Body); err != nil {
			return err
		}
		return writer.Flush()
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	a.unwritten.Store(true)
	a.writing.Go(func() error {
		_, err := a.connection.conn.Write(request.Body)
		if err == nil {
			a.unwritten.Store(false)
		}
		return err
	})
	return nil
}

// readHead reads the head of the answer, past answers that belong to earlier requests.
func (a *Answer) readHead(request Request, echo func(*Head) string) error {
	for range strayAnswers + 1 {
		//nolint:bodyclose // Done and Abort end the body with the connection.
		response, err := http.ReadResponse(a.connection.reader, &http.Request{Method: request.Method})
		if err != nil {
			return err
		}
		if response.StatusCode < http.StatusOK {
			// An interim answer precedes the final one.
			continue
		}
		head := Head{Status: response.StatusCode, Header: response.Header}
		named := echo(&head)
		if named == request.ID || named == "" && !a.connection.reused {
			a.Head, a.Length, a.response = head, response.ContentLength, response
			return nil
		}
		// The connection isn't kept: more such answers may follow.
		a.connection.idleLimit = 0
		if err := discard(response.Body); err != nil {
			return err
		}
	}
	return &MismatchedAnswerError{RequestID: request.ID}
}

// Read reads the body. io.EOF says that the body is whole.
func (a *Answer) Read(buffer []byte) (int, error) {
	n, err := a.response.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err
}

// Whole says whether the body was read to its end.
func (a *Answer) Whole() bool { return a.whole }

// Done ends the exchange and keeps the connection for another request if nothing speaks against it.
func (a *Answer) Done() {
	if !a.release() || !a.whole || a.unwritten.Load() || a.response.Close || a.connection.reader.Buffered() > 0 {
		a.Abort()
		return
	}
	// The write has ended: unwritten is false.
	_ = a.writing.Wait()
	a.connection.noteKeepAlive(a.Header.Get("Keep-Alive"))
	if a.connection.idleLimit <= 0 {
		a.connection.close()
		return
	}
	a.connector.keep(a.address, a.connection)
}

// Abort resets the connection, which makes the upstream stop.
func (a *Answer) Abort() {
	a.release()
	a.connection.reset()
	// The error of a write that was cut short is that of the closed connection.
	_ = a.writing.Wait()
}
