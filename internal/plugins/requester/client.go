// Package requester sends HTTP requests to platform services. Its errors distinguish requests of which no byte was sent
// from requests that may have been sent.
package requester

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"time"

	"coltsfootplank/internal/connector"
	"coltsfootplank/internal/kernel"
)

const (
	// CallTimeout is the timeout of calls that an upstream answers without delay.
	CallTimeout = 5 * time.Second
	// defaultMaxAnswerBytes is the size limit of an answer to a request that states none. A load report has a few KiB.
	defaultMaxAnswerBytes = 64 << 10
	// MaxBulkAnswerBytes is the size limit of an answer that holds many records or the body of a caller's answer.
	MaxBulkAnswerBytes = 16 << 20
	// maxRejectionBytes is the number of bytes of an error answer that are included in the error.
	maxRejectionBytes = 4 << 10
)

// Client sends requests to one upstream. It is safe for concurrent use.
type Client struct {
	address string
	// keepAlive reuses connections, singleUse opens one for each request.
	keepAlive, singleUse *http.Transport
}

// Request is one HTTP request.
type Request struct {
	Method string
	// Path may contain a query.
	Path        string
	ContentType string
	Header      map[string]string
	Body        []byte
	// NewConnection opens a connection for this request alone. It can't be lost by being sent on an idle connection
	// that the upstream closes at the same moment.
	NewConnection bool
	// MaxAnswerBytes is the size limit of an answer that is read as a whole; 0 means defaultMaxAnswerBytes.
	MaxAnswerBytes int64
}

// Answer is an HTTP answer that was read completely.
type Answer struct {
	Status      int
	ContentType string
	Header      http.Header
	Body        []byte
}

// New returns a client for "ip:port" and a function that closes it. Errors: *InvalidAddressError.
func New(address string) (*Client, func(), error) {
	if err := checkAddress(address); err != nil {
		return nil, nil, err
	}
	transports.acquire()
	client := &Client{address: address, keepAlive: transports.keepAlive, singleUse: transports.singleUse}
	return client, sync.OnceFunc(transports.release), nil
}

// NewDedicated returns a client for "ip:port" with connections of its own, which a dialer opens, and a function that closes it.
// Errors: *InvalidAddressError.
func NewDedicated(address string, dialer *net.Dialer) (*Client, func(), error) {
	if err := checkAddress(address); err != nil {
		return nil, nil, err
	}
	client := &Client{address: address, keepAlive: newTransport(true, dialer), singleUse: newTransport(false, dialer)}
	return client, func() {
		client.keepAlive.CloseIdleConnections()
		client.singleUse.CloseIdleConnections()
	}, nil
}

func checkAddress(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		return &InvalidAddressError{Address: address}
	}
	return nil
}

// Address returns the upstream's "ip:port".
func (c *Client) Address() string { return c.address }

// Open sends a request and returns when the header of the answer has arrived; the caller closes the body.
// Redirects aren't followed. A request with a body or with NewConnection is never repeated. The transport may repeat
// other requests on a new connection if an idle connection turns out to be closed. Errors: *kernel.NotSentError if no
// byte was written, otherwise *kernel.ConnectionLostError, also for an answer that connector.CheckHead doesn't accept.
func (c *Client) Open(ctx context.Context, request Request) (*http.Response, error) {
	trace := &sendTrace{}
	built, err := c.buildRequest(httptrace.WithClientTrace(ctx, trace.clientTrace()), request)
	if err != nil {
		return nil, &kernel.NotSentError{Address: c.address, Cause: err}
	}
	transport := c.keepAlive
	if request.NewConnection {
		transport = c.singleUse
	}
	response, err := transport.RoundTrip(built)
	if err == nil {
		if err = connector.CheckHead(response); err == nil {
			return response, nil
		}
		_ = response.Body.Close()
		trace.closeConns()
	}
	if trace.unsent() {
		return nil, &kernel.NotSentError{Address: c.address, Cause: err}
	}
	return nil, &kernel.ConnectionLostError{Address: c.address, Cause: err}
}

// Do sends a request and reads the whole answer. Errors: those of Open, and *kernel.ConnectionLostError if the answer
// can't be read or exceeds its size limit (*AnswerTooLargeError).
func (c *Client) Do(ctx context.Context, request Request) (Answer, error) {
	response, err := c.Open(ctx, request)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	limit := cmp.Or(request.MaxAnswerBytes, defaultMaxAnswerBytes)
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = &AnswerTooLargeError{Limit: limit}
	}
	if err != nil {
		return Answer{}, &kernel.ConnectionLostError{Address: c.address, Cause: err}
	}
	return Answer{
		Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Header: response.Header, Body: body,
	}, nil
}

// Fetch sends a request with CallTimeout and decodes the JSON answer into a value, unless the value is nil. Errors:
// those of Do, and *kernel.RejectedError for a status other than 2xx.
func (c *Client) Fetch(ctx context.Context, request Request, into any) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	answer, err := c.Do(ctx, request)
	if err != nil {
		return err
	}
	if answer.Status < http.StatusOK || answer.Status >= http.StatusMultipleChoices {
		return c.Rejection(answer)
	}
	if into == nil {
		return nil
	}
	return c.Decode(answer, into)
}

// Decode parses the JSON body of an answer. Errors: *kernel.ConnectionLostError with a *kernel.MalformedAnswerError.
func (c *Client) Decode(answer Answer, into any) error {
	if err := json.Unmarshal(answer.Body, into); err != nil {
		return &kernel.ConnectionLostError{Address: c.address, Cause: &kernel.MalformedAnswerError{Cause: err}}
	}
	return nil
}

// Rejection returns the error for an answer whose status isn't a success.
func (c *Client) Rejection(answer Answer) *kernel.RejectedError {
	body := answer.Body[:min(len(answer.Body), maxRejectionBytes)]
	return &kernel.RejectedError{
		Address: c.address, Status: answer.Status, Body: strings.TrimSpace(string(body)),
	}
}

// Status returns the HTTP status of a *kernel.RejectedError, or 0 for other errors.
func Status(err error) int {
	var rejected *kernel.RejectedError
	if errors.As(err, &rejected) {
		return rejected.Status
	}
	return 0
}

func (c *Client) buildRequest(ctx context.Context, request Request) (*http.Request, error) {
	if !strings.HasPrefix(request.Path, "/") {
		return nil, &InvalidPathError{Path: request.Path}
	}
	target, err := url.Parse("http://" + c.address + request.Path)
	if err != nil {
		return nil, &InvalidPathError{Path: request.Path}
	}
	built, err := http.NewRequestWithContext(ctx, request.Method, target.String(), bytes.NewReader(request.Body))
	if err != nil {
		return nil, err
	}
	if len(request.Body) > 0 {
		// Without GetBody the transport can't repeat the request.
		built.GetBody = nil
	}
	if request.ContentType != "" {
		built.Header.Set("Content-Type", request.ContentType)
	}
	for name, value := range request.Header {
		built.Header.Set(name, value)
	}
	return built, nil
}
