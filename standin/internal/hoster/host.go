// Package hoster serves one part of the platform on its own address and takes it down on request.
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

// Error is the class of the errors of a part's listener.
var Error = errs.Class("hoster")

// Faults that every hosted part has.
const (
	FaultFreeze = "freeze"
	FaultSlow   = "slow"
	FaultDown   = "down"
)

const (
	// downDefault is how long a part stays down if the fault request gives no time.
	downDefault = 500 * time.Millisecond
	// relistenPause separates attempts to take the address again after a crash.
	relistenPause = 20 * time.Millisecond
	// readHeaderTimeout ends connections that send no complete request header.
	readHeaderTimeout = 10 * time.Second
)

// CommonFaults describes the faults that every hosted part has.
func CommonFaults() map[string]string {
	return map[string]string{
		FaultFreeze: "requests are accepted but nothing answers or computes",
		FaultSlow:   "each answer starts value ms late",
		FaultDown:   "all connections are cut and new ones refused for value ms (default 500), or for_ms",
	}
}

// Host serves one handler on one address. Handlers see the context of the running instance.
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
		h.cut()
		return nil
	})
	return h, nil
}

// Address returns the "ip:port" that the part listens on.
func (h *Host) Address() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.address
}

// HookDown makes the fault "down" take the part down. Call it before the table is shared.
func (h *Host) HookDown() {
	h.table.Hook(FaultDown, func(value faulter.Value, length time.Duration) {
		if length == 0 {
			length = value.Millis(downDefault)
		}
		h.table.Clear(FaultDown)
		h.Down(length)
	})
}

// Down cuts all connections, refuses new ones for a length of time and then serves again.
func (h *Host) Down(length time.Duration) {
	generation := h.cut()
	h.log.Info("part is down", zap.String("part", h.name), zap.Duration("for", length))
	h.group.Go(func() error {
		pause := length
		for {
			select {
			case <-h.ctx.Done():
				return nil
			case <-time.After(pause):
			}
			if h.superseded(generation) || h.listen() == nil {
				return nil
			}
			pause = relistenPause
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

// cut closes the listener and all connections and returns the number of this cut.
func (h *Host) cut() int {
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
			case <-time.After(value.Millis(time.Second)):
			}
		}
		next.ServeHTTP(w, r)
	})
}
