package forwarder

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"
	"unicode/utf8"

	"coltsfootplank/internal/admitter"
	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/connector"
	"coltsfootplank/internal/holder"
	"coltsfootplank/internal/isolator"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/subscriber"
)

const (
	// noConfigRetryAfter is the Retry-After of a router that has no configuration yet; reading it takes less time.
	noConfigRetryAfter = 300 * time.Millisecond
	// outageRetryAfter is the shortest Retry-After of a router that has no configuration and can't read the directory. After
	// a loss of all routers the others have none either, outages last for seconds, and callers have few retries. Up to
	// outageRetrySpread more keeps the callers from returning all at once.
	outageRetryAfter  = 1500 * time.Millisecond
	outageRetrySpread = time.Second
	// configWait is how long a request waits for the router's first configuration. The platform's log, if it is
	// reachable, answers sooner.
	configWait = 250 * time.Millisecond
	// objectiveShare is the part of a route's latency objective within which the scheduler has to expect the answer
	// to begin.
	objectiveShare = 0.92
	// callerRoundTrip is the network round trip to the caller, which is subtracted from the objective.
	callerRoundTrip = 8 * time.Millisecond
)

// acceptRequest reads and authenticates a request and builds the holder's request from it. The returned exchange is
// never nil, even if the request is refused.
func (f *Forwarder) acceptRequest(w http.ResponseWriter, r *http.Request, arrived time.Time) (*exchange, *holder.Refusal) {
	x := &exchange{forwarder: f, w: w, method: r.Method, host: r.Host, header: r.Header, releaseBody: func() {}}
	// A router that has just started gets its first configuration within configWait. Requests that arrive
	// earlier wait for it instead of being refused.
	config := f.options.RoutingConfigSource.AwaitRoutingConfig(r.Context(), configWait)
	if config == nil {
		return x, f.noConfigRefusal()
	}
	x.config = config
	metadata, err := f.options.Dialect.ParseRequest(r.Header)
	x.metadata = metadata
	if err != nil || metadata.RequestID == "" || !utf8.ValidString(metadata.RequestID) {
		return x, invalidRequest("the request has no valid id, or a header that can't be read")
	}
	x.target = target(r)
	path, _, _ := strings.Cut(x.target, "?")
	route, ok := config.Route(r.Host, path)
	if !ok {
		return x, noRouteRefusal(config, r.Host)
	}
	x.route = route
	workspace, refusal := authenticate(config, route, metadata)
	if refusal != nil {
		return x, refusal
	}
	if refusal := x.readBody(r, config.MaxBodyBytes, x.deadline(arrived)); refusal != nil {
		return x, refusal
	}
	connector.StripHopByHopHeaders(x.header)
	x.header.Del("Content-Length")
	x.holderRequest = x.newHolderRequest(config, workspace, arrived)
	f.options.RepeatBudget.RecordRequest(x.holderRequest.Work.Pool)
	return x, nil
}

// noConfigRefusal returns the refusal of a router without a configuration.
func (f *Forwarder) noConfigRefusal() *holder.Refusal {
	refusal := &holder.Refusal{
		Outcome: holder.OutcomeNotRun, Code: holder.CodeNoUpstream, Message: "this router has no configuration yet",
		RetryAfter: noConfigRetryAfter,
	}
	if f.options.RoutingConfigSource.DirectoryFailing() {
		refusal.Message = "this router has no configuration and can't read the directory"
		refusal.RetryAfter = outageRetryAfter + rand.N(outageRetrySpread)
	}
	return refusal
}

// noRouteRefusal returns the refusal of a request that no route matches.
func noRouteRefusal(config *subscriber.RoutingConfig, host string) *holder.Refusal {
	message := "no route has the host"
	if config.HasHost(host) {
		message = "no route of the host has a prefix of the path"
	}
	return &holder.Refusal{Outcome: holder.OutcomeNotRun, Code: holder.CodeUnknownEntry, Message: message}
}

// target returns the path and query as the caller sent them, also if the request line has an absolute URI.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// authenticate returns the workspace that the caller's API key belongs to. It returns nil if the route is public or no
// workspaces are configured.
func authenticate(config *subscriber.RoutingConfig, route *kernel.Route, metadata kernel.RequestMetadata) (*kernel.PublishedWorkspace, *holder.Refusal) {
	if len(config.Workspaces) == 0 || route.Public {
		return nil, nil
	}
	workspace, ok := config.Workspace(metadata.Credential)
	if !ok {
		message := "no workspace has the API key"
		if metadata.Credential == "" {
			message = "the request has no API key"
		}
		return nil, &holder.Refusal{Outcome: holder.OutcomeNotRun, Code: holder.CodeUnauthorized, Message: message}
	}
	return workspace, nil
}

// deadline returns the deadline of the request: that of its route or that of its caller, whichever is earlier.
func (x *exchange) deadline(arrived time.Time) time.Time {
	timeout, remaining := x.route.Timeout, x.metadata.Remaining
	if timeout <= 0 || remaining > 0 && remaining < timeout {
		return arrived.Add(remaining)
	}
	return arrived.Add(timeout)
}

// readBody reads the whole body into memory until the deadline, since it may have to be sent to a second upstream.
func (x *exchange) readBody(r *http.Request, publishedLimit int64, deadline time.Time) *holder.Refusal {
	limit := x.forwarder.options.MaxBodyBytes
	if publishedLimit > 0 {
		limit = min(limit, publishedLimit)
	}
	x.hasBody = r.ContentLength != 0 || r.Header.Get("Content-Length") != ""
	if !x.hasBody {
		return nil
	}
	size := limit
	if r.ContentLength >= 0 {
		size = min(r.ContentLength, limit)
	}
	controller := http.NewResponseController(x.w)
	reservation, refusal := x.forwarder.bodies.acquire(r.Context(), size, func() {
		// An error means that the connection has ended.
		_ = controller.SetReadDeadline(time.Unix(1, 0))
	})
	if refusal != nil {
		return refusal
	}
	x.releaseBody = reservation.free
	if err := controller.SetReadDeadline(deadline); err != nil {
		return &holder.Refusal{Outcome: holder.OutcomeNotRun, Code: holder.CodeCallerGone, Message: err.Error()}
	}
	admitter.ExpectBody(r.Context(), size)
	body := http.MaxBytesReader(x.w, r.Body, limit)
	var err error
	if r.ContentLength > 0 && r.ContentLength <= limit {
		x.body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(body, x.body)
	} else {
		x.body, err = io.ReadAll(body)
	}
	if !reservation.whole() {
		return x.forwarder.bodies.refusal("the body arrived too slowly and its memory was needed")
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &holder.Refusal{
			Outcome: holder.OutcomeNotRun, Code: holder.CodeTooLarge, Message: "the body is longer than the limit",
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &holder.Refusal{
			Outcome: holder.OutcomeNotRun, Code: holder.CodeBodyTimeout, Message: "the body did not arrive in time",
		}
	}
	if err == nil {
		// The server reads on to detect that the caller disconnects.
		err = controller.SetReadDeadline(time.Time{})
	}
	if err != nil {
		return &holder.Refusal{Outcome: holder.OutcomeNotRun, Code: holder.CodeCallerGone, Message: "the body broke off"}
	}
	return nil
}

// newHolderRequest returns the holder's request for the exchange.
func (x *exchange) newHolderRequest(config *subscriber.RoutingConfig, workspace *kernel.PublishedWorkspace, arrived time.Time) *holder.Request {
	route, metadata := x.route, x.metadata
	request := &holder.Request{
		ID: metadata.RequestID, Arrived: arrived, Exchange: x, Method: x.method, Path: x.target, Deadline: x.deadline(arrived),
		Version: config.Version, MaxPause: route.MaxPause,
		PromptTokens: max(1, metadata.PromptTokens), MaxTokens: max(1, metadata.OutputTokens),
	}
	if route.Objective > 0 {
		request.StartBy = arrived.Add(time.Duration(float64(route.Objective)*objectiveShare) - callerRoundTrip)
	}
	if metadata.OutputEstimate > 0 {
		request.MaxTokens = min(request.MaxTokens, metadata.OutputEstimate)
	}
	if workspace != nil {
		request.Workspace = workspace.Name
		request.Charge = charge(workspace, metadata)
	}
	request.Work = &cataloguer.Work{
		Name: route.Name, Class: workClass(route), Tier: config.Tier(route, workspace),
		Pool: pickTarget(route.Targets), Idempotent: route.Kind == kernel.RouteIdempotent || route.Resumable,
	}
	request.Fingerprint = isolator.Fingerprint(x.body, request.Workspace, x.method, x.target)
	request.Parts = metadata.PromptParts
	x.sequence = newSequence(route, metadata.ResumeAfter)
	x.service = request.Work.Pool
	x.tokensPerEvent = config.TokensPerEvent(x.service)
	return request
}

func workClass(route *kernel.Route) cataloguer.Class {
	if route.Kind == kernel.RouteStream {
		return cataloguer.ClassStream
	}
	return cataloguer.ClassUnary
}

// charge returns how much of its workspace's allowance a request uses, in requests or tokens.
func charge(workspace *kernel.PublishedWorkspace, metadata kernel.RequestMetadata) int {
	switch {
	case workspace.Rate <= 0:
		return 0
	case workspace.RequestUnit:
		return 1
	case metadata.SizeDeclared:
		return metadata.PromptTokens + metadata.OutputTokens
	default:
		return workspace.DefaultTokens
	}
}

// pickTarget returns the service of a target chosen at random by weight.
func pickTarget(targets []kernel.Target) string {
	totalWeight := 0
	for _, target := range targets {
		totalWeight += max(0, target.Weight)
	}
	if totalWeight == 0 {
		return targets[0].Service
	}
	remaining := rand.IntN(totalWeight)
	for _, target := range targets {
		if remaining -= max(0, target.Weight); remaining < 0 {
			return target.Service
		}
	}
	return targets[len(targets)-1].Service
}

func invalidRequest(message string) *holder.Refusal {
	return &holder.Refusal{Outcome: holder.OutcomeNotRun, Code: holder.CodeInvalidRequest, Message: message}
}
