package connector

import (
	"errors"
	"fmt"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
)

// brokenHeads returns heads with a status that no answer to a request has. Each is followed by an answer as its body.
func brokenHeads() (heads []string) {
	body := reply("1", "x")
	for _, status := range []string{"000", "001", "+20", "099", "101", "600", "999"} {
		heads = append(heads, fmt.Sprintf("HTTP/1.1 %s OK\r\nRequest: 1\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body))
	}
	return heads
}

// TestBrokenHead guards against taking an answer with a broken head, or a part of its body, for the answer to a request.
func TestBrokenHead(t *testing.T) {
	for _, head := range brokenHeads() {
		t.Run(strconv.Quote(head[:40]), func(t *testing.T) {
			u := newScriptedUpstream(t, answering(head), answering(reply("1", "other")))
			body, err := exchange(t, newTestConnector(t), u.address, "1")
			var lost *kernel.ConnectionLostError
			assert.Assert(t, errors.As(err, &lost), "answered %q, %v", body, err)
		})
	}
}
