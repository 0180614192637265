package holder

import (
	"context"
	"time"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/dispatcher"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/recorder"
)

// Exchange sends an opaque request, whose content the router doesn't interpret, to an upstream and relays the answer to
// the caller.
type Exchange interface {
	Send(ctx context.Context, upstream *cataloguer.Upstream) SendResult
}

// SendResult is the result of sending an opaque request to an upstream.
type SendResult struct {
	// Kind is the kind of release reported to the scheduler.
	Kind protocol.ReleaseKind
	// Resubmit requests another grant although the upstream may have run the request.
	Resubmit bool
	// Refusal is the answer to the caller. If it is nil, the request waits for another grant when Resubmit is set or
	// Kind means that the request was not run; otherwise the caller already has its answer.
	Refusal     *Refusal
	Observation dispatcher.Observation
}

// exchange sends an opaque request under a grant. Its results are those of dispatch.
func (h *Holder) exchange(ctx context.Context, request *Request, grant *protocol.Grant) (refusal *Refusal, sent bool) {
	upstream := &cataloguer.Upstream{Name: grant.GetEngine(), Address: grant.GetAddress()}
	if known, ok := h.catalogue.Current().Upstream(grant.GetEngine()); ok {
		upstream = known
	}
	if upstream.Address == "" {
		h.requeue(request, grant, Granted, protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE)
		return nil, false
	}
	h.table.removeWaiting(request)
	if !request.state.transition(Granted, Dispatched) {
		return nil, false
	}
	h.record(request, recorder.Dispatched, upstream.Address)
	result := request.Exchange.Send(ctx, upstream)
	switch {
	case result.Kind.NotRun() && result.Refusal == nil:
		h.requeue(request, grant, Dispatched, result.Kind)
		return nil, false
	case result.Kind.NotRun():
		h.release(request, grant, result.Kind)
		h.tickets.Cancel(request.ID)
		request.state.transition(Dispatched, NotRun)
		return h.refuse(request, result.Refusal), true
	case result.Resubmit:
		h.releaseWithObservation(request, grant, dispatchResult{releaseKind: result.Kind, observation: result.Observation})
		h.resubmit(request)
		return nil, false
	}
	end := Answered
	if result.Refusal != nil {
		end = Unknown
	}
	h.releaseWithObservation(request, grant, dispatchResult{releaseKind: result.Kind, observation: result.Observation})
	request.state.transition(Dispatched, end)
	return result.Refusal, true
}

// resubmit requests another grant for a request that an upstream may already have run and that may be run again. What was
// decided while the upstream ran it belongs to the ticket that has ended.
func (h *Holder) resubmit(request *Request) {
	h.returnUnusedGrants(request)
	request.mayHaveRun, request.upstream = true, ""
	request.attempt++
	request.state.transition(Dispatched, Waiting)
	h.table.addWaiting(request)
	h.tickets.Submit(request.ticket(time.Now()), request)
	h.record(request, recorder.Ticketed, "again")
}
