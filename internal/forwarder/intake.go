package forwarder

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/connector"
	"coltsfootplank/internal/holder"
	"coltsfootplank/internal/isolator"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/subscriber"
)

const (
	// noPlanRetryAfter is when to come back to a router that has no configuration yet; reading it takes less.
	noPlanRetryAfter = 300 * time.Millisecond
	// planWait is how long a request waits for a router's first configuration: a store that is up answers sooner.
	planWait = 250 * time.Millisecond
	// objectiveShare is the part of the objective in which the answer has to begin by the scheduler's estimate.
	objectiveShare = 0.92
	// callerTrip is the way from the caller and back, which counts for the objective.
	callerTrip = 8 * time.Millisecond
)

// intake reads a request and makes one of the holder's from it. The exchange isn't nil in case of a refusal either.
func (f *Forwarder) intake(w http.ResponseWriter, r *http.Request, arrived time.Time) (*exchange, *holder.Refusal) {
	x := &exchange{forwarder: f, w: w, method: r.Method, host: r.Host, header: r.Header}
	// A router that has just started gets its first plan within planWait, in time for the callers that turned to it meanwhile.
	plan := f.options.RoutingConfigSource.AwaitRoutingConfig(r.Context(), planWait)
	if plan == nil {
		return x, &holder.Refusal{
			Outcome: holder.OutcomeNotRun, Code: holder.CodeNoUpstream, Message: "this router has no configuration yet",
			RetryAfter: noPlanRetryAfter,
		}
	}
	x.version = plan.Version
	envelope, err := f.options.Dialect.ParseRequest(r.Header)
	x.envelope = envelope
	if err != nil || envelope.RequestID == "" {
		return x, invalid("the request has no id, or a header that can't be read")
	}
	x.target = target(r)
	path, _, _ := strings.Cut(x.target, "?")
	route, ok := plan.Route(r.Host, path)
	if !ok {
		return x, &holder.Refusal{Outcome: holder.OutcomeNotRun, Code: holder.CodeUnknownEntry, Message: "no route matches"}
	}
	x.route = route
	workspace, refusal := authenticate(plan, route, envelope)
	if refusal != nil {
		return x, refusal
	}
	if refusal := x.readBody(r, plan.MaxBodyBytes); refusal != nil {
		return x, refusal
	}
	connector.StripHopByHopHeaders(x.header)
	x.header.Del("Content-Length")
	x.held = x.request(plan, workspace, arrived)
	f.options.RepeatBudget.RecordRequest(x.held.Work.Pool)
	return x, nil
}

// target returns the path and query as the caller sent them. An absolute request line is cut to them.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// authenticate returns the workspace that holds the caller's key; nil on a public route.
func authenticate(plan *subscriber.RoutingConfig, route *kernel.Route, envelope kernel.RequestMetadata) (*kernel.PublishedWorkspace, *holder.Refusal) {
	if len(plan.Workspaces) == 0 || route.Public {
		return nil, nil
	}
	workspace, ok := plan.Workspace(envelope.Credential)
	if !ok {
		return nil, &holder.Refusal{Outcome: holder.OutcomeNotRun, Code: holder.CodeUnauthorized, Message: "unknown API key"}
	}
	return workspace, nil
}

// readBody reads the whole body: it may have to be sent to a second upstream.
func (x *exchange) readBody(r *http.Request, published int64) *holder.Refusal {
	limit := x.forwarder.options.MaxBodyBytes
	if published > 0 {
		limit = published
	}
	x.hasBody = r.ContentLength != 0 || r.Header.Get("Content-Length") != ""
	if !x.hasBody {
		return nil
	}
	body := http.MaxBytesReader(x.w, r.Body, limit)
	var err error
	if r.ContentLength > 0 && r.ContentLength <= limit {
		x.body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(body, x.body)
	} else {
		x.body, err = io.ReadAll(body)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &holder.Refusal{
			Outcome: holder.OutcomeNotRun, Code: holder.CodeTooLarge, Message: "the body is longer than the limit",
		}
	}
	if err != nil {
		return &holder.Refusal{Outcome: holder.OutcomeNotRun, Code: holder.CodeCallerGone, Message: "the body broke off"}
	}
	return nil
}

// request describes the exchange to the holder.
func (x *exchange) request(plan *subscriber.RoutingConfig, workspace *kernel.PublishedWorkspace, arrived time.Time) *holder.Request {
	route, envelope := x.route, x.envelope
	held := &holder.Request{
		ID: envelope.RequestID, Arrived: arrived, Exchange: x, Method: x.method, Path: x.target, Deadline: arrived.Add(route.Timeout),
		Version: plan.Version, MaxPause: route.MaxPause,
		PromptTokens: max(1, envelope.PromptTokens), MaxTokens: max(1, envelope.OutputTokens),
	}
	if route.Timeout <= 0 || envelope.Remaining > 0 && envelope.Remaining < route.Timeout {
		held.Deadline = arrived.Add(envelope.Remaining)
	}
	if route.Objective > 0 {
		held.StartBy = arrived.Add(time.Duration(float64(route.Objective)*objectiveShare) - callerTrip)
	}
	if envelope.OutputEstimate > 0 {
		held.MaxTokens = min(held.MaxTokens, envelope.OutputEstimate)
	}
	if workspace != nil {
		held.Workspace = workspace.Name
		held.Charge = charge(workspace, envelope)
	}
	held.Work = &cataloguer.Work{
		Name: route.Name, Class: class(route), Tier: plan.Tier(route, workspace),
		Pool: choose(route.Targets), Idempotent: route.Kind == kernel.RouteIdempotent || route.Resumable,
	}
	held.Fingerprint = isolator.Fingerprint(x.body, held.Workspace, x.method, x.target)
	x.service = held.Work.Pool
	x.tokensPerEvent = plan.TokensPerEvent(x.service)
	return held
}

func class(route *kernel.Route) cataloguer.Class {
	if route.Kind == kernel.RouteStream {
		return cataloguer.ClassStream
	}
	return cataloguer.ClassUnary
}

// charge is what a request counts against its workspace's allowance.
func charge(workspace *kernel.PublishedWorkspace, envelope kernel.RequestMetadata) int {
	switch {
	case workspace.Rate <= 0:
		return 0
	case workspace.RequestUnit:
		return 1
	case envelope.SizeDeclared:
		return envelope.PromptTokens + envelope.OutputTokens
	default:
		return workspace.DefaultTokens
	}
}

// choose picks one of a route's targets by weight.
func choose(targets []kernel.Target) string {
	sum := 0
	for _, target := range targets {
		sum += max(0, target.Weight)
	}
	if sum == 0 {
		return targets[0].Service
	}
	left := rand.IntN(sum)
	for _, target := range targets {
		if left -= max(0, target.Weight); left < 0 {
			return target.Service
		}
	}
	return targets[len(targets)-1].Service
}

func invalid(message string) *holder.Refusal {
	return &holder.Refusal{Outcome: holder.OutcomeNotRun, Code: holder.CodeInvalidRequest, Message: message}
}
