package requester

import (
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
)

// TestResetDuringUpload guards against taking a part of an answer without a length for the whole one if the connection is
// reset while the request is still being written. Which side of the connection notices the reset is left to chance.
func TestResetDuringUpload(t *testing.T) {
	server := newFaultyServer(t, func() behaviour { return resetDuringUpload })
	client := newTestClient(t, server.address)
	for range 40 {
		answer, err := client.Do(t.Context(), Request{Method: http.MethodPost, Path: "/", Body: make([]byte, 32<<20), NewConnection: true})
		var lost *kernel.ConnectionLostError
		assert.Check(t, errors.As(err, &lost), "answered %q, %v", answer.Body, err)
	}
}
