package extrapolator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/plugins/httpengine"
)

// pollRounds is the number of measured polls of each engine.
const pollRounds = 20

// pollResult is the cost of polling each engine once for a load report and a page of cache events, in bytes and CPU
// seconds. reportBytes counts the load reports alone.
type pollResult struct {
	bytes       float64
	cpu         float64
	reportBytes float64
}

// measurePolling polls a number of engines over the loopback interface, with 8 cache events in each page.
func measurePolling(ctx context.Context, engines int) (pollResult, error) {
	var result pollResult
	listener, err := listen()
	if err != nil {
		return result, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"instance":"01900000-0000-7000-8000-000000000000","running":12,"waiting":1,"batch_slots":16,"kv_used":100000,"kv_total":400000,"draining":false,"age_ms":250}`))
	})
	page := `{"events":[`
	for i := range 8 {
		if i > 0 {
			page += ","
		}
		page += `{"seq":1234567,"kind":"stored","hash":13835058055282163712}`
	}
	page += `],"next":1234567}`
	mux.HandleFunc("GET /v1/cache_events", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(page)) })
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}}
	server.Start()
	defer server.Close()
	clients := make([]kernel.EngineProtocol, engines)
	for i := range clients {
		client, cleanup, err := httpengine.New(listener.Addr().String())
		if err != nil {
			return result, err
		}
		defer cleanup()
		clients[i] = client
	}
	before := listener.bytes.Load()
	c, err := measureCost(func() error {
		for range pollRounds {
			for _, client := range clients {
				if _, err := client.Load(ctx); err != nil {
					return err
				}
				if _, err := client.CacheEvents(ctx, 1); err != nil {
					return err
				}
			}
		}
		return nil
	})
	result.bytes = float64(listener.bytes.Load()-before) / pollRounds
	result.cpu = c.cpu.Seconds() / pollRounds
	if err != nil {
		return result, err
	}
	before = listener.bytes.Load()
	for _, client := range clients {
		if _, err := client.Load(ctx); err != nil {
			return result, err
		}
	}
	result.reportBytes = float64(listener.bytes.Load() - before)
	return result, nil
}
