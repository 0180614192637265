package holder

import (
	"context"
	"time"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/dispatcher"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/recorder"
)

// Exchange sends an opaque request to an upstream and passes the answer on.
type Exchange interface {
	Send(ctx context.Context, upstream *cataloguer.Upstream) SendResult
}

// SendResult is how one sending of an opaque request ended.
type SendResult struct {
	// Kind is what the scheduler is told.
	Kind protocol.ReleaseKind
	// Resubmit asks for another grant after an upstream may have run the request.
	Resubmit bool
	// Refusal is the answer to the caller. Without one the caller has its answer, or the request waits for another
	// grant: if Again is set, or Kind says that the request was not run.
	Refusal     *Refusal
	Observation dispatcher.Observation
}

// exchange sends an opaque request under a grant; see dispatch for the results.
func (h *Holder) exchange(ctx context.Context, request *Request, grant *protocol.Grant) (refusal *Refusal, sent bool) {
	upstream := &cataloguer.Upstream{Name: grant.GetEngine(), Address: grant.GetAddress()}
	if known, ok := h.catalogue.Current().Upstream(grant.GetEngine()); ok {
		upstream = known
	}
	if upstream.Address == "" {
		h.requeue(request, grant, Granted, protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE)
		return nil, false
	}
	h.table.dispatched(request)
	if !request.state.move(Granted, Dispatched) {
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
		request.state.move(Dispatched, NotRun)
		return h.notRun(request, result.Refusal), true
	case result.Resubmit:
		h.releaseObserved(request, grant, outcome{kind: result.Kind, observation: result.Observation})
		h.resubmit(request)
		return nil, false
	}
	end := Answered
	if result.Refusal != nil {
		end = Unknown
	}
	h.releaseObserved(request, grant, outcome{kind: result.Kind, observation: result.Observation})
	request.state.move(Dispatched, end)
	return result.Refusal, true
}

// resubmit asks for a grant for a request that may have run already and may run again.
func (h *Holder) resubmit(request *Request) {
	request.ran, request.upstream = true, ""
	request.attempt++
	request.state.move(Dispatched, Waiting)
	h.table.queued(request)
	h.tickets.Submit(request.ticket(time.Now()), request)
	h.record(request, recorder.Ticketed, "again")
}
