package extrapolator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/claimer"
	"coltsfootplank/internal/dispatcher"
	"coltsfootplank/internal/holder"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/receiver"
	"coltsfootplank/internal/recorder"
	"coltsfootplank/internal/ticketer"
)

const (
	frontProtocol = "capacity_front"
	frontKey      = "capacity-key"
	// promptBytes is the size of a prompt of about 500 tokens.
	promptBytes = 2000
	// frontTokens sets the number of requests at each size: the more tokens a request has, the fewer are sent, down to a
	// minimum.
	frontTokens = 300_000
)

func init() {
	kernel.Engines.Register(frontProtocol, func(string) (kernel.EngineProtocol, func(), error) {
		return instantEngine{}, func() {}, nil
	})
}

// instantEngine is an in-memory engine that returns max_tokens tokens without delay.
type instantEngine struct{ kernel.EngineProtocol }

// Generate implements kernel.EngineProtocol.
func (instantEngine) Generate(_ context.Context, request kernel.GenerateRequest) (kernel.TokenStream, error) {
	return &instantStream{request: request}, nil
}

type instantStream struct {
	request kernel.GenerateRequest
	next    int
}

// Next implements kernel.TokenStream.
func (s *instantStream) Next() (kernel.Frame, error) {
	if s.next > s.request.MaxTokens {
		return kernel.Frame{}, io.EOF
	}
	frame := kernel.Frame{StreamID: s.request.StreamID, Index: s.next, Token: " vane"}
	if s.next == s.request.MaxTokens {
		frame = kernel.Frame{StreamID: s.request.StreamID, Done: true, Total: s.next}
	}
	s.next++
	return frame, nil
}

// Close implements kernel.TokenStream.
func (s *instantStream) Close() error { return nil }

// instantTickets grants each ticket immediately, or none if withhold is set.
type instantTickets struct{ withhold bool }

// Submit implements holder.Tickets.
func (t instantTickets) Submit(ticket *protocol.Ticket, handler ticketer.DecisionHandler) {
	if !t.withhold {
		handler.Granted(&protocol.Grant{RequestId: ticket.GetRequestId(), Engine: "e", Attempt: 1})
	}
}

// Cancel implements holder.Tickets.
func (instantTickets) Cancel(string) {}

// Release implements holder.Tickets.
func (instantTickets) Release(*protocol.Release) {}

// unusedClaims implements holder.Claims. The requests of these measurements have no idempotency key, so that no method
// is called.
type unusedClaims struct{ *claimer.Claimer }

// newFrontHandler returns the HTTP API for callers and its holder, backed by an in-memory engine. No request is granted
// if withhold is set.
func newFrontHandler(withhold bool) (http.Handler, *holder.Holder, func(), error) {
	text := fmt.Sprintf(`
workspaces: [{name: forge, weight: 1, key_hashes: ["%x"]}]
pools: [{name: p, protocol: %s, upstreams: [{name: e, address: "127.0.0.1:1", data_centre: d, slots: 4}]}]
works: [{name: brief, owner: o, class: stream, tier: 1, pool: p, model: m, idempotent: true, deadline: 600s}]
`, sha256.Sum256([]byte(frontKey)), frontProtocol)
	catalogue, err := cataloguer.Parse([]byte(text))
	if err != nil {
		return nil, nil, nil, Error.Wrap(err)
	}
	clients, cleanup := dispatcher.NewClients()
	requestHolder := holder.New(holder.DefaultSettings(), fixedCatalogue{catalogue}, instantTickets{withhold}, unusedClaims{}, clients,
		recorder.New("r", 1024), metrics.NewRegistry(), zap.NewNop())
	settings := receiver.Settings{MaxBodyBytes: 1 << 20, Ready: func() bool { return true }}
	return receiver.New(settings, fixedCatalogue{catalogue}, requestHolder, zap.NewNop()).Handler(), requestHolder, cleanup, nil
}

func chatBody(tokens int) string {
	return fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"%s"}]}`,
		tokens, strings.Repeat("crock lid ", promptBytes/10))
}

// discardWriter is a response writer that discards the body and records whether the stream was completed.
type discardWriter struct {
	header http.Header
	status int
	done   bool
}

func (w *discardWriter) Header() http.Header { return w.header }

func (w *discardWriter) WriteHeader(status int) { w.status = status }

func (w *discardWriter) Write(p []byte) (int, error) {
	w.done = bytes.Contains(p, []byte("[DONE]"))
	return len(p), nil
}

func (w *discardWriter) Flush() {}

// frontResult is the cost of one request at one number of output tokens: CPU in seconds, and allocations.
type frontResult struct {
	cpu    float64
	allocs float64
}

// measureFront measures receiver, holder and dispatcher without the network.
func measureFront(ctx context.Context, tokens int) (frontResult, error) {
	handler, _, cleanup, err := newFrontHandler(false)
	if err != nil {
		return frontResult{}, err
	}
	defer cleanup()
	body, requests := chatBody(tokens), max(500, frontTokens/tokens/10)
	c, err := measureCost(func() error {
		for range requests {
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
			if err != nil {
				return Error.Wrap(err)
			}
			request.Header.Set("Authorization", "Bearer "+frontKey)
			w := &discardWriter{header: make(http.Header)}
			handler.ServeHTTP(w, request)
			if !w.done {
				return &UnexpectedError{Component: "receiver", Detail: fmt.Sprintf("incomplete response, status %d", w.status)}
			}
		}
		return nil
	})
	return frontResult{cpu: c.cpu.Seconds() / float64(requests), allocs: c.allocs / float64(requests)}, err
}

// measureFrontNetwork measures the same as measureFront over loopback connections, the cost of the client included.
func measureFrontNetwork(ctx context.Context, tokens int) (frontResult, error) {
	handler, _, cleanup, err := newFrontHandler(false)
	if err != nil {
		return frontResult{}, err
	}
	defer cleanup()
	server := httptest.NewServer(handler)
	defer server.Close()
	body, requests := chatBody(tokens), max(200, frontTokens/tokens/20)
	c, err := measureCost(func() error {
		for range requests {
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/v1/chat/completions", strings.NewReader(body))
			if err != nil {
				return Error.Wrap(err)
			}
			request.Header.Set("Authorization", "Bearer "+frontKey)
			response, err := server.Client().Do(request)
			if err != nil {
				return Error.Wrap(err)
			}
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if err != nil {
				return Error.Wrap(err)
			}
		}
		return nil
	})
	return frontResult{cpu: c.cpu.Seconds() / float64(requests), allocs: c.allocs / float64(requests)}, err
}

// measureHeldRequests returns the memory of count requests that wait for a grant, each on its own TCP connection. The
// clients are plain sockets, to add little memory of their own.
func measureHeldRequests(ctx context.Context, count int) (float64, error) {
	handler, requestHolder, cleanup, err := newFrontHandler(true)
	if err != nil {
		return 0, err
	}
	defer cleanup()
	server := httptest.NewServer(handler)
	defer server.Close()
	base := memoryInUse()
	body := chatBody(1)
	text := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		frontKey, len(body), body)
	var dialer net.Dialer
	for range count {
		conn, err := dialer.DialContext(ctx, "tcp", server.Listener.Addr().String())
		if err != nil {
			return 0, Error.Wrap(err)
		}
		defer conn.Close() //nolint:errcheck // Only the memory is measured.
		if _, err := io.WriteString(conn, text); err != nil {
			return 0, Error.Wrap(err)
		}
	}
	if err := waitUntil(10*time.Millisecond, 20*time.Second, "all requests are held", func() bool {
		return len(requestHolder.Requests()) == count
	}); err != nil {
		return 0, err
	}
	return memoryInUse() - base, nil
}
