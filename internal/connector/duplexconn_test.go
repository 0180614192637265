package connector

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAnswerEndsDuringUpload guards against taking a part of a body without a length for the whole one if the connection is
// reset while the request is still being written, and against losing an answer that ended in the regular way.
func TestAnswerEndsDuringUpload(t *testing.T) {
	finish := func(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite() }
	ended := make(chan struct{})
	defer close(ended)
	cases := []struct {
		name string
		end  func(conn net.Conn, reader *bufio.Reader)
		// writeFails is set if the test reads on only after the write of the request has failed.
		writeFails, whole bool
	}{
		{"reset", func(conn net.Conn, _ *bufio.Reader) { reset(conn) }, true, false},
		{"reset, read at once", func(conn net.Conn, _ *bufio.Reader) { reset(conn) }, false, false},
		{"end", func(conn net.Conn, reader *bufio.Reader) {
			finish(conn)
			_, _ = io.Copy(io.Discard, reader)
		}, false, true},
		{"end, request not read", func(conn net.Conn, _ *bufio.Reader) {
			finish(conn)
			<-ended
		}, false, true},
		{"end, then reset", func(conn net.Conn, _ *bufio.Reader) {
			finish(conn)
			time.Sleep(20 * time.Millisecond)
			reset(conn)
		}, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := newScriptedUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
				_, _ = http.ReadRequest(reader)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest: 1\r\n\r\npart")
				time.Sleep(20 * time.Millisecond)
				c.end(conn, reader)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			answer, err := newTestConnector(t).Send(ctx, u.address, Request{
				Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, ID: "1", HasBody: true, Body: make([]byte, 32<<20),
			})
			assert.NilError(t, err)
			defer answer.Abort()
			if c.writeFails {
				assert.Assert(t, answer.writing.Wait() != nil)
			}
			body, err := io.ReadAll(answer)
			assert.Equal(t, err == nil, c.whole, "%v", err)
			assert.Equal(t, answer.Whole(), c.whole)
			assert.Equal(t, string(body), "part")
		})
	}
}
