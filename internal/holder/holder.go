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

// Tickets submits tickets to the schedulers and releases their grants.
type Tickets interface {
	Submit(ticket *protocol.Ticket, handler ticketer.DecisionHandler)
	Cancel(requestID string)
	Release(release *protocol.Release)
}

// Claims records claims of idempotency keys, so that a request with a key runs at most once across all routers.
type Claims interface {
	Claim(ctx context.Context, scope claimer.Scope, requestID string) (claimer.Verdict, error)
	Void(ctx context.Context, scope claimer.Scope, claimID string) error
	RecordResult(ctx context.Context, scope claimer.Scope, claimID string, result claimer.Result) error
}

// Catalogue provides the current catalogue, which is never nil.
type Catalogue interface {
	Current() *cataloguer.Catalogue
}

// Settings configures a holder.
type Settings struct {
	// MaxWaiting is the maximum number of requests that wait in this router.
	MaxWaiting int
	// MaxWait is the maximum waiting time of a request without a deadline.
	MaxWait time.Duration
	// ClaimTimeout bounds the time to claim a key.
	ClaimTimeout time.Duration
	// ResultTimeout bounds the time to record a result or to void a claim.
	ResultTimeout time.Duration
	// Dispatch bounds the time spent on an upstream.
	Dispatch dispatcher.Settings
}

// DefaultSettings returns the default settings.
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

	table    *requestTable
	draining atomic.Bool
	// stopping is set at the end of a drain, when the requests that still wait are refused.
	stopping atomic.Bool
	// admission guards the check of draining and the increment of inFlight, so that Drain waits for every request that
	// was accepted before it.
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
		recorder: events, metrics: registry, logger: logger, table: newRequestTable(settings.MaxWaiting),
	}
}

// Requests returns the status of all current requests, oldest first.
func (h *Holder) Requests() []RequestStatus { return h.table.statuses(time.Now()) }

// Draining reports whether new requests are refused.
func (h *Holder) Draining() bool { return h.draining.Load() }

// stopRetryAfter is the Retry-After of a router that is stopping. By then the load balancer sends new connections to others.
const stopRetryAfter = time.Second

// refusalTime is how long Drain waits for its last refusals to reach their callers.
const refusalTime = 200 * time.Millisecond

// Drain refuses new requests and waits until all accepted requests have ended. When the context ends, it refuses those that
// still wait for an upstream, because the process may end before they have been answered.
func (h *Holder) Drain(ctx context.Context) error {
	h.admission.Lock()
	h.draining.Store(true)
	h.admission.Unlock()
	done := make(chan struct{})
	// The WaitGroup only starts the goroutine. Nothing waits for it, because it outlives Drain if the context ends
	// first.
	var waiter sync.WaitGroup
	waiter.Go(func() {
		h.inFlight.Wait()
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	h.refuseWaiting()
	timer := time.NewTimer(refusalTime)
	defer timer.Stop()
	select {
	case <-done:
		return nil
	case <-timer.C:
		return &DrainError{InFlight: len(h.Requests()), Cause: context.Cause(ctx)}
	}
}

// refuseWaiting refuses the requests that wait for an upstream. Those that begin to wait later are refused by schedule.
func (h *Holder) refuseWaiting() {
	h.stopping.Store(true)
	for _, request := range h.table.waitingRequests() {
		request.deliver(decision{refusal: stopRefusal()})
	}
}

// stopRefusal returns the refusal of a request that this router can't serve before it stops.
func stopRefusal() *Refusal {
	return &Refusal{
		Outcome: OutcomeNotRun, Code: CodeDraining, Message: "this router is stopping; try another", RetryAfter: stopRetryAfter,
	}
}

// admit counts a request as in flight. It returns false if the holder is draining.
func (h *Holder) admit() bool {
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
