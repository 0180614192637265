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

// dispatch sends a granted request to the granted upstream. If it returns sent as false, the request must end with the
// returned refusal or, if that is nil, wait for another grant.
func (h *Holder) dispatch(ctx context.Context, request *Request, grant *protocol.Grant) (refusal *Refusal, sent bool) {
	if !request.state.transition(Waiting, Granted) {
		return nil, false
	}
	request.upstream = grant.GetEngine()
	h.record(request, recorder.Granted, "")
	if request.Exchange != nil {
		return h.exchange(ctx, request, grant)
	}
	pool, upstream, ok := h.upstream(request.Work.Pool, grant.GetEngine())
	if !ok {
		h.requeue(request, Granted, newRelease(request, grant, protocol.ReleaseKind_RELEASE_KIND_UNUSED))
		return nil, false
	}
	h.table.removeWaiting(request)
	if !request.state.transition(Granted, Dispatched) {
		return nil, false
	}
	h.record(request, recorder.Dispatched, "")
	var result dispatchResult
	if request.Work.Class == cataloguer.ClassStream {
		result = h.stream(ctx, request, pool.Protocol, upstream)
	} else {
		result = h.call(ctx, request, pool.Protocol, upstream)
	}
	if result.notSent {
		h.requeue(request, Dispatched, newRelease(request, grant, protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE))
		return nil, false
	}
	release := newRelease(request, grant, result.releaseKind)
	addObservation(release, request, result.observation)
	h.recordRelease(request, release)
	request.state.transition(Dispatched, result.state)
	if result.answer != nil {
		h.recordResult(ctx, request, *result.answer)
	}
	return result.refusal, true
}

// dispatchResult is the result of a dispatch. If notSent is set, no byte reached the upstream and the other fields are
// unset.
type dispatchResult struct {
	state       State
	releaseKind protocol.ReleaseKind
	refusal     *Refusal
	observation dispatcher.Observation
	answer      *kernel.ServiceResponse
	notSent     bool
}

// upstream looks up an upstream and its pool in the current catalogue.
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

// requeue releases a grant whose request wasn't run and moves the request from the given state back to Waiting.
func (h *Holder) requeue(request *Request, from State, release *protocol.Release) {
	request.state.transition(from, Waiting)
	h.record(request, recorder.Returned, release.GetKind().String())
	if from == Dispatched {
		h.table.addWaiting(request)
	}
	request.upstream = ""
	request.attempt++
	h.tickets.Release(release)
}

// newRelease returns the release of a grant without observations.
func newRelease(request *Request, grant *protocol.Grant, kind protocol.ReleaseKind) *protocol.Release {
	return &protocol.Release{RequestId: request.ID, Engine: grant.GetEngine(), Kind: kind, Fingerprint: request.Fingerprint}
}

// addObservation adds to a release what was observed while the upstream ran the request.
func addObservation(release *protocol.Release, request *Request, observation dispatcher.Observation) {
	release.PromptTokens, release.CachedTokens = uint32(request.PromptTokens), uint32(observation.CachedTokens)
	release.OutputTokens, release.Begun = uint32(observation.OutputTokens), observation.Begun
	release.FirstTokenMs, release.TotalMs = observation.FirstToken.Milliseconds(), observation.Total.Milliseconds()
}

// recordRelease releases the grant of a request that was run.
func (h *Holder) recordRelease(request *Request, release *protocol.Release) {
	h.record(request, recorder.Released, release.GetKind().String())
	h.tickets.Release(release)
}

func (h *Holder) stream(
	ctx context.Context, request *Request, protocolName string, upstream *cataloguer.Upstream,
) dispatchResult {
	engine, err := h.clients.Engine(protocolName, upstream.Address)
	if err != nil {
		return dispatchResult{notSent: true}
	}
	first := true
	observation, err := dispatcher.Stream(ctx, engine, kernel.GenerateRequest{
		StreamID: request.ID, Model: request.Model, Prompt: request.Prompt, PromptTokens: request.PromptTokens,
		PrefixHashes: request.PrefixHashes, MaxTokens: request.MaxTokens,
	}, h.settings.Dispatch, func(frame kernel.Frame) error {
		if first {
			first = false
			h.record(request, recorder.FirstToken, "")
		}
		return request.Answer.Token(frame)
	})
	if observation.Resumes > 0 {
		h.record(request, recorder.Resumed, "")
	}
	if err == nil {
		err = request.Answer.Finish(observation.OutputTokens)
		if err == nil {
			return dispatchResult{state: Answered, releaseKind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED, observation: observation}
		}
		err = &dispatcher.CallerGoneError{StreamID: request.ID, Cause: err}
	}
	result := errorResult(err)
	result.observation = observation
	return result
}

func (h *Holder) call(
	ctx context.Context, request *Request, protocolName string, upstream *cataloguer.Upstream,
) dispatchResult {
	service, err := h.clients.Service(protocolName, upstream.Address)
	if err != nil {
		return dispatchResult{notSent: true}
	}
	started := time.Now()
	// A call that isn't idempotent continues after its caller disconnects: its result is recorded and answers a repeat
	// of the request.
	if !request.Work.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, stop := context.WithTimeout(ctx, h.settings.Dispatch.IdleTimeout)
	defer stop()
	answer, err := service.Call(ctx, kernel.ServiceRequest{
		RequestID: request.ID, Method: request.Method, Path: request.Path,
		ContentType: request.ContentType, Body: request.Body,
	})
	observation := dispatcher.Observation{FirstToken: time.Since(started), Total: time.Since(started)}
	if err != nil {
		result := errorResult(err)
		result.observation = observation
		return result
	}
	if err := request.Answer.Response(answer); err != nil {
		result := errorResult(&dispatcher.CallerGoneError{StreamID: request.ID, Cause: err})
		result.observation, result.answer = observation, &answer
		return result
	}
	return dispatchResult{
		state: Answered, releaseKind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED, observation: observation, answer: &answer,
	}
}

// recordResult stores the answer to a request with an idempotency key, so that repeats of it get the same answer.
func (h *Holder) recordResult(ctx context.Context, request *Request, answer kernel.ServiceResponse) {
	if request.claimID == "" {
		return
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), h.settings.ResultTimeout)
	defer stop()
	err := h.claims.RecordResult(ctx, request.scope(), request.claimID, claimer.Result{
		Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body,
	})
	if err != nil {
		h.logger.Sugar().Warnw("result not recorded; a repeat will be answered as a duplicate",
			"request_id", request.ID, "error", err)
	}
}

// errorResult maps an error of a dispatch to its result. Errors that imply that the request was sent are checked first,
// because they may wrap an error that means "not sent" when it stands alone.
func errorResult(err error) dispatchResult {
	var callerGone *dispatcher.CallerGoneError
	if errors.As(err, &callerGone) {
		return incomplete(OutcomeUnknown, CodeCallerGone, protocol.ReleaseKind_RELEASE_KIND_CANCELLED, err)
	}
	var truncated *dispatcher.TruncatedError
	if errors.As(err, &truncated) {
		code := CodeUpstreamLost
		if truncated.Tokens > 0 {
			code = CodeStreamTruncated
		}
		return incomplete(OutcomeUnknown, code, protocol.ReleaseKind_RELEASE_KIND_LOST, err)
	}
	if kernel.NotSent(err) {
		return dispatchResult{notSent: true}
	}
	var disconnected *kernel.ConnectionLostError
	var rejected *kernel.RejectedError
	if !errors.As(err, &disconnected) && errors.As(err, &rejected) {
		result := incomplete(OutcomeFailed, CodeUpstreamFailed, protocol.ReleaseKind_RELEASE_KIND_FAILED, err)
		result.state = Failed
		return result
	}
	return incomplete(OutcomeUnknown, CodeUpstreamLost, protocol.ReleaseKind_RELEASE_KIND_LOST, err)
}

// incomplete returns the result of a dispatch that ended without a complete answer.
func incomplete(outcome Outcome, code Code, kind protocol.ReleaseKind, err error) dispatchResult {
	return dispatchResult{
		state: Unknown, releaseKind: kind, refusal: &Refusal{Outcome: outcome, Code: code, Message: err.Error()},
	}
}
