package holder

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/claimer"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/recorder"
)

// decisionBuffer is the number of decisions that can be queued for a request. It is more than one attempt needs: a
// grant, and a refusal by the limit on waiting requests.
const decisionBuffer = 4

// Serve handles a request from its arrival to its answer. It returns nil if the complete answer was relayed.
func (h *Holder) Serve(ctx context.Context, request *Request) *Refusal {
	request.decisions = make(chan decision, decisionBuffer)
	request.state.value.Store(int32(Waiting))
	if !h.admit() {
		request.state.markNotRun()
		return h.finish(request, stopRefusal())
	}
	defer h.inFlight.Done()
	h.record(request, recorder.Accepted, "")
	if shed := h.table.add(request); shed != nil {
		shed.deliver(decision{refusal: &Refusal{
			Outcome: OutcomeNotRun, Code: CodeOverloaded, Message: "too many requests wait in this router",
			RetryAfter: time.Second,
		}})
	}
	defer h.table.remove(request)
	stored, refusal := h.claim(ctx, request)
	if refusal != nil {
		request.state.markNotRun()
		return h.finish(request, refusal)
	}
	if stored != nil {
		return h.replay(request, stored)
	}
	refusal = h.schedule(ctx, request)
	if refusal != nil && refusal.Outcome == OutcomeNotRun {
		h.voidClaim(ctx, request)
	}
	return h.finish(request, refusal)
}

// schedule submits a ticket and dispatches the request under the first usable grant.
func (h *Holder) schedule(ctx context.Context, request *Request) *Refusal {
	wait, stop := h.waitContext(ctx, request)
	defer stop()
	defer h.returnUnusedGrants(request)
	h.tickets.Submit(request.ticket(time.Now()), request)
	h.record(request, recorder.Ticketed, "")
	for {
		if h.stopping.Load() {
			h.tickets.Cancel(request.ID)
			return h.refuse(request, stopRefusal())
		}
		select {
		case <-wait.Done():
			h.tickets.Cancel(request.ID)
			return h.refuseAbandoned(ctx, request)
		case d := <-request.decisions:
			if d.refusal != nil {
				h.tickets.Cancel(request.ID)
				return h.refuse(request, d.refusal)
			}
			if wait.Err() != nil || h.stopping.Load() {
				h.tickets.Release(newRelease(request, d.grant, protocol.ReleaseKind_RELEASE_KIND_UNUSED))
				h.tickets.Cancel(request.ID)
				if wait.Err() == nil {
					return h.refuse(request, stopRefusal())
				}
				return h.refuseAbandoned(ctx, request)
			}
			refusal, sent := h.dispatch(ctx, request, d.grant)
			if sent {
				return refusal
			}
			if refusal != nil {
				h.tickets.Cancel(request.ID)
				return h.refuse(request, refusal)
			}
		}
	}
}

// returnUnusedGrants releases grants that arrived while the request was being refused.
func (h *Holder) returnUnusedGrants(request *Request) {
	for {
		select {
		case d := <-request.decisions:
			if d.grant != nil {
				h.tickets.Release(newRelease(request, d.grant, protocol.ReleaseKind_RELEASE_KIND_UNUSED))
			}
		default:
			return
		}
	}
}

// waitContext returns a context that ends at the request's deadline, or after MaxWait if it has none.
func (h *Holder) waitContext(ctx context.Context, request *Request) (context.Context, context.CancelFunc) {
	if request.Deadline.IsZero() {
		return context.WithTimeout(ctx, h.settings.MaxWait)
	}
	return context.WithDeadline(ctx, request.Deadline)
}

// refuseAbandoned refuses a request whose caller disconnected or whose deadline passed before dispatch.
func (h *Holder) refuseAbandoned(ctx context.Context, request *Request) *Refusal {
	if ctx.Err() != nil {
		return h.refuse(request, &Refusal{
			Outcome: OutcomeNotRun, Code: CodeCallerGone, Message: "the caller disconnected before dispatch",
		})
	}
	return h.refuse(request, &Refusal{
		Outcome: OutcomeNotRun, Code: CodeDeadlineExpired, Message: "the deadline passed before dispatch",
	})
}

// refuse marks a request as not run and returns the refusal unchanged. If the request may have run, it returns the
// refusal with the outcome "unknown" instead.
func (h *Holder) refuse(request *Request, refusal *Refusal) *Refusal {
	if (request.state.markNotRun() || request.State() == NotRun) && !request.mayHaveRun {
		return refusal
	}
	return &Refusal{Outcome: OutcomeUnknown, Code: refusal.Code, Message: refusal.Message}
}

// claim claims the idempotency key of a request, if it has one. It returns the result of an earlier run if one is
// stored.
func (h *Holder) claim(ctx context.Context, request *Request) (*claimer.Result, *Refusal) {
	if request.Key == "" {
		return nil, nil
	}
	ctx, stop := h.waitContext(ctx, request)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, h.settings.ClaimTimeout)
	defer cancel()
	verdict, err := h.claims.Claim(ctx, request.scope(), request.ID)
	if err != nil {
		return nil, claimRefusal(err)
	}
	h.record(request, recorder.Claimed, verdict.State.String())
	switch verdict.State {
	case claimer.Won:
		request.claimID = verdict.ClaimID
		return nil, nil
	case claimer.Answered:
		return verdict.Result, nil
	default:
		return nil, &Refusal{
			Outcome: OutcomeUnknown, Code: CodeDuplicate,
			Message: "a request with this key was accepted before; its outcome isn't known here",
		}
	}
}

// claimRefusal maps an error of the claimer to a refusal.
func claimRefusal(err error) *Refusal {
	var tooOld *claimer.KeyTooOldError
	var format *claimer.KeyFormatError
	var mismatch *claimer.FingerprintMismatchError
	switch {
	case errors.As(err, &tooOld):
		return &Refusal{Outcome: OutcomeUnknown, Code: CodeKeyTooOld, Message: err.Error()}
	case errors.As(err, &format), errors.As(err, &mismatch):
		return &Refusal{Outcome: OutcomeNotRun, Code: CodeInvalidRequest, Message: err.Error()}
	default:
		return &Refusal{
			Outcome: OutcomeNotRun, Code: CodeClaimUnavailable, Message: err.Error(), RetryAfter: time.Second,
		}
	}
}

func (r *Request) scope() claimer.Scope {
	return claimer.Scope{
		Workspace: r.Workspace, Work: r.Work.Name, Key: r.Key, Fingerprint: r.Fingerprint, Format: r.Work.KeyFormat,
		// In-memory claims, used while the log is unavailable, are permitted only for idempotent work.
		AllowInMemory: r.Work.Class == cataloguer.ClassStream && r.Work.Idempotent,
	}
}

// voidClaim withdraws the claim of a request that wasn't run, so that a repeat can run.
func (h *Holder) voidClaim(ctx context.Context, request *Request) {
	if request.claimID == "" {
		return
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), h.settings.ResultTimeout)
	defer stop()
	if err := h.claims.Void(ctx, request.scope(), request.claimID); err != nil {
		h.logger.Sugar().Warnw("claim not voided; a repeat will be answered as a duplicate",
			"request_id", request.ID, "error", err)
	}
}

// replay answers a repeated request with the stored result.
func (h *Holder) replay(request *Request, stored *claimer.Result) *Refusal {
	request.state.markNotRun()
	err := request.Answer.Response(kernel.ServiceResponse{
		Status: stored.Status, ContentType: stored.ContentType, Body: stored.Body,
	})
	if err != nil {
		return h.finish(request, &Refusal{Outcome: OutcomeUnknown, Code: CodeCallerGone, Message: err.Error()})
	}
	h.record(request, recorder.Answered, "replayed")
	metrics.GetOrRegisterCounter("requests.replayed", h.metrics).Inc(1)
	return nil
}

// finish records the end of a request and updates the counters.
func (h *Holder) finish(request *Request, refusal *Refusal) *Refusal {
	if refusal == nil {
		h.record(request, recorder.Answered, "")
		metrics.GetOrRegisterCounter("requests.answered", h.metrics).Inc(1)
		return nil
	}
	h.recorder.Record(recorder.Event{
		Kind: recorder.Refused, RequestID: request.ID, Workspace: request.Workspace, Work: request.Work.Name,
		Pool: request.Work.Pool, Tier: request.Work.Tier, Key: request.Key, Upstream: request.upstream,
		Outcome: string(refusal.Outcome), Code: string(refusal.Code), Detail: refusal.Message,
		AgeMS: time.Since(request.Arrived).Milliseconds(), Version: request.Version,
	})
	metrics.GetOrRegisterCounter("requests.refused."+string(refusal.Code), h.metrics).Inc(1)
	return refusal
}
