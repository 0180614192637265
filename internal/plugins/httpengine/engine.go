// Package httpengine implements the engine protocol over HTTP.
package httpengine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/plugins/requester"
)

// Name is the name of this plug-in in the registry of engine protocols.
const Name = "httpengine"

// contentTypeJSON is the content type of request bodies.
const contentTypeJSON = "application/json"

func init() {
	kernel.Engines.Register(Name, New)
}

// Engine is a client of one model engine.
type Engine struct {
	client *requester.Client
}

// New returns a client of the engine at "ip:port". Errors: *requester.InvalidAddressError.
func New(address string) (kernel.EngineProtocol, func(), error) {
	client, closeClient, err := requester.New(address)
	if err != nil {
		return nil, nil, err
	}
	return &Engine{client: client}, closeClient, nil
}

// Generate sends a prompt on a new connection. See kernel.EngineProtocol for the errors.
func (e *Engine) Generate(ctx context.Context, request kernel.GenerateRequest) (kernel.TokenStream, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, &kernel.NotSentError{Address: e.client.Address(), Cause: err}
	}
	return e.open(ctx, request.StreamID, requester.Request{
		Method: http.MethodPost, Path: "/v1/generate", ContentType: contentTypeJSON, Body: body, NewConnection: true,
	})
}

// Resume continues a stream. Errors: those of requester.Client.Open, and *kernel.StreamUnknownError for a 404. Another
// error answer becomes a *kernel.ConnectionLostError that wraps a *kernel.RejectedError, because the stream may still
// exist.
func (e *Engine) Resume(ctx context.Context, streamID string, from int) (kernel.TokenStream, error) {
	stream, err := e.open(ctx, streamID, requester.Request{
		Method: http.MethodGet, Path: fmt.Sprintf("%s?from=%d", streamPath(streamID), from), NewConnection: true,
	})
	switch requester.Status(err) {
	case 0:
		return stream, err
	case http.StatusNotFound:
		return nil, &kernel.StreamUnknownError{Address: e.client.Address(), StreamID: streamID}
	}
	return nil, &kernel.ConnectionLostError{Address: e.client.Address(), Cause: err}
}

// open sends a request and returns its answer, which is a stream of frames.
func (e *Engine) open(ctx context.Context, streamID string, request requester.Request) (kernel.TokenStream, error) {
	response, err := e.client.Open(ctx, request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return newStream(e.client.Address(), streamID, response.Body), nil
	}
	defer func() { _ = response.Body.Close() }()
	// Only the status matters. If the body can't be read, the error just contains less of it.
	body := make([]byte, maxRejectionBytes)
	n, _ := response.Body.Read(body)
	return nil, e.client.Rejection(requester.Answer{Status: response.StatusCode, Body: body[:n]})
}

// Cancel ends a stream on the engine. A 404 is no error, since a stream that the engine doesn't know has already ended.
func (e *Engine) Cancel(ctx context.Context, streamID string) error {
	err := e.client.Fetch(ctx, requester.Request{Method: http.MethodDelete, Path: streamPath(streamID)}, nil)
	if requester.Status(err) == http.StatusNotFound {
		return nil
	}
	return err
}

// Load returns the engine's load report.
func (e *Engine) Load(ctx context.Context) (kernel.LoadReport, error) {
	var report kernel.LoadReport
	err := e.client.Fetch(ctx, requester.Request{Method: http.MethodGet, Path: "/v1/load"}, &report)
	return report, err
}

// CacheEvents returns the cache events with sequence numbers above after.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) (kernel.CacheEvents, error) {
	var events kernel.CacheEvents
	path := fmt.Sprintf("/v1/cache_events?after=%d", after)
	err := e.client.Fetch(ctx, requester.Request{
		Method: http.MethodGet, Path: path, MaxAnswerBytes: requester.MaxBulkAnswerBytes,
	}, &events)
	return events, err
}

// Order sends an order to the engine. Errors: those of requester.Client.Fetch, and *kernel.StaleFencingError for a 409.
func (e *Engine) Order(ctx context.Context, order kernel.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return &kernel.NotSentError{Address: e.client.Address(), Cause: err}
	}
	err = e.client.Fetch(ctx, requester.Request{
		Method: http.MethodPost, Path: "/v1/orders", ContentType: contentTypeJSON, Body: body,
	}, nil)
	if requester.Status(err) == http.StatusConflict {
		return &kernel.StaleFencingError{Address: e.client.Address(), Fencing: order.Fencing}
	}
	return err
}

// ExportKV returns the KV cache state of a prefix. If the prefix isn't cached, it returns a *kernel.RejectedError with
// status 404.
func (e *Engine) ExportKV(ctx context.Context, hash uint64) ([]byte, error) {
	var data json.RawMessage
	err := e.client.Fetch(ctx, requester.Request{
		Method: http.MethodGet, Path: kvPath(hash), MaxAnswerBytes: requester.MaxBulkAnswerBytes,
	}, &data)
	return data, err
}

// ImportKV stores the KV cache state of a prefix that another engine exported.
func (e *Engine) ImportKV(ctx context.Context, hash uint64, data []byte) error {
	return e.client.Fetch(ctx, requester.Request{
		Method: http.MethodPost, Path: kvPath(hash), ContentType: contentTypeJSON, Body: data,
	}, nil)
}

func streamPath(streamID string) string { return "/v1/streams/" + url.PathEscape(streamID) }

func kvPath(hash uint64) string { return fmt.Sprintf("/v1/kv/%d", hash) }
