package requester

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/fakes"
	"coltsfootplank/internal/kernel"
)

// TestBrokenHead guards against taking an answer with a broken head for the answer of a service, a report or a record, and
// against using its connection again.
func TestBrokenHead(t *testing.T) {
	const framing = "Content-Length: 2\r\n\r\n{}"
	const okLine = "HTTP/1.1 200 OK\r\n"
	for _, head := range []string{
		"HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 101 Switching Protocols\r\n", "HTTP/1.1 600 OK\r\n",
		okLine + "A B: c\r\n", okLine + "A : b\r\n", okLine + "A: b\r\n c: d\r\n", okLine + "A: b\r\n\tc: d\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\n" + okLine + "A: b\r\n c: d\r\n",
	} {
		for _, newConnection := range []bool{false, true} {
			t.Run(head, func(t *testing.T) {
				u, closeUpstream, err := fakes.NewEndlessUpstream(head+framing, " ", time.Millisecond)
				assert.NilError(t, err)
				defer closeUpstream()
				answer, err := newTestClient(t, u.Address).Do(t.Context(), Request{Method: http.MethodGet, Path: "/", NewConnection: newConnection})
				var lost *kernel.ConnectionLostError
				assert.Assert(t, errors.As(err, &lost), "status %d, body %q, %v", answer.Status, answer.Body, err)
				for end := time.Now().Add(time.Second); u.Open() > 0 && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
				assert.Equal(t, u.Open(), int64(0))
			})
		}
	}
}

// TestBrokenHeadOnKeptConnection guards against looking only at the first answer on a connection.
func TestBrokenHeadOnKeptConnection(t *testing.T) {
	behaviours := []behaviour{answerAndKeep, answerAndKeep, continueLine}
	next := 0
	server := newFaultyServer(t, func() behaviour {
		next++
		return behaviours[next-1]
	})
	client := newTestClient(t, server.address)
	for _, action := range behaviours {
		_, err := client.Do(t.Context(), Request{Method: http.MethodPost, Path: "/", Body: []byte("body")})
		var lost *kernel.ConnectionLostError
		assert.Equal(t, errors.As(err, &lost), action == continueLine, "%v", err)
	}
}
