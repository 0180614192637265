package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"coltsfootplank/internal/abstainer"
	"coltsfootplank/internal/accountant"
	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/connector"
	"coltsfootplank/internal/holder"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/limiter"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/subscriber"
)

// Holder serves a request from its arrival until its answer ends. It returns nil if the whole answer was relayed.
type Holder interface {
	Serve(ctx context.Context, request *holder.Request) *holder.Refusal
}

// RoutingConfigSource provides the current routing configuration and the state of upstreams.
type RoutingConfigSource interface {
	// AwaitRoutingConfig returns the newest configuration. If there is none yet, it waits for the first one, and
	// returns nil when the wait is over or ctx ends.
	AwaitRoutingConfig(ctx context.Context, wait time.Duration) *subscriber.RoutingConfig
	// Departed reports whether an upstream is known to be leaving or gone. registered is cataloguer.Upstream.Registered as the
	// scheduler that granted the upstream knows it.
	Departed(upstream string, registered int64) bool
	// DirectoryFailing reports whether the last read of the configuration failed.
	DirectoryFailing() bool
	// Confirmed returns when the directory last had no newer configuration; zero if that isn't known.
	Confirmed() time.Time
}

// Abstainer keeps what upstreams ask of this router in their answers.
type Abstainer interface {
	Observe(upstream abstainer.Upstream, notice kernel.Notice)
	Asked(upstream abstainer.Upstream) kernel.Notice
}

// Rollouts decides which versions of a service may get requests.
type Rollouts interface {
	// Arrived counts a request for a service.
	Arrived(service string)
	// Begin returns false if an upstream may not get a request. Otherwise end must be called when the attempt has ended.
	Begin(service, route string, upstream *cataloguer.Upstream) (end func(kind protocol.ReleaseKind, latency time.Duration), ok bool)
}

// Options are the dependencies of a forwarder.
type Options struct {
	RoutingConfigSource RoutingConfigSource
	Holder              Holder
	Dialect             kernel.Dialect
	Connector           *connector.Connector
	RepeatBudget        *limiter.RepeatBudget
	Abstainer           Abstainer
	// Rollouts is nil if versions don't matter.
	Rollouts Rollouts
	// Draining reports whether this router is stopping; callers are then told not to reuse their connections.
	Draining func() bool
	// MaxBodyBytes limits the body of a request if the routing configuration states no limit.
	MaxBodyBytes int64
	// MaxBodyMemory limits the memory of the long bodies of all requests together, in bytes; 0 means no limit, also of the
	// short ones.
	MaxBodyMemory int64
	// Account counts the bodies; it may be nil.
	Account *accountant.Accountant
	Metrics metrics.Registry
	Logger  *zap.Logger
}

// Forwarder is the HTTP handler for requests to published routes.
type Forwarder struct {
	options Options
	bodies  *bodyMemory
}

// New returns a forwarder.
func New(options Options) *Forwarder {
	return &Forwarder{options: options, bodies: newBodyMemory(options.MaxBodyMemory, options.Account, options.Metrics)}
}

// ServeHTTP serves one request. If an answer that has begun can't be completed, ServeHTTP aborts the connection, so
// that the caller doesn't take the answer for a complete one.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.options.Draining() {
		w.Header().Set("Connection", "close")
	}
	arrived := time.Now()
	x, refusal := f.acceptRequest(w, r, arrived)
	defer x.releaseBody()
	if refusal != nil {
		f.refuseRequest(w, r, x, refusal)
		return
	}
	if f.options.Rollouts != nil {
		f.options.Rollouts.Arrived(x.service)
	}
	refusal = f.options.Holder.Serve(r.Context(), x.holderRequest)
	f.recordOutcome(x, refusal, time.Since(arrived))
	switch {
	case refusal == nil && x.headWritten:
	case refusal == nil:
		f.options.Logger.Error("no answer written; aborting the connection", zap.String("request_id", x.holderRequest.ID))
		f.abort(w, r)
	case x.headWritten || refusal.Code == holder.CodeCallerGone:
		f.abort(w, r)
	default:
		writeRefusal(w, refusal)
	}
}

// abort ends an answer so that the caller doesn't take it for a complete one. A caller of HTTP/1.0 takes the regular end
// of the connection for the end of the answer, so its connection is reset.
func (f *Forwarder) abort(w http.ResponseWriter, r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		f.options.Logger.Warn("connection not reset; its caller may take the answer for complete", zap.Error(err))
		panic(http.ErrAbortHandler)
	}
	connector.Reset(conn)
}

// refuseRequest writes the refusal of a request that wasn't handed to the holder.
func (f *Forwarder) refuseRequest(w http.ResponseWriter, r *http.Request, x *exchange, refusal *holder.Refusal) {
	fields := []zap.Field{
		zap.String("request_id", x.metadata.RequestID), zap.String("host", r.Host), zap.String("path", r.URL.Path),
		zap.Int("status", status(refusal)), zap.String("code", string(refusal.Code)), zap.String("reason", refusal.Message),
	}
	if x.config != nil {
		fields = append(fields, x.config.Fields(time.Now(), f.options.RoutingConfigSource.Confirmed())...)
	}
	f.options.Logger.Info("request turned away", fields...)
	metrics.GetOrRegisterCounter("requests.turned_away."+string(refusal.Code), f.options.Metrics).Inc(1)
	writeRefusal(w, refusal)
}

// histogramReservoirSize is the number of samples that a latency histogram keeps.
const histogramReservoirSize = 512

// histogramDecay gives recent samples more weight; the value is the usual one with go-metrics.
const histogramDecay = 0.015

// recordOutcome updates the latency histograms and logs a request whose answer was relayed.
func (f *Forwarder) recordOutcome(x *exchange, refusal *holder.Refusal, total time.Duration) {
	outcome := "answered"
	if refusal != nil {
		outcome = "refused"
	}
	f.updateHistogram("latency_ms."+outcome, total)
	if x.timeToFirstByte > 0 {
		f.updateHistogram("first_byte_ms", x.timeToFirstByte)
		f.options.Logger.Info("answer passed on", zap.String("request_id", x.holderRequest.ID), zap.String("work", x.route.Name),
			zap.String("upstream", x.upstream), zap.Int("status", x.status), zap.Int("sends", x.sends), zap.Int("prompt_tokens", x.metadata.PromptTokens),
			zap.Int("max_output_tokens", x.metadata.OutputTokens), zap.Int("estimated_output_tokens", x.metadata.OutputEstimate),
			zap.Int("events", x.sequence.events), zap.Int64("wait_ms", x.waitTime.Milliseconds()),
			zap.Int64("first_byte_ms", x.timeToFirstByte.Milliseconds()), zap.Int64("objective_ms", x.route.Objective.Milliseconds()),
			zap.Int64("longest_pause_ms", x.longestPause.Milliseconds()), zap.Int64("total_ms", total.Milliseconds()),
			zap.Bool("whole", refusal == nil))
	}
}

func (f *Forwarder) updateHistogram(name string, value time.Duration) {
	f.options.Metrics.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(histogramReservoirSize, histogramDecay))
	}).(metrics.Histogram).Update(value.Milliseconds())
}
