package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	host = "ficu95.example"
	key  = "i9n73hh2b9wu3fexd9dn"
)

var attempts atomic.Int64

// newAttempt returns an id for a requester attempt.
func newAttempt(kind string) string { return fmt.Sprintf("%s%06d", kind, attempts.Add(1)) }

// call is one requester attempt.
type call struct {
	id, method, path, body string
	tokens, prefix         string
	deadline               time.Duration
	sentAt                 time.Time
	router                 *router
}

// answer is what the requester got. err is set if the channel ended without a whole answer.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

var transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// send sends a requester attempt on a new channel and reads the whole answer.
func (c *call) send(r *record, to *router) answer {
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+to.frontend+c.path, strings.NewReader(c.body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", c.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Token "+key)
	if c.tokens != "" {
		request.Header.Set("X-Model", "m")
		request.Header.Set("X-Token-Counts", c.tokens)
		request.Header.Set("X-Prompt-Prefix", c.prefix)
	}
	c.sentAt, c.router = time.Now(), to
	r.printf("request %s is sent to %s", c.id, to.name)
	response, err := transport.RoundTrip(request)
	if err != nil {
		r.printf("request %s gets no answer: %v", c.id, err)
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	a := answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
	text := strings.ReplaceAll(string(body[:min(len(body), 40)]), "\n", " ")
	if err != nil && !errors.Is(err, io.EOF) {
		r.printf("request %s gets %d, broken off: %v", c.id, a.status, err)
	} else {
		r.printf("request %s gets %d, %d bytes, Retry-After %q: %s", c.id, a.status, len(body), a.header.Get("Retry-After"), text)
	}
	return a
}

// stream returns a sound request for a generation with prompt parts of its own.
func stream() *call {
	id := newAttempt("s")
	return &call{
		id: id, method: http.MethodPost, path: "/puxa403/2f", body: "prompt " + id, tokens: "600,60",
		prefix: "5c1e07a2:60," + fmt.Sprintf("%x", attempts.Load()+1<<32) + ":540", deadline: 10 * time.Second,
	}
}
