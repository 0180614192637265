package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastAttempt atomic.Int64

// newAttemptID returns an id that no other attempt has.
func newAttemptID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastAttempt.Add(1)) }

// request is one attempt of a requester.
type request struct {
	id, method, host, path, key string
	deadline                    time.Duration
	body                        string
	header                      map[string]string
	// sent is when the first byte was sent.
	sent time.Time
	// status is that of the answer, 0 if there was none; complete is set if the body was.
	status   int
	stamp    string
	complete bool
	err      error
}

// send sends a request on a new channel and waits for its answer until the deadline.
func (q *request) send(address string, rec *record) {
	q.id = newAttemptID()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		q.err = err
		return
	}
	defer func() { _ = conn.Close() }()
	q.exchange(conn, bufio.NewReader(conn), rec, address, "Connection: close\r\n")
}

// exchange sends a request on a channel and reads its answer.
func (q *request) exchange(conn net.Conn, reader *bufio.Reader, rec *record, address, extra string) {
	if q.id == "" {
		q.id = newAttemptID()
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, q.host, q.id,
		q.deadline.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&text, "Authorization: Token %s\r\n", q.key)
	}
	for name, value := range q.header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(q.body))
	}
	text.WriteString(extra + "\r\n" + q.body)
	q.sent = time.Now()
	_ = conn.SetDeadline(q.sent.Add(q.deadline + time.Second))
	rec.note("sent      %s %s%s to %s", q.id, q.host, q.path, address)
	if _, q.err = conn.Write([]byte(text.String())); q.err != nil {
		return
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: q.method})
	if err == nil {
		q.status, q.stamp = response.StatusCode, response.Header.Get("X-Server-Stamp")
		_, err = io.Copy(io.Discard, response.Body)
	}
	q.complete, q.err = err == nil, err
	rec.note("answered  %s status %d, stamp %q, complete %t, error %v, after %d ms", q.id, q.status, q.stamp, q.complete, q.err,
		time.Since(q.sent).Milliseconds())
}
