package connector

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
)

// brokenHeads returns heads with a status that no answer to a request has, and heads with a blank or a control byte in the
// name of a field. Most are followed by an answer as their body.
func brokenHeads() (heads []string) {
	body := reply("1", "x")
	for _, status := range []string{"000", "001", "+20", "099", "101", "600", "999"} {
		heads = append(heads, fmt.Sprintf("HTTP/1.1 %s OK\r\nRequest: 1\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body))
	}
	for c := range byte(0x80) {
		if c > ' ' && c < 0x7f || c == '\n' {
			continue
		}
		for _, format := range []string{"%sName", "Na%sme", "Name%s"} {
			line := "A: b\r\n" + fmt.Sprintf(format, string(c)) + ": 1"
			heads = append(heads, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest: 1\r\n%s\r\nContent-Length: %d\r\n\r\n%s", line, len(body), body))
		}
	}
	for _, name := range []string{" Transfer-Encoding", "\tTransfer-Encoding", "Transfer-Encoding ", "Transfer Encoding"} {
		heads = append(heads, "HTTP/1.1 200 OK\r\nRequest: 1\r\nA: b\r\n"+name+": chunked\r\n\r\n1\r\na\r\n0\r\n\r\n")
	}
	// Heads that arrive in the same segment as other ones, after them.
	fold := "HTTP/1.1 200 OK\r\nRequest: 1\r\nA: b\r\n c: d\r\nContent-Length: 1\r\n\r\na"
	for _, before := range []string{"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", "HTTP/1.1" + strings.Repeat(" ", 40) + "103\nA: b\n\n", reply("0", "x")} {
		heads = append(heads, before+fold)
	}
	return heads
}

// TestBrokenHead guards against taking an answer with a broken head, or a part of its body, for the answer to a request.
func TestBrokenHead(t *testing.T) {
	for _, head := range brokenHeads() {
		t.Run(strconv.Quote(head[:min(len(head), 60)]), func(t *testing.T) {
			u := newScriptedUpstream(t, answering(head), answering(reply("1", "other")))
			body, err := exchange(t, newTestConnector(t), u.address, "1")
			var lost *kernel.ConnectionLostError
			assert.Assert(t, errors.As(err, &lost), "answered %q, %v", body, err)
		})
	}
}

// TestHeadScannerPieces guards against results that depend on how the bytes arrive, and against taking lines of a body for
// continued lines of the head.
func TestHeadScannerPieces(t *testing.T) {
	const okLine, body = "HTTP/1.1 200 OK\r\n", "{\n  \"a\": 1\n}\n"
	for _, c := range []struct {
		text      string
		continued bool
	}{
		{okLine + "A: b\r\n\r\n" + body, false},
		{okLine + "\r\n" + body, false},
		{"HTTP/1.1 200 OK\nA: b\n\n" + body, false},
		{"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + okLine + "A: b\r\n\r\n" + body, false},
		{okLine + "A: b\r\n c: d\r\n\r\n", true},
		{okLine + "A: b\n\tc: d\n\n", true},
		{okLine + "A: b\r\n \r\n\r\n", true},
		{"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + okLine + "A: b\r\n c: d\r\n\r\n", true},
	} {
		for size := 1; size <= len(c.text); size++ {
			scanner := HeadScanner{}
			for rest := c.text; rest != ""; rest = rest[min(size, len(rest)):] {
				scanner.Scan([]byte(rest[:min(size, len(rest))]))
			}
			assert.Equal(t, scanner.Continued(), c.continued, "%q in pieces of %d bytes", c.text, size)
		}
	}
}
