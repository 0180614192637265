package httpservice

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
)

// answerOnce accepts one connection, reads a request and sends an answer. With reset, the connection ends with a reset.
func answerOnce(listener net.Listener, answer string, reset bool) error {
	conn, err := listener.Accept()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return err
	}
	if tcp, ok := conn.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0)
	}
	_, err = io.WriteString(conn, answer)
	return err
}

// TestCallIncomplete guards against passing on an answer that is incomplete or has no final status.
func TestCallIncomplete(t *testing.T) {
	cases := []struct {
		name, answer string
		reset        bool
		status       int
	}{
		{"with a length", "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok", false, 201},
		{"until close", "HTTP/1.1 200 OK\r\n\r\nok", false, 200},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, 200},
		{"failure of the service", "HTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\nok", false, 503},
		{"after an informational answer", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, 200},
		{"short of its length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", false, 0},
		{"cut in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nok", false, 0},
		{"without the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false, 0},
		{"reset", "HTTP/1.1 200 OK\r\n\r\nok", true, 0},
		{"cut in the head", "HTTP/1.1 200 OK\r\nContent-Le", false, 0},
		{"no HTTP", "ok\r\n\r\n", false, 0},
		{"nothing", "", false, 0},
		{"informational answer only", "HTTP/1.1 103 Early Hints\r\n\r\n", false, 0},
		{"another protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nok", false, 0},
		{"status below the range", "HTTP/1.1 099 Low\r\nContent-Length: 2\r\n\r\nok", false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			var group errgroup.Group
			group.Go(func() error { return answerOnce(listener, c.answer, c.reset) })
			service, closeService, err := New(listener.Addr().String())
			assert.NilError(t, err)
			defer closeService()
			response, err := service.Call(t.Context(), kernel.ServiceRequest{RequestID: "r", Method: http.MethodPost, Path: "/v1/x"})
			assert.NilError(t, group.Wait())
			if c.status == 0 {
				var lost *kernel.ConnectionLostError
				assert.Assert(t, errors.As(err, &lost), "%d %q %v", response.Status, response.Body, err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, response.Status, c.status)
			assert.Equal(t, string(response.Body), "ok")
		})
	}
}
