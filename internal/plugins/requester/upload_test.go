package requester

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/connector"
	"coltsfootplank/internal/kernel"
)

// TestResetDuringUpload guards against taking a part of an answer without a length for the whole one if the connection is
// reset while the request is still being written. Which side of the connection notices the reset is left to chance.
func TestResetDuringUpload(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil //nolint:nilerr // the listener was closed at the end of the test
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(10 * time.Millisecond)
			connector.Reset(conn)
		}
	})
	t.Cleanup(func() { _ = listener.Close(); _ = group.Wait() })
	client := newTestClient(t, listener.Addr().String())
	for range 40 {
		answer, err := client.Do(t.Context(), Request{Method: http.MethodPost, Path: "/", Body: make([]byte, 32<<20), NewConnection: true})
		var lost *kernel.ConnectionLostError
		assert.Check(t, errors.As(err, &lost), "answered %q, %v", answer.Body, err)
	}
}
