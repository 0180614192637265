package holder

import (
	"context"
	"time"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/dispatcher"
	"coltsfootplank/internal/kernel"
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
	// Asked is what the upstream asks of this router now, and Incarnation the process of the upstream that asks it.
	Asked       kernel.Notice
	Incarnation int64
	// Load is what the head of the answer stated about the upstream's load, and LoadAt when the head arrived. Load.Slots is
	// 0 if there was no answer or it stated nothing.
	Load   kernel.StatedLoad
	LoadAt time.Time
}

// exchange sends an opaque request under a grant. Its results are those of dispatch.
func (h *Holder) exchange(ctx context.Context, request *Request, grant *protocol.Grant) (refusal *Refusal, sent bool) {
	upstream := &cataloguer.Upstream{Name: grant.GetEngine(), Address: grant.GetAddress(), Registered: grant.GetRegistered()}
	if known, ok := h.catalogue.Current().Upstream(grant.GetEngine()); ok {
		upstream = known
	}
	if upstream.Address == "" {
		h.requeue(request, Granted, newRelease(request, grant, protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE))
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
		h.requeue(request, Dispatched, exchangeRelease(request, grant, result))
		return nil, false
	case result.Kind.NotRun():
		h.tickets.Release(exchangeRelease(request, grant, result))
		h.tickets.Cancel(request.ID)
		request.state.transition(Dispatched, NotRun)
		return h.refuse(request, result.Refusal), true
	case result.Resubmit:
		h.recordRelease(request, exchangeRelease(request, grant, result))
		h.resubmit(request)
		return nil, false
	}
	end := Answered
	if result.Refusal != nil {
		end = Unknown
	}
	h.recordRelease(request, exchangeRelease(request, grant, result))
	request.state.transition(Dispatched, end)
	return result.Refusal, true
}

// exchangeRelease returns the release of a grant with what the upstream asks of this router and states about its load. That
// is also known if the answer failed, was cut or stated that the request was not run.
func exchangeRelease(request *Request, grant *protocol.Grant, result SendResult) *protocol.Release {
	release := newRelease(request, grant, result.Kind)
	if !result.Kind.NotRun() {
		addObservation(release, request, result.Observation)
	}
	release.Leaving, release.PausedMs = result.Asked.Leaving, result.Asked.Pause.Milliseconds()
	release.Incarnation = result.Incarnation
	if load := result.Load; load.Slots > 0 {
		release.Load = &protocol.EngineLoad{
			Running: uint32(load.Running), Waiting: uint32(load.Waiting), Slots: uint32(load.Slots),
			WorkPercent: uint32(load.WorkPercent), AgeMs: time.Since(result.LoadAt).Milliseconds(),
		}
	}
	return release
}

// resubmit requests another grant for a request that an upstream may already have run and that may be run again, from another
// upstream if there is one. What was decided while the upstream ran it belongs to the ticket that has ended.
func (h *Holder) resubmit(request *Request) {
	h.returnUnusedGrants(request)
	request.failedUpstreams = append(request.failedUpstreams, request.upstream)
	request.mayHaveRun, request.upstream = true, ""
	request.attempt++
	request.state.transition(Dispatched, Waiting)
	h.table.addWaiting(request)
	h.tickets.Submit(request.ticket(time.Now()), request)
	h.record(request, recorder.Ticketed, "again")
}
