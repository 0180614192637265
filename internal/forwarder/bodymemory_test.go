package forwarder

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/holder"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/limiter"
)

// waitingHolder keeps requests until it is released, and then refuses them as invalid.
type waitingHolder struct {
	held     atomic.Int64
	released chan struct{}
}

func (h *waitingHolder) Serve(context.Context, *holder.Request) *holder.Refusal {
	h.held.Add(1)
	<-h.released
	return invalidRequest("released")
}

// TestLongBodiesExceedMemory guards against requests whose bodies together exceed the router's memory, against short requests
// that wait for long ones, and against memory that isn't freed after an answer or a refusal.
func TestLongBodiesExceedMemory(t *testing.T) {
	const (
		bodyBytes = 1 << 20
		// room is the number of bodies that fit into the memory.
		room     = 2
		requests = 6
	)
	long := strings.Repeat("x", bodyBytes)
	for _, framing := range []struct {
		name    string
		chunked bool
	}{{"stated length", false}, {"chunked", true}} {
		t.Run(framing.name, func(t *testing.T) {
			waiting := &waitingHolder{released: make(chan struct{})}
			server := httptest.NewServer(New(Options{
				RoutingConfigSource: configWithRoute(route(kernel.RouteAtMostOnce), 1), Holder: waiting, Dialect: dialect{},
				Draining:     func() bool { return false },
				RepeatBudget: limiter.NewRepeatBudget(limiter.RepeatBudgetSettings{Ratio: 1, Slack: 100, Routers: func() int { return 1 }}),
				MaxBodyBytes: bodyBytes, MaxBodyMemory: room * bodyBytes, Metrics: metrics.NewRegistry(), Logger: zap.NewNop(),
			}))
			defer server.Close()
			release := sync.OnceFunc(func() { close(waiting.released) })
			defer release()
			post := func(body string) int {
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/a/", strings.NewReader(body))
				assert.Check(t, err)
				request.Host = "h"
				if framing.chunked {
					request.ContentLength = -1
				}
				for name, value := range callerHeader {
					request.Header.Set(name, value)
				}
				response, err := (&http.Transport{}).RoundTrip(request)
				if err != nil {
					// The router closes the connection of a request whose body it doesn't read.
					return http.StatusServiceUnavailable
				}
				defer func() { _ = response.Body.Close() }()
				assert.Check(t, response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") != "")
				return response.StatusCode
			}
			var group sync.WaitGroup
			var refused atomic.Int64
			for range requests {
				group.Go(func() {
					if post(long) == http.StatusServiceUnavailable {
						refused.Add(1)
					}
				})
			}
			time.Sleep(bodyMemoryWait / 2)
			assert.Equal(t, waiting.held.Load(), int64(room))
			if !framing.chunked {
				group.Go(func() { post("short") })
				time.Sleep(bodyMemoryWait / 4)
				assert.Equal(t, waiting.held.Load(), int64(room+1), "a short request waits")
			}
			time.Sleep(bodyMemoryWait)
			release()
			group.Wait()
			assert.Equal(t, refused.Load(), int64(requests-room))
			for range 3 * room {
				assert.Equal(t, post(long), http.StatusBadRequest)
			}
		})
	}
}
