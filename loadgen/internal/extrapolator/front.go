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
	// promptBytes is a prompt of some 500 tokens.
	promptBytes = 2000
	// frontTokens is about how many tokens are measured at each size.
	frontTokens = 300_000
)

func init() {
	kernel.Engines.Register(frontProtocol, func(string) (kernel.EngineProtocol, func(), error) {
		return wordEngine{}, func() {}, nil
	})
}

// wordEngine answers with max_tokens tokens at once, in memory.
type wordEngine struct{ kernel.EngineProtocol }

// Generate implements kernel.EngineProtocol.
func (wordEngine) Generate(_ context.Context, request kernel.GenerateRequest) (kernel.TokenStream, error) {
	return &wordStream{request: request}, nil
}

type wordStream struct {
	request kernel.GenerateRequest
	next    int
}

// Next implements kernel.TokenStream.
func (s *wordStream) Next() (kernel.Frame, error) {
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
func (s *wordStream) Close() error { return nil }

// instantTickets grants each ticket at once, or none if hold is set.
type instantTickets struct{ hold bool }

// Submit implements holder.Tickets.
func (t instantTickets) Submit(ticket *protocol.Ticket, decider ticketer.DecisionHandler) {
	if !t.hold {
		decider.Granted(&protocol.Grant{RequestId: ticket.GetRequestId(), Engine: "e", Attempt: 1})
	}
}

// Cancel implements holder.Tickets.
func (instantTickets) Cancel(string) {}

// Release implements holder.Tickets.
func (instantTickets) Release(*protocol.Release) {}

type noClaims struct{ *claimer.Claimer }

// newFront returns the callers' API over a holder and an engine in memory.
func newFront(hold bool) (http.Handler, *holder.Holder, func(), error) {
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
	served := holder.New(holder.DefaultSettings(), fixedCatalogue{catalogue}, instantTickets{hold}, noClaims{}, clients,
		recorder.New("r", 1024), metrics.NewRegistry(), zap.NewNop())
	settings := receiver.Settings{MaxBodyBytes: 1 << 20, Ready: func() bool { return true }}
	return receiver.New(settings, fixedCatalogue{catalogue}, served, zap.NewNop()).Handler(), served, cleanup, nil
}

func chatBody(tokens int) string {
	return fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"%s"}]}`,
		tokens, strings.Repeat("crock lid ", promptBytes/10))
}

// discardWriter is a response writer that keeps nothing.
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

// frontRun is the cost of one request with an answer of some tokens: CPU in seconds, and allocations.
type frontRun struct {
	cpu    float64
	allocs float64
}

// runFront measures receiver, holder and dispatcher without the network.
func runFront(ctx context.Context, tokens int) (frontRun, error) {
	handler, _, cleanup, err := newFront(false)
	if err != nil {
		return frontRun{}, err
	}
	defer cleanup()
	body, requests := chatBody(tokens), max(500, frontTokens/tokens/10)
	c, err := spent(func() error {
		for range requests {
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
			if err != nil {
				return Error.Wrap(err)
			}
			request.Header.Set("Authorization", "Bearer "+frontKey)
			w := &discardWriter{header: make(http.Header)}
			handler.ServeHTTP(w, request)
			if !w.done {
				return &UnexpectedError{Part: "receiver", Detail: fmt.Sprintf("no whole answer, status %d", w.status)}
			}
		}
		return nil
	})
	return frontRun{cpu: c.cpu.Seconds() / float64(requests), allocs: c.allocs / float64(requests)}, err
}

// runFrontNetwork is runFront over loopback connections. It includes the cost of the client's end.
func runFrontNetwork(ctx context.Context, tokens int) (frontRun, error) {
	handler, _, cleanup, err := newFront(false)
	if err != nil {
		return frontRun{}, err
	}
	defer cleanup()
	server := httptest.NewServer(handler)
	defer server.Close()
	body, requests := chatBody(tokens), max(200, frontTokens/tokens/20)
	c, err := spent(func() error {
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
	return frontRun{cpu: c.cpu.Seconds() / float64(requests), allocs: c.allocs / float64(requests)}, err
}

// runHeld returns the memory of one held request over a real connection, whose client's end is a bare socket.
func runHeld(ctx context.Context, count int) (float64, error) {
	handler, served, cleanup, err := newFront(true)
	if err != nil {
		return 0, err
	}
	defer cleanup()
	server := httptest.NewServer(handler)
	defer server.Close()
	base := memory()
	body := chatBody(1)
	text := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		frontKey, len(body), body)
	var dialer net.Dialer
	for range count {
		conn, err := dialer.DialContext(ctx, "tcp", server.Listener.Addr().String())
		if err != nil {
			return 0, Error.Wrap(err)
		}
		defer conn.Close() //nolint:errcheck // Only the memory counts.
		if _, err := io.WriteString(conn, text); err != nil {
			return 0, Error.Wrap(err)
		}
	}
	if err := waitUntil(10*time.Millisecond, 20*time.Second, "all requests are held", func() bool {
		return len(served.Requests()) == count
	}); err != nil {
		return 0, err
	}
	return memory() - base, nil
}
