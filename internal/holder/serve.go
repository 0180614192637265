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

// decisionBuffer holds the decisions of one attempt: a grant, and a refusal of the limit on waiting requests.
const decisionBuffer = 4

// Serve carries a request from arrival to its answer. It returns nil if the whole answer was passed on.
func (h *Holder) Serve(ctx context.Context, request *Request) *Refusal {
	request.decisions = make(chan decision, decisionBuffer)
	request.state.value.Store(int32(Waiting))
	if !h.enter() {
		request.state.refuse()
		return h.finish(request, &Refusal{
			Outcome: OutcomeNotRun, Code: CodeDraining, Message: "this router is stopping; try another",
			RetryAfter: time.Second,
		})
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
		request.state.refuse()
		return h.finish(request, refusal)
	}
	if stored != nil {
		return h.replay(request, stored)
	}
	refusal = h.schedule(ctx, request)
	if refusal != nil && refusal.Outcome == OutcomeNotRun {
		h.void(ctx, request)
	}
	return h.finish(request, refusal)
}

// schedule waits for grants and dispatches on the first that can be used.
func (h *Holder) schedule(ctx context.Context, request *Request) *Refusal {
	wait, stop := h.waitContext(ctx, request)
	defer stop()
	defer h.returnSurplus(request)
	h.tickets.Submit(request.ticket(time.Now()), request)
	h.record(request, recorder.Ticketed, "")
	for {
		select {
		case <-wait.Done():
			h.tickets.Cancel(request.ID)
			return h.abandoned(ctx, request)
		case d := <-request.decisions:
			if d.refusal != nil {
				h.tickets.Cancel(request.ID)
				return h.notRun(request, d.refusal)
			}
			if wait.Err() != nil {
				h.release(request, d.grant, protocol.ReleaseKind_RELEASE_KIND_UNUSED)
				h.tickets.Cancel(request.ID)
				return h.abandoned(ctx, request)
			}
			refusal, sent := h.dispatch(ctx, request, d.grant)
			if sent {
				return refusal
			}
			if refusal != nil {
				h.tickets.Cancel(request.ID)
				return h.notRun(request, refusal)
			}
		}
	}
}

// returnSurplus gives back a grant that arrived while the request was being refused.
func (h *Holder) returnSurplus(request *Request) {
	for {
		select {
		case d := <-request.decisions:
			if d.grant != nil {
				h.release(request, d.grant, protocol.ReleaseKind_RELEASE_KIND_UNUSED)
			}
		default:
			return
		}
	}
}

// waitContext ends at the request's deadline, or after the longest wait if it has none.
func (h *Holder) waitContext(ctx context.Context, request *Request) (context.Context, context.CancelFunc) {
	if request.Deadline.IsZero() {
		return context.WithTimeout(ctx, h.settings.MaxWait)
	}
	return context.WithDeadline(ctx, request.Deadline)
}

// abandoned refuses a request whose caller went away or whose deadline passed before dispatch.
func (h *Holder) abandoned(ctx context.Context, request *Request) *Refusal {
	if ctx.Err() != nil {
		return h.notRun(request, &Refusal{
			Outcome: OutcomeNotRun, Code: CodeCallerGone, Message: "the caller disconnected before dispatch",
		})
	}
	return h.notRun(request, &Refusal{
		Outcome: OutcomeNotRun, Code: CodeDeadlineExpired, Message: "the deadline passed before dispatch",
	})
}

// notRun refuses a request if nothing was sent, and says "unknown" otherwise.
func (h *Holder) notRun(request *Request, refusal *Refusal) *Refusal {
	if (request.state.refuse() || request.State() == NotRun) && !request.ran {
		return refusal
	}
	return &Refusal{Outcome: OutcomeUnknown, Code: refusal.Code, Message: refusal.Message}
}

// claim claims a keyed request. It returns the stored result of an earlier run if there is one.
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
		// Only idempotent work may rely on claims in memory while the log is down.
		AllowInMemory: r.Work.Class == cataloguer.ClassStream && r.Work.Idempotent,
	}
}

// void gives the claim of a request that didn't run back, so that a repeat may run.
func (h *Holder) void(ctx context.Context, request *Request) {
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

// replay answers a repeat with the stored result.
func (h *Holder) replay(request *Request, stored *claimer.Result) *Refusal {
	request.state.refuse()
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

// finish records the end of a request and counts it.
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
