package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// call is one attempt of a requester, on a new channel.
type call struct {
	router      *routerProcess
	method      string
	path        string
	key         string
	body        []byte
	deadline    time.Duration
	tokens      string
	lastEventID string
}

// host is the host name of all routes of the rig.
const host = "desk.example"

// result is how an attempt ended.
type result struct {
	id     string
	status int
	stamp  string
	body   []byte
	err    error
}

func (r result) String() string {
	if r.err != nil {
		return "channel ended: " + r.err.Error()
	}
	if r.stamp != "" {
		return fmt.Sprintf("status %d, stamped, %d bytes", r.status, len(r.body))
	}
	return fmt.Sprintf("status %d, no stamp", r.status)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends an attempt and returns when its answer or its channel has ended.
func (c call) send(id string) result {
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.router.callers+c.path, bytes.NewReader(c.body))
	if err != nil {
		return result{id: id, err: err}
	}
	request.Host = host
	request.GetBody = nil
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	request.Header.Set("Authorization", "Token "+c.key)
	if c.tokens != "" {
		request.Header.Set("X-Token-Counts", c.tokens)
		request.Header.Set("X-Model", "m")
	}
	if c.lastEventID != "" {
		request.Header.Set("Last-Event-Id", c.lastEventID)
	}
	transport := &http.Transport{DisableKeepAlives: false, DisableCompression: true}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return result{id: id, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return result{id: id, status: response.StatusCode, stamp: response.Header.Get("X-Server-Stamp"), body: body, err: err}
}
