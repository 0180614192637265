package forwarder

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/abstainer"
	"coltsfootplank/internal/admitter"
	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/connector"
	"coltsfootplank/internal/dispatcher"
	"coltsfootplank/internal/holder"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/subscriber"
)

const (
	// shedRetryAfter is the Retry-After for a request that its upstream shed; by then some of the upstream's requests
	// have ended.
	shedRetryAfter = 250 * time.Millisecond
	// maxUnaryBytes is the size limit of an answer that isn't a stream.
	maxUnaryBytes = 16 << 20
	// writeDeadlineGrace is how long after the request's deadline the router may still write to a slow caller.
	writeDeadlineGrace = 250 * time.Millisecond
)

// exchange is one request as the caller sent it, with the progress of its answer.
type exchange struct {
	forwarder *Forwarder
	w         http.ResponseWriter
	method    string
	target    string
	host      string
	header    http.Header
	body      []byte
	hasBody   bool
	// releaseBody frees the memory that is reserved for the body. It must be called once, after the last use of the body.
	releaseBody   func()
	metadata      kernel.RequestMetadata
	route         *kernel.Route
	config        *subscriber.RoutingConfig
	service       string
	holderRequest *holder.Request

	tokensPerEvent int
	// sends counts the attempts in which the request may have reached an upstream.
	sends int
	// headWritten is set when the status and header of the answer were written to the caller.
	headWritten bool
	// status is that of the answer, which is the upstream's.
	status          int
	sequence        sequence
	timeToFirstByte time.Duration
	// upstream is the last upstream that the request was sent to, waitTime the time from arrival until then.
	upstream string
	waitTime time.Duration
	attempt  attempt
	// lastRelayed is the time of the last relayed event, longestPause the longest time between two events.
	lastRelayed  time.Time
	longestPause time.Duration
}

// Send implements holder.Exchange.
func (x *exchange) Send(ctx context.Context, upstream *cataloguer.Upstream) holder.SendResult {
	x.attempt = attempt{answerBegun: x.headWritten, after: x.sequence.lastID}
	process := abstainer.Upstream{Name: upstream.Name, Incarnation: upstream.Incarnation}
	asked := x.forwarder.options.Abstainer.Asked(process)
	if asked != (kernel.Notice{}) {
		return holder.SendResult{Kind: protocol.ReleaseKind_RELEASE_KIND_UNUSED, Asked: asked, Incarnation: process.Incarnation}
	}
	result := x.sendVersion(ctx, upstream)
	result.Asked, result.Incarnation = x.forwarder.options.Abstainer.Asked(process), process.Incarnation
	result.Load, result.LoadAt = x.attempt.load, x.attempt.loadAt
	x.logAttempt(upstream.Name, result)
	return result
}

// sendVersion sends the request unless a rollout forbids the upstream's version. The scheduler that granted the upstream may
// not know the phase of the rollout yet, and makes no grants for it for a moment.
func (x *exchange) sendVersion(ctx context.Context, upstream *cataloguer.Upstream) holder.SendResult {
	rollouts := x.forwarder.options.Rollouts
	if rollouts == nil {
		return x.send(ctx, upstream)
	}
	end, ok := rollouts.Begin(x.service, x.route.Name, upstream)
	if !ok {
		return holder.SendResult{Kind: protocol.ReleaseKind_RELEASE_KIND_SHED}
	}
	start := time.Now()
	result := holder.SendResult{Kind: protocol.ReleaseKind_RELEASE_KIND_LOST}
	defer func() {
		latency := result.Observation.FirstToken
		if latency <= 0 {
			latency = time.Since(start)
		}
		end(result.Kind, latency)
	}()
	result = x.send(ctx, upstream)
	return result
}

// send sends the request to one upstream and relays its answer.
func (x *exchange) send(ctx context.Context, upstream *cataloguer.Upstream) holder.SendResult {
	options := &x.forwarder.options
	if options.RoutingConfigSource.Departed(upstream.Name, upstream.Registered) {
		return holder.SendResult{Kind: protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE}
	}
	ctx, cancel := context.WithDeadline(ctx, x.holderRequest.Deadline)
	defer cancel()
	header := x.header.Clone()
	options.Dialect.RewriteRequest(header, kernel.ForwardMetadata{
		Upstream: upstream.Name, Workspace: x.holderRequest.Workspace, Remaining: time.Until(x.holderRequest.Deadline), ResumeAfter: x.sequence.lastID,
	})
	start := time.Now()
	x.upstream, x.waitTime = upstream.Name, start.Sub(x.holderRequest.Arrived)
	answer, err := options.Connector.Send(ctx, upstream.Address, connector.Request{
		Method: x.method, Target: x.target, Host: x.host, Header: header, Body: x.body, HasBody: x.hasBody, ID: x.metadata.RequestID,
	})
	if kernel.NotSent(err) {
		if ctx.Err() != nil {
			return holder.SendResult{Kind: protocol.ReleaseKind_RELEASE_KIND_UNUSED, Refusal: x.endedRefusal(ctx, holder.OutcomeNotRun)}
		}
		return holder.SendResult{Kind: protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE}
	}
	x.sends++
	if err != nil {
		x.attempt.end = err
		return x.lostResult(ctx, err, dispatcher.Observation{})
	}
	x.attempt.status, x.attempt.length = answer.Status, answer.Length
	metadata := options.Dialect.ParseAnswer(answer.Status, answer.Header)
	x.observeNotice(upstream, metadata)
	switch {
	case metadata.NotRun:
		return x.notRunResult(answer)
	case metadata.ContentEncoded, !metadata.Signed:
		answer.Abort()
		x.attempt.end = &UntrustedAnswerError{Status: answer.Status}
		return x.lostResult(ctx, x.attempt.end, dispatcher.Observation{})
	case x.route.Kind == kernel.RouteStream && answer.Status == http.StatusOK && isEventStream(answer.Header):
		return x.relayStream(ctx, answer, start)
	case x.headWritten:
		return x.rejectResume(answer, start)
	}
	return x.relayUnary(ctx, answer, start)
}

// observeNotice records what the upstream asks of this router and what it states about its load. An answer that the upstream
// neither signed nor marked as not run may come from elsewhere.
func (x *exchange) observeNotice(upstream *cataloguer.Upstream, metadata kernel.AnswerMetadata) {
	if !metadata.Signed && !metadata.NotRun {
		return
	}
	if metadata.MalformedPause != "" {
		x.forwarder.options.Logger.Warn("pause that an upstream asks for can't be read", zap.String("upstream", upstream.Name),
			zap.String("request_id", x.holderRequest.ID), zap.String("value", metadata.MalformedPause))
	}
	if metadata.MalformedLoad != "" {
		// The logger bounds the lines with the same message per second.
		x.forwarder.options.Logger.Warn("load that an upstream states can't be read", zap.String("upstream", upstream.Name),
			zap.String("request_id", x.holderRequest.ID), zap.String("value", metadata.MalformedLoad))
	}
	x.attempt.load, x.attempt.loadAt = metadata.Load, time.Now()
	x.forwarder.options.Abstainer.Observe(
		abstainer.Upstream{Name: upstream.Name, Incarnation: upstream.Incarnation}, metadata.Notice)
}

// mayRepeat reports whether the request may be sent to another upstream. If so, it takes one from the repeat budget. A
// stream of which events without a number were relayed can't be continued.
func (x *exchange) mayRepeat() bool {
	return !x.sequence.unnumbered && x.sends < x.route.Attempts && x.forwarder.options.RepeatBudget.Take(x.service)
}

// repeatable reports whether the request may run more than once.
func (x *exchange) repeatable() bool {
	return x.route.Kind == kernel.RouteIdempotent || x.route.Kind == kernel.RouteStream && x.route.Resumable
}

// endedRefusal returns the refusal of a request whose context ended: its deadline expired or its caller disconnected.
func (x *exchange) endedRefusal(ctx context.Context, outcome holder.Outcome) *holder.Refusal {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return &holder.Refusal{Outcome: outcome, Code: holder.CodeDeadlineExpired, Message: "the time for the answer is up"}
	}
	return &holder.Refusal{Outcome: outcome, Code: holder.CodeCallerGone, Message: "the caller disconnected"}
}

// lostResult returns the result of an attempt whose outcome isn't known: the request may have run.
func (x *exchange) lostResult(ctx context.Context, err error, observation dispatcher.Observation) holder.SendResult {
	if ctx.Err() != nil {
		return holder.SendResult{
			Kind: protocol.ReleaseKind_RELEASE_KIND_CANCELLED, Observation: observation, Refusal: x.endedRefusal(ctx, holder.OutcomeUnknown),
		}
	}
	result := holder.SendResult{Kind: protocol.ReleaseKind_RELEASE_KIND_LOST, Observation: observation}
	if x.repeatable() && x.mayRepeat() {
		result.Resubmit = true
		return result
	}
	result.Refusal = &holder.Refusal{Outcome: holder.OutcomeUnknown, Code: holder.CodeUpstreamLost, Message: err.Error()}
	return result
}

// notRunResult returns the result of an attempt whose answer states that the upstream did not run the request.
func (x *exchange) notRunResult(answer *connector.Answer) holder.SendResult {
	result := holder.SendResult{Kind: protocol.ReleaseKind_RELEASE_KIND_SHED}
	if answer.Status == http.StatusMisdirectedRequest {
		result.Kind = protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE
	}
	answer.Discard()
	if !x.mayRepeat() {
		result.Refusal = &holder.Refusal{
			Outcome: holder.OutcomeNotRun, Code: holder.CodeOverloaded, Message: "the upstream did not run the request",
			RetryAfter: shedRetryAfter,
		}
	}
	return result
}

// rejectResume returns the result of an attempt that should have continued a stream and has another answer than a stream.
// No part of it may be relayed after the events of the attempts before.
func (x *exchange) rejectResume(answer *connector.Answer, start time.Time) holder.SendResult {
	answer.Discard()
	err := &ResumeFailedError{Status: answer.Status}
	x.attempt.end = err
	result := holder.SendResult{
		Kind:        protocol.ReleaseKind_RELEASE_KIND_FAILED,
		Observation: dispatcher.Observation{FirstToken: time.Since(start), Total: time.Since(start)},
	}
	if x.mayRepeat() {
		result.Resubmit = true
		return result
	}
	result.Refusal = &holder.Refusal{Outcome: holder.OutcomeUnknown, Code: holder.CodeUpstreamLost, Message: err.Error()}
	return result
}

// relayUnary reads a whole answer and relays it. No part of a truncated answer reaches the caller.
func (x *exchange) relayUnary(ctx context.Context, answer *connector.Answer, start time.Time) holder.SendResult {
	body, release, err := answer.ReadBody(maxUnaryBytes)
	defer release()
	observation := dispatcher.Observation{FirstToken: time.Since(start), Total: time.Since(start)}
	if err != nil {
		answer.Abort()
		x.attempt.end = err
		return x.lostResult(ctx, err, observation)
	}
	answer.Done()
	failed := answer.Status >= http.StatusInternalServerError
	if failed && x.repeatable() && x.mayRepeat() {
		return holder.SendResult{Kind: protocol.ReleaseKind_RELEASE_KIND_FAILED, Resubmit: true, Observation: observation}
	}
	if promisesNotRun(answer.Status) && !x.repeatable() {
		err := &FalsePromiseError{Status: answer.Status}
		return holder.SendResult{
			Kind: protocol.ReleaseKind_RELEASE_KIND_FAILED, Observation: observation,
			Refusal: &holder.Refusal{Outcome: holder.OutcomeFailed, Code: holder.CodeUpstreamFailed, Message: err.Error()},
		}
	}
	x.timeToFirstByte = time.Since(x.holderRequest.Arrived)
	err = x.writeHead(answer, int64(len(body)))
	if err == nil {
		admitter.ExpectAnswer(ctx, int64(len(body)))
		_, err = x.w.Write(body)
	}
	result := holder.SendResult{Kind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED, Observation: observation}
	if failed {
		result.Kind = protocol.ReleaseKind_RELEASE_KIND_FAILED
	}
	if err != nil {
		result.Refusal = &holder.Refusal{Outcome: holder.OutcomeUnknown, Code: holder.CodeCallerGone, Message: err.Error()}
	}
	return result
}

// writeHead relays the status and header of an answer. A length of -1 means that the length of the body isn't known.
// Errors: *CallerWriteError.
func (x *exchange) writeHead(answer *connector.Answer, length int64) error {
	// Without a write deadline a caller that doesn't read would block the request forever.
	if err := http.NewResponseController(x.w).SetWriteDeadline(x.holderRequest.Deadline.Add(writeDeadlineGrace)); err != nil {
		return &CallerWriteError{Cause: err}
	}
	header := x.w.Header()
	connector.StripHopByHopHeaders(answer.Header)
	answer.Header.Del("Content-Length")
	for name, values := range answer.Header {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value keeps the HTTP server from sniffing the content type.
		header["Content-Type"] = nil
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.headWritten, x.status = true, answer.Status
	x.w.WriteHeader(answer.Status)
	return nil
}
