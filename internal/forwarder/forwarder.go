package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"coltsfootplank/internal/connector"
	"coltsfootplank/internal/holder"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/limiter"
	"coltsfootplank/internal/subscriber"
)

// Server serves one request from arrival to its answer; nil means that the whole answer was passed on.
type Server interface {
	Serve(ctx context.Context, request *holder.Request) *holder.Refusal
}

// RoutingConfigSource gives the newest plan, nil before the first, and says which upstreams are known to leave.
type RoutingConfigSource interface {
	// AwaitRoutingConfig waits for the first plan for a time at most, or until ctx ends.
	AwaitRoutingConfig(ctx context.Context, wait time.Duration) *subscriber.RoutingConfig
	Departed(upstream string) bool
}

// Options are the dependencies of a forwarder.
type Options struct {
	RoutingConfigSource RoutingConfigSource
	Server              Server
	Dialect             kernel.Dialect
	Connector           *connector.Connector
	RepeatBudget        *limiter.RepeatBudget
	// Draining says that this router is stopping: callers are told not to reuse their connections.
	Draining func() bool
	// MaxBodyBytes bounds a request's body where the publication states no limit.
	MaxBodyBytes int64
	Metrics      metrics.Registry
	Logger       *zap.Logger
}

// Forwarder is the callers' HTTP handler for published routes.
type Forwarder struct {
	options Options
}

// New returns a forwarder.
func New(options Options) *Forwarder { return &Forwarder{options: options} }

// ServeHTTP serves one request. An answer that can't be completed ends with its connection, so that it doesn't look
// whole.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.options.Draining() {
		w.Header().Set("Connection", "close")
	}
	arrived := time.Now()
	x, refusal := f.intake(w, r, arrived)
	if refusal != nil {
		f.turnAway(w, r, x, refusal)
		return
	}
	refusal = f.options.Server.Serve(r.Context(), x.held)
	f.observe(x, refusal, time.Since(arrived))
	if refusal == nil {
		return
	}
	if x.started || refusal.Code == holder.CodeCallerGone {
		panic(http.ErrAbortHandler)
	}
	writeRefusal(w, refusal)
}

// turnAway refuses a request that didn't become one of the holder's.
func (f *Forwarder) turnAway(w http.ResponseWriter, r *http.Request, x *exchange, refusal *holder.Refusal) {
	f.options.Logger.Info("request turned away", zap.String("request_id", x.envelope.RequestID),
		zap.String("host", r.Host), zap.String("path", r.URL.Path), zap.Int64("version", x.version),
		zap.String("code", string(refusal.Code)), zap.String("reason", refusal.Message))
	metrics.GetOrRegisterCounter("requests.turned_away."+string(refusal.Code), f.options.Metrics).Inc(1)
	writeRefusal(w, refusal)
}

// histogramSamples is the size of the reservoir of a latency histogram.
const histogramSamples = 512

// histogramDecay weighs recent samples more; the value is the usual one of the library.
const histogramDecay = 0.015

// observe adds a request's time to the histograms.
func (f *Forwarder) observe(x *exchange, refusal *holder.Refusal, total time.Duration) {
	outcome := "answered"
	if refusal != nil {
		outcome = "refused"
	}
	f.sample("latency_ms."+outcome, total)
	if x.firstByte > 0 {
		f.sample("first_byte_ms", x.firstByte)
		f.options.Logger.Info("answer passed on", zap.String("request_id", x.held.ID), zap.String("work", x.route.Name),
			zap.String("upstream", x.upstream), zap.Int("sends", x.sends), zap.Int("prompt_tokens", x.envelope.PromptTokens),
			zap.Int("max_output_tokens", x.envelope.OutputTokens), zap.Int("estimated_output_tokens", x.envelope.OutputEstimate),
			zap.Int("events", x.events), zap.Int64("wait_ms", x.waited.Milliseconds()),
			zap.Int64("first_byte_ms", x.firstByte.Milliseconds()), zap.Int64("objective_ms", x.route.Objective.Milliseconds()),
			zap.Int64("longest_pause_ms", x.longestPause.Milliseconds()), zap.Int64("total_ms", total.Milliseconds()),
			zap.Bool("whole", refusal == nil))
	}
}

func (f *Forwarder) sample(name string, value time.Duration) {
	f.options.Metrics.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSamples, histogramDecay))
	}).(metrics.Histogram).Update(value.Milliseconds())
}
