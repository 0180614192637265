package holder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/claimer"
	"coltsfootplank/internal/dispatcher"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/recorder"
	"coltsfootplank/internal/ticketer"
)

// Tickets is the way to the schedulers.
type Tickets interface {
	Submit(ticket *protocol.Ticket, decider ticketer.DecisionHandler)
	Cancel(requestID string)
	Release(release *protocol.Release)
}

// Claims makes keyed requests run at most once across routers.
type Claims interface {
	Claim(ctx context.Context, scope claimer.Scope, requestID string) (claimer.Verdict, error)
	Void(ctx context.Context, scope claimer.Scope, claimID string) error
	RecordResult(ctx context.Context, scope claimer.Scope, claimID string, result claimer.Result) error
}

// Catalogue gives the current catalogue, never nil.
type Catalogue interface {
	Current() *cataloguer.Catalogue
}

// Settings bounds what this router holds.
type Settings struct {
	// MaxWaiting is the number of requests that may wait in this router.
	MaxWaiting int
	// MaxWait bounds the waiting of a request without a deadline.
	MaxWait time.Duration
	// ClaimTimeout bounds the wait for a claim.
	ClaimTimeout time.Duration
	// ResultTimeout bounds the recording of a result or the voiding of a claim.
	ResultTimeout time.Duration
	// Dispatch bounds the waiting for an upstream.
	Dispatch dispatcher.Settings
}

// DefaultSettings returns the settings for routers of today's size.
func DefaultSettings() Settings {
	return Settings{
		MaxWaiting:    20_000,
		MaxWait:       10 * time.Minute,
		ClaimTimeout:  5 * time.Second,
		ResultTimeout: 5 * time.Second,
		Dispatch:      dispatcher.DefaultSettings(),
	}
}

// Holder serves the requests of the callers that are connected to this router. Its methods may be called
// concurrently.
type Holder struct {
	settings  Settings
	catalogue Catalogue
	tickets   Tickets
	claims    Claims
	clients   *dispatcher.Clients
	recorder  *recorder.Recorder
	metrics   metrics.Registry
	logger    *zap.Logger

	table    *table
	draining atomic.Bool
	// admission orders the draining flag against the count of requests in flight.
	admission sync.RWMutex
	inFlight  sync.WaitGroup
}

// New returns a holder.
func New(
	settings Settings, catalogue Catalogue, tickets Tickets, claims Claims, clients *dispatcher.Clients,
	events *recorder.Recorder, registry metrics.Registry, logger *zap.Logger,
) *Holder {
	return &Holder{
		settings: settings, catalogue: catalogue, tickets: tickets, claims: claims, clients: clients,
		recorder: events, metrics: registry, logger: logger, table: newTable(settings.MaxWaiting),
	}
}

// Requests returns the requests held now, oldest first.
func (h *Holder) Requests() []RequestStatus { return h.table.rows(time.Now()) }

// Draining says whether new requests are refused.
func (h *Holder) Draining() bool { return h.draining.Load() }

// Drain refuses new requests from now on and waits until every accepted one has ended, or the context has.
func (h *Holder) Drain(ctx context.Context) error {
	h.admission.Lock()
	h.draining.Store(true)
	h.admission.Unlock()
	done := make(chan struct{})
	// WaitGroup.Go starts the waiting goroutine as a group of one.
	var waiter sync.WaitGroup
	waiter.Go(func() {
		h.inFlight.Wait()
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return &DrainError{InFlight: len(h.Requests()), Cause: context.Cause(ctx)}
	}
}

// enter counts a request in, or returns false while draining.
func (h *Holder) enter() bool {
	h.admission.RLock()
	defer h.admission.RUnlock()
	if h.draining.Load() {
		return false
	}
	h.inFlight.Add(1)
	return true
}

func (h *Holder) record(request *Request, kind recorder.Kind, detail string) {
	h.recorder.Record(recorder.Event{
		Kind: kind, RequestID: request.ID, Workspace: request.Workspace, Work: request.Work.Name,
		Pool: request.Work.Pool, Tier: request.Work.Tier, Key: request.Key, Upstream: request.upstream, Detail: detail,
		AgeMS: time.Since(request.Arrived).Milliseconds(), Version: request.Version,
	})
}
