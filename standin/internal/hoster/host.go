// Package hoster serves one component of the platform on its own address and takes it down on request.
package hoster

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"coltsfootplank/standin/internal/faulter"
)

// Error is the class of errors from a component's listener.
var Error = errs.Class("hoster")

// Faults that all components have.
const (
	FaultFreeze = "freeze"
	FaultSlow   = "slow"
	FaultDown   = "down"
)

const (
	// defaultDowntime is how long a component stays down if the fault request gives no time.
	defaultDowntime = 500 * time.Millisecond
	// relistenInterval is the time between attempts to listen on the address again after downtime.
	relistenInterval = 20 * time.Millisecond
	// readHeaderTimeout closes connections that don't send a complete request header in time.
	readHeaderTimeout = 10 * time.Second
)

// CommonFaults returns the descriptions of the faults that all components have.
func CommonFaults() map[string]string {
	return map[string]string{
		FaultFreeze: "connections are accepted, but no request gets a response and nothing is computed",
		FaultSlow:   "each request is delayed by value ms",
		FaultDown:   "all connections are cut and new ones refused for value ms (default 500), or for_ms",
	}
}

// Host serves one handler on one address. Taking it down closes its connections, which cancels the contexts of their
// requests.
type Host struct {
	name    string
	handler http.Handler
	table   *faulter.Table
	group   *errgroup.Group
	ctx     context.Context
	log     *zap.Logger

	mu         sync.Mutex
	address    string
	server     *http.Server
	generation int
}

// New listens on address (port 0 chooses a free one) and serves handler until ctx ends.
func New(
	ctx context.Context, group *errgroup.Group, log *zap.Logger, name, address string,
	table *faulter.Table, handler http.Handler,
) (*Host, error) {
	h := &Host{name: name, address: address, table: table, group: group, ctx: ctx, log: log}
	h.handler = h.withFaults(handler)
	if err := h.listen(); err != nil {
		return nil, err
	}
	group.Go(func() error {
		<-ctx.Done()
		h.closeServer()
		return nil
	})
	return h, nil
}

// Address returns the "ip:port" that the component listens on.
func (h *Host) Address() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.address
}

// HookDownFault makes the fault "down" take the component down. It must be called before the table is shared.
func (h *Host) HookDownFault() {
	h.table.Hook(FaultDown, func(value faulter.Value, duration time.Duration) {
		if duration == 0 {
			duration = value.MillisOr(defaultDowntime)
		}
		h.table.Clear(FaultDown)
		h.TakeDown(duration)
	})
}

// TakeDown closes all connections, refuses new ones for the duration and then serves again.
func (h *Host) TakeDown(duration time.Duration) {
	generation := h.closeServer()
	h.log.Info("component is down", zap.String("part", h.name), zap.Duration("for", duration))
	h.group.Go(func() error {
		delay := duration
		for {
			select {
			case <-h.ctx.Done():
				return nil
			case <-time.After(delay):
			}
			if h.superseded(generation) || h.listen() == nil {
				return nil
			}
			delay = relistenInterval
		}
	})
}

func (h *Host) listen() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx.Err() != nil || h.server != nil {
		return nil
	}
	listener, err := (&net.ListenConfig{}).Listen(h.ctx, "tcp", h.address)
	if err != nil {
		return Error.Wrap(err)
	}
	h.address = listener.Addr().String()
	server := &http.Server{Handler: h.handler, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: zap.NewStdLog(h.log)}
	h.server = server
	h.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return Error.Wrap(err)
		}
		return nil
	})
	return nil
}

// closeServer closes the listener and all connections. It returns the new generation, by which TakeDown detects that a
// later call has replaced it.
func (h *Host) closeServer() int {
	h.mu.Lock()
	server := h.server
	h.server = nil
	h.generation++
	generation := h.generation
	h.mu.Unlock()
	if server != nil {
		if err := server.Close(); err != nil {
			h.log.Debug("close listener", zap.String("part", h.name), zap.Error(err))
		}
	}
	return generation
}

func (h *Host) superseded(generation int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.generation != generation
}

func (h *Host) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := h.table.Wait(r.Context(), FaultFreeze); err != nil {
			panic(http.ErrAbortHandler)
		}
		if value, ok := h.table.Get(FaultSlow); ok {
			select {
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			case <-time.After(value.MillisOr(time.Second)):
			}
		}
		next.ServeHTTP(w, r)
	})
}
