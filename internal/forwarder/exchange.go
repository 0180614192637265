package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/connector"
	"coltsfootplank/internal/dispatcher"
	"coltsfootplank/internal/holder"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

const (
	// shedRetryAfter is when to come back after an upstream was full: some requests have ended by then.
	shedRetryAfter = 250 * time.Millisecond
	// unaryLimit bounds an answer that is read as a whole, in bytes.
	unaryLimit = 16 << 20
	// writeGrace is how long after the deadline a caller that doesn't read keeps its answer.
	writeGrace = 250 * time.Millisecond
)

// exchange is one request with its bytes, and what of its answer was passed on.
type exchange struct {
	forwarder *Forwarder
	w         http.ResponseWriter
	method    string
	target    string
	host      string
	header    http.Header
	body      []byte
	hasBody   bool
	envelope  kernel.RequestMetadata
	route     *kernel.Route
	version   int64
	service   string
	held      *holder.Request

	tokensPerEvent int
	// sends counts the upstreams that the request reached.
	sends int
	// started says that the head of the answer was passed on.
	started bool
	// lastEvent is the id of the last event passed on; events counts them.
	lastEvent string
	events    int
	firstByte time.Duration
	// upstream is where the request was sent last, waited the time from its arrival until then.
	upstream string
	waited   time.Duration
	// lastPassed is when the last event was passed on, longestPause the longest time between two.
	lastPassed   time.Time
	longestPause time.Duration
}

// Send implements holder.Exchange.
func (x *exchange) Send(ctx context.Context, upstream *cataloguer.Upstream) holder.SendResult {
	options := &x.forwarder.options
	if options.RoutingConfigSource.Departed(upstream.Name) {
		return holder.SendResult{Kind: protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE}
	}
	ctx, cancel := context.WithDeadline(ctx, x.held.Deadline)
	defer cancel()
	header := x.header.Clone()
	options.Dialect.RewriteRequest(header, kernel.ForwardMetadata{
		Upstream: upstream.Name, Workspace: x.held.Workspace, Remaining: time.Until(x.held.Deadline), ResumeAfter: x.lastEvent,
	})
	began := time.Now()
	x.upstream, x.waited = upstream.Name, began.Sub(x.held.Arrived)
	answer, err := options.Connector.Send(ctx, upstream.Address, connector.Request{
		Method: x.method, Target: x.target, Host: x.host, Header: header, Body: x.body, HasBody: x.hasBody, ID: x.envelope.RequestID,
	})
	if kernel.NotSent(err) {
		if ctx.Err() != nil {
			return holder.SendResult{Kind: protocol.ReleaseKind_RELEASE_KIND_UNUSED, Refusal: x.ended(ctx, holder.OutcomeNotRun)}
		}
		return holder.SendResult{Kind: protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE}
	}
	x.sends++
	if err != nil {
		return x.lost(ctx, err, dispatcher.Observation{})
	}
	mark := options.Dialect.ParseAnswer(answer.Status, answer.Header)
	switch {
	case mark.NotRun:
		return x.notRun(answer)
	case mark.Encoded, !mark.Signed && answer.Status < http.StatusMultipleChoices:
		answer.Abort()
		return x.lost(ctx, &UntrustedAnswerError{Status: answer.Status}, dispatcher.Observation{})
	case x.route.Kind == kernel.RouteStream && answer.Status == http.StatusOK:
		return x.stream(ctx, answer, began)
	}
	return x.unary(ctx, answer, began)
}

// mayRepeat says whether the request may go to a further upstream, and counts that against the repeat budget.
func (x *exchange) mayRepeat() bool {
	return x.sends < x.route.Attempts && x.forwarder.options.RepeatBudget.Take(x.service)
}

// repeatable says whether the request may run more than once.
func (x *exchange) repeatable() bool {
	return x.route.Kind == kernel.RouteIdempotent || x.route.Kind == kernel.RouteStream && x.route.Resumable
}

// ended is the refusal of a request whose caller left or whose time is up.
func (x *exchange) ended(ctx context.Context, outcome holder.Outcome) *holder.Refusal {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return &holder.Refusal{Outcome: outcome, Code: holder.CodeDeadlineExpired, Message: "the time for the answer is up"}
	}
	return &holder.Refusal{Outcome: outcome, Code: holder.CodeCallerGone, Message: "the caller disconnected"}
}

// lost ends a sending whose outcome isn't known: the request may have run.
func (x *exchange) lost(ctx context.Context, err error, seen dispatcher.Observation) holder.SendResult {
	if ctx.Err() != nil {
		return holder.SendResult{
			Kind: protocol.ReleaseKind_RELEASE_KIND_CANCELLED, Observation: seen, Refusal: x.ended(ctx, holder.OutcomeUnknown),
		}
	}
	sent := holder.SendResult{Kind: protocol.ReleaseKind_RELEASE_KIND_LOST, Observation: seen}
	if x.repeatable() && x.mayRepeat() {
		sent.Resubmit = true
		return sent
	}
	sent.Refusal = &holder.Refusal{Outcome: holder.OutcomeUnknown, Code: holder.CodeUpstreamLost, Message: err.Error()}
	return sent
}

// notRun ends a sending that the upstream says it did not run.
func (x *exchange) notRun(answer *connector.Answer) holder.SendResult {
	sent := holder.SendResult{Kind: protocol.ReleaseKind_RELEASE_KIND_SHED}
	if answer.Status == http.StatusMisdirectedRequest {
		sent.Kind = protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(answer, unaryLimit)); err != nil {
		answer.Abort()
	} else {
		answer.Done()
	}
	if !x.mayRepeat() {
		sent.Refusal = &holder.Refusal{
			Outcome: holder.OutcomeNotRun, Code: holder.CodeOverloaded, Message: "the upstream did not run the request",
			RetryAfter: shedRetryAfter,
		}
	}
	return sent
}

// unary reads a whole answer and passes it on. Nothing of an answer that breaks off reaches the caller.
func (x *exchange) unary(ctx context.Context, answer *connector.Answer, began time.Time) holder.SendResult {
	body, err := io.ReadAll(io.LimitReader(answer, unaryLimit))
	seen := dispatcher.Observation{FirstToken: time.Since(began), Total: time.Since(began)}
	if err != nil || !answer.Whole() {
		answer.Abort()
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		return x.lost(ctx, err, seen)
	}
	answer.Done()
	failed := answer.Status >= http.StatusInternalServerError
	if failed && x.repeatable() && x.mayRepeat() {
		return holder.SendResult{Kind: protocol.ReleaseKind_RELEASE_KIND_FAILED, Resubmit: true, Observation: seen}
	}
	x.firstByte = time.Since(x.held.Arrived)
	err = x.writeHead(answer, int64(len(body)))
	if err == nil {
		_, err = x.w.Write(body)
	}
	sent := holder.SendResult{Kind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED, Observation: seen}
	if failed {
		sent.Kind = protocol.ReleaseKind_RELEASE_KIND_FAILED
	}
	if err != nil {
		sent.Refusal = &holder.Refusal{Outcome: holder.OutcomeUnknown, Code: holder.CodeCallerGone, Message: err.Error()}
	}
	return sent
}

// writeHead passes on the status and the header of an answer; length is -1 if the body's length isn't known.
func (x *exchange) writeHead(answer *connector.Answer, length int64) error {
	// A caller that doesn't read must not hold up the request for ever.
	if err := http.NewResponseController(x.w).SetWriteDeadline(x.held.Deadline.Add(writeGrace)); err != nil {
		return err
	}
	header := x.w.Header()
	connector.StripHopByHopHeaders(answer.Header)
	answer.Header.Del("Content-Length")
	for name, values := range answer.Header {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value keeps the server from guessing one.
		header["Content-Type"] = nil
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.started = true
	x.w.WriteHeader(answer.Status)
	return nil
}
