package holder

import (
	"context"
	"errors"
	"time"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/claimer"
	"coltsfootplank/internal/dispatcher"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/recorder"
)

// dispatch sends a granted request. It returns sent false if nothing was sent: with a refusal if the request must
// end, without one if it waits for another grant.
func (h *Holder) dispatch(ctx context.Context, request *Request, grant *protocol.Grant) (refusal *Refusal, sent bool) {
	if !request.state.move(Waiting, Granted) {
		return nil, false
	}
	request.upstream = grant.GetEngine()
	h.record(request, recorder.Granted, "")
	if request.Exchange != nil {
		return h.exchange(ctx, request, grant)
	}
	pool, upstream, ok := h.upstream(request.Work.Pool, grant.GetEngine())
	if !ok {
		h.requeue(request, grant, Granted, protocol.ReleaseKind_RELEASE_KIND_UNUSED)
		return nil, false
	}
	h.table.dispatched(request)
	if !request.state.move(Granted, Dispatched) {
		return nil, false
	}
	h.record(request, recorder.Dispatched, "")
	var result outcome
	if request.Work.Class == cataloguer.ClassStream {
		result = h.stream(ctx, request, pool.Protocol, upstream)
	} else {
		result = h.call(ctx, request, pool.Protocol, upstream)
	}
	if result.notSent {
		h.requeue(request, grant, Dispatched, protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE)
		return nil, false
	}
	h.releaseObserved(request, grant, result)
	request.state.move(Dispatched, result.state)
	if result.response != nil {
		h.recordResult(ctx, request, *result.response)
	}
	return result.refusal, true
}

// outcome is how a dispatch ended.
type outcome struct {
	state       State
	kind        protocol.ReleaseKind
	refusal     *Refusal
	observation dispatcher.Observation
	response    *kernel.ServiceResponse
	notSent     bool
}

func (h *Holder) upstream(pool, name string) (*cataloguer.Pool, *cataloguer.Upstream, bool) {
	p, ok := h.catalogue.Current().Pool(pool)
	if !ok {
		return nil, nil, false
	}
	for i := range p.Upstreams {
		if p.Upstreams[i].Name == name {
			return p, &p.Upstreams[i], true
		}
	}
	return nil, nil, false
}

// requeue returns a grant under which nothing was sent and lets the request wait again.
func (h *Holder) requeue(request *Request, grant *protocol.Grant, from State, kind protocol.ReleaseKind) {
	request.state.move(from, Waiting)
	h.record(request, recorder.Returned, kind.String())
	if from == Dispatched {
		h.table.queued(request)
	}
	request.upstream = ""
	request.attempt++
	h.release(request, grant, kind)
}

func (h *Holder) release(request *Request, grant *protocol.Grant, kind protocol.ReleaseKind) {
	h.tickets.Release(&protocol.Release{
		RequestId: request.ID, Engine: grant.GetEngine(), Kind: kind, Fingerprint: request.Fingerprint,
	})
}

func (h *Holder) releaseObserved(request *Request, grant *protocol.Grant, result outcome) {
	h.record(request, recorder.Released, result.kind.String())
	seen := result.observation
	h.tickets.Release(&protocol.Release{
		RequestId: request.ID, Engine: grant.GetEngine(), Kind: result.kind, Fingerprint: request.Fingerprint,
		PromptTokens: uint32(request.PromptTokens), CachedTokens: uint32(seen.CachedTokens),
		OutputTokens: uint32(seen.OutputTokens), FirstTokenMs: seen.FirstToken.Milliseconds(),
		TotalMs: seen.Total.Milliseconds(),
	})
}

func (h *Holder) stream(ctx context.Context, request *Request, protocolName string, upstream *cataloguer.Upstream) outcome {
	engine, err := h.clients.Engine(protocolName, upstream.Address)
	if err != nil {
		return outcome{notSent: true}
	}
	first := true
	seen, err := dispatcher.Stream(ctx, engine, kernel.GenerateRequest{
		StreamID: request.ID, Model: request.Model, Prompt: request.Prompt, PromptTokens: request.PromptTokens,
		PrefixHashes: request.PrefixHashes, MaxTokens: request.MaxTokens,
	}, h.settings.Dispatch, func(frame kernel.Frame) error {
		if first {
			first = false
			h.record(request, recorder.FirstToken, "")
		}
		return request.Answer.Token(frame)
	})
	if seen.Resumes > 0 {
		h.record(request, recorder.Resumed, "")
	}
	if err == nil {
		err = request.Answer.Finish(seen.OutputTokens)
		if err == nil {
			return outcome{state: Answered, kind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED, observation: seen}
		}
		err = &dispatcher.CallerGoneError{StreamID: request.ID, Cause: err}
	}
	result := failure(err)
	result.observation = seen
	return result
}

func (h *Holder) call(ctx context.Context, request *Request, protocolName string, upstream *cataloguer.Upstream) outcome {
	service, err := h.clients.Service(protocolName, upstream.Address)
	if err != nil {
		return outcome{notSent: true}
	}
	started := time.Now()
	// A call that may not be repeated is not abandoned with its caller: its result is recorded for a repeat.
	if !request.Work.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, stop := context.WithTimeout(ctx, h.settings.Dispatch.IdleTimeout)
	defer stop()
	response, err := service.Call(ctx, kernel.ServiceRequest{
		RequestID: request.ID, Method: request.Method, Path: request.Path,
		ContentType: request.ContentType, Body: request.Body,
	})
	seen := dispatcher.Observation{FirstToken: time.Since(started), Total: time.Since(started)}
	if err != nil {
		result := failure(err)
		result.observation = seen
		return result
	}
	if err := request.Answer.Response(response); err != nil {
		result := failure(&dispatcher.CallerGoneError{StreamID: request.ID, Cause: err})
		result.observation, result.response = seen, &response
		return result
	}
	return outcome{
		state: Answered, kind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED, observation: seen, response: &response,
	}
}

// recordResult stores the answer of a keyed call for its repeats.
func (h *Holder) recordResult(ctx context.Context, request *Request, response kernel.ServiceResponse) {
	if request.claimID == "" {
		return
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), h.settings.ResultTimeout)
	defer stop()
	err := h.claims.RecordResult(ctx, request.scope(), request.claimID, claimer.Result{
		Status: response.Status, ContentType: response.ContentType, Body: response.Body,
	})
	if err != nil {
		h.logger.Sugar().Warnw("result not recorded; a repeat will be answered as a duplicate",
			"request_id", request.ID, "error", err)
	}
}

// failure maps an error of a dispatch to its outcome. The errors that mean "sent" are tried first, since they may wrap
// one that would mean "not sent" by itself.
func failure(err error) outcome {
	var gone *dispatcher.CallerGoneError
	if errors.As(err, &gone) {
		return lost(OutcomeUnknown, CodeCallerGone, protocol.ReleaseKind_RELEASE_KIND_CANCELLED, err)
	}
	var truncated *dispatcher.TruncatedError
	if errors.As(err, &truncated) {
		code := CodeUpstreamLost
		if truncated.Tokens > 0 {
			code = CodeStreamTruncated
		}
		return lost(OutcomeUnknown, code, protocol.ReleaseKind_RELEASE_KIND_LOST, err)
	}
	if kernel.NotSent(err) {
		return outcome{notSent: true}
	}
	var disconnected *kernel.LostError
	var rejected *kernel.RejectedError
	if !errors.As(err, &disconnected) && errors.As(err, &rejected) {
		result := lost(OutcomeFailed, CodeUpstreamFailed, protocol.ReleaseKind_RELEASE_KIND_FAILED, err)
		result.state = Failed
		return result
	}
	return lost(OutcomeUnknown, CodeUpstreamLost, protocol.ReleaseKind_RELEASE_KIND_LOST, err)
}

// lost is the outcome of a dispatch that brought no whole answer.
func lost(said Outcome, code Code, kind protocol.ReleaseKind, err error) outcome {
	return outcome{state: Unknown, kind: kind, refusal: &Refusal{Outcome: said, Code: code, Message: err.Error()}}
}
