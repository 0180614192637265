package connector

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestHeadCutAtEachByte guards against an answer whose head was cut off being taken for one with an empty or a short body.
func TestHeadCutAtEachByte(t *testing.T) {
	const continued = "HTTP/1.1 100 Continue\r\n\r\n"
	heads := []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 12\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
		"HTTP/1.1 200 OK\nId: 1\n\n",
		continued + "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n",
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	answers := make(chan string, 1)
	var group sync.WaitGroup
	group.Go(func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, <-answers)
			}
			_ = conn.Close()
		}
	})
	t.Cleanup(func() { _ = listener.Close(); group.Wait() })
	connections, closeAll := New(Settings{MaxIdle: 1, EchoedRequestID: func(head *Head) string { return head.Header.Get("Id") }}, func() {})
	t.Cleanup(closeAll)
	for _, head := range heads {
		for size := range len(head) {
			answers <- head[:size]
			answer, err := connections.Send(t.Context(), listener.Addr().String(), Request{Method: http.MethodGet, Target: "/", ID: "1"})
			if err == nil {
				body, _, bodyErr := answer.ReadBody(100)
				t.Errorf("%q cut after %d bytes: status %d, body %q, error %v", head, size, answer.Status, body, bodyErr)
				answer.Abort()
			}
		}
	}
}
