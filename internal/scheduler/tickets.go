package scheduler

import (
	"fmt"
	"time"

	"coltsfootplank/internal/isolator"
	"coltsfootplank/internal/protocol"
)

// Submit queues a ticket. A repeated request id replaces the ticket and keeps its age; if it is granted already, the
// grant is sent again, since the holder still waits for it. A ticket that reports an age was sent before, to another
// scheduler, and doesn't count as a caller's retry.
func (s *Scheduler) Submit(now time.Time, holder string, ticket *protocol.Ticket) {
	s.recordInput(now)
	arrivedAt := now.Add(-time.Duration(max(0, ticket.GetAgeMs())) * time.Millisecond)
	old := s.requests[ticket.GetRequestId()]
	if old != nil {
		if old.engine != nil && old.engine.usable() && old.holder == holder {
			old.ticket = ticket
			s.grantDecision(old)
			return
		}
		if old.arrivedAt.Before(arrivedAt) {
			arrivedAt = old.arrivedAt
		}
		s.removeRequest(old)
	}
	r := s.newRequest(now, holder, ticket)
	r.arrivedAt = arrivedAt
	r.returning = s.returning.take(now, ticket.GetFingerprint(), r.bucket) || old != nil && old.returning
	s.addRequest(r)
	workspace := ticket.GetWorkspace()
	if old == nil && ticket.GetAgeMs() == 0 && !s.retries.Admit(now, workspace, ticket.GetFingerprint()) {
		s.refuse(r, CodeRetryBudgetExceeded, "the workspace's retry budget is used up",
			max(s.jitter(s.retries.RetryAfter(workspace)), s.retryAfter(r, now)))
		return
	}
	if s.refuseIfPoison(r, now) || s.refuseIfTooLarge(r) || s.refuseIfFailedEverywhere(r) {
		return
	}
	if s.refuseIfPaused(r, now) || !s.chargeAllowance(r, now) {
		return
	}
	if s.infeasible(r, now) {
		s.refuseOverloaded(r, CodeDeadlineInfeasible, "the queue ahead leaves no time for the run")
		return
	}
	s.engines.recordUrgent(r)
	s.enqueue(r)
}

// newRequest returns a request for the ticket, with estimates of its work and of its latest start.
func (s *Scheduler) newRequest(now time.Time, holder string, ticket *protocol.Ticket) *request {
	s.sequence++
	tier := tierOf(ticket)
	r := &request{
		ticket: ticket, holder: holder, tier: tier, bucket: s.order.Bucket(tier), sequence: s.sequence,
		workQueueIndex: -1, accountIndex: -1, deadlineIndex: -1,
	}
	workspace := ticket.GetWorkspace()
	r.account = s.buckets[r.bucket].account(workspace, s.weight(workspace))
	s.estimate(r)
	if ticket.GetDeadlineMs() > 0 {
		r.deadline = now.Add(time.Duration(ticket.GetDeadlineMs()) * time.Millisecond)
		r.latestStart = r.deadline.Add(-secondsToDuration(s.engines.bestRunSeconds(r)))
		r.requiredOutput = s.engines.requiredOutput(r, r.deadline.Sub(now))
	}
	r.setAvoidUntil(now)
	r.maxStall = stallShare * float64(ticket.GetPauseMs()) / 1000
	r.fastestPrefill = s.engines.bestFirstToken(r)
	if ticket.GetStartMs() > 0 {
		r.startBy = now.Add(time.Duration(ticket.GetStartMs()) * time.Millisecond)
		latest := r.startBy.Add(-secondsToDuration(r.fastestPrefill))
		if r.latestStart.IsZero() || latest.Before(r.latestStart) {
			r.latestStart = latest
		}
	}
	return r
}

// chargeAllowance takes the request's charge from its workspace's allowance, or refuses the request and returns false. A
// scheduler that may grant only a part of the allowance takes so much more from the whole, as if the others granted as much.
// What it has granted, and what is left, so keep their proportion when its part changes.
func (s *Scheduler) chargeAllowance(r *request, now time.Time) bool {
	charge, workspace := float64(r.ticket.GetCharge()), r.ticket.GetWorkspace()
	allowance, share := s.allowances[workspace], min(s.engines.share, s.allowanceShare)
	if s.standIn {
		// Routers come to a stand-in with an allowance whose burst the scheduler before may just have granted.
		allowance.Burst = 0
	}
	wait, ok := s.allowanceUse.Take(now, workspace, allowance, charge/share)
	if !ok {
		part := allowance.Scale(share)
		s.refuse(r, CodeAllowanceExceeded,
			fmt.Sprintf("the workspace's allowance is used up: %.0f a second and %.0f at once here, "+
				"%.0f asked, enough in %d ms", part.Rate, part.Burst, charge, wait.Milliseconds()), s.jitter(wait))
		return false
	}
	r.allowanceCharge = charge / share
	return true
}

// estimate sets the expected lengths and the length class of a request.
func (s *Scheduler) estimate(r *request) {
	work := s.works[r.ticket.GetWork()]
	r.prompt = float64(r.ticket.GetPromptTokens())
	r.declaredOutput = float64(r.ticket.GetOutputTokens())
	if r.declaredOutput == 0 {
		r.declaredOutput = float64(work.ExpectedOutput)
	}
	if r.declaredOutput == 0 && r.prompt > 0 {
		r.declaredOutput = float64(s.settings.DefaultOutputTokens)
	}
	if limit := float64(work.Limits.MaxOutputTokens); limit > 0 {
		r.declaredOutput = min(r.declaredOutput, limit)
	}
	r.output = s.lengths.Estimate(r.lengthKey(), r.declaredOutput)
	r.slotSeconds = s.engines.meanSlotSeconds(r)
	s.classify(r, s.engines.now)
}

// classify sets the length class of a request, and with it its queue.
func (s *Scheduler) classify(r *request, now time.Time) {
	r.class = classShort
	if r.output > float64(s.settings.LongTokens) {
		r.class = classLong
	}
	if s.isolator.State(now, r.ticket.GetFingerprint()) == isolator.Suspect {
		r.class = classAlone
	}
}

// Cancel removes the ticket or grant of a request whose caller has gone. The charge of a grant is removed from the
// workspace's counter.
func (s *Scheduler) Cancel(now time.Time, holder, requestID string) {
	s.recordInput(now)
	r := s.requests[requestID]
	if r == nil || r.holder != holder {
		return
	}
	s.refund(r)
	s.removeRequest(r)
}

// refund removes the charge of a grant from the workspace's counter.
func (s *Scheduler) refund(r *request) {
	if r.engine == nil {
		return
	}
	r.account.charge(-r.charged)
	r.charged, r.workDone = 0, 0
}

// endGrant frees the engine's slot and the limits that a granted request occupies.
func (s *Scheduler) endGrant(r *request, now time.Time) {
	s.engines.end(r, now)
	s.endLimits(r, now)
}

// Release ends a grant. A grant that was returned unused goes back to its old place in the queue. A release of a grant
// that this scheduler didn't make is only used for the observations.
func (s *Scheduler) Release(now time.Time, holder string, release *protocol.Release) {
	s.recordInput(now)
	r := s.requests[release.GetRequestId()]
	if r != nil && (r.engine == nil || r.holder != holder || r.engine.info.Name != release.GetEngine()) {
		r = nil
	}
	s.observeRelease(now, holder, r, release)
	if r == nil {
		return
	}
	switch kind := release.GetKind(); {
	case kind.NotRun():
		s.refund(r)
		s.endGrant(r, now)
		s.enqueue(r)
	case kind == protocol.ReleaseKind_RELEASE_KIND_FAILED, kind == protocol.ReleaseKind_RELEASE_KIND_LOST:
		s.retries.RecordFailure(now, r.ticket.GetFingerprint())
		if kind == protocol.ReleaseKind_RELEASE_KIND_LOST && !r.engine.statedByOther(release) {
			s.engines.orphan(r, now)
		}
		s.settle(r, release)
		s.removeRequest(r)
	default:
		s.settle(r, release)
		s.removeRequest(r)
	}
}

// observeRelease learns what a release tells about its engine. r is nil if another scheduler made the grant.
func (s *Scheduler) observeRelease(now time.Time, holder string, r *request, release *protocol.Release) {
	e := s.engines.byName[release.GetEngine()]
	if e == nil {
		return
	}
	s.engines.recordAsked(e, holder, release, now)
	s.recordStated(e, release, now)
	s.engines.endOrphan(e, release.GetRequestId())
	s.engines.observeReach(e, holder, release, now)
	s.engines.observeTurnaround(e, r, release, now)
	answered := release.GetKind() == protocol.ReleaseKind_RELEASE_KIND_ANSWERED
	if r != nil && (answered || release.GetBegun()) {
		s.recordBegun(now, e, r, answered)
	}
	switch release.GetKind() {
	case protocol.ReleaseKind_RELEASE_KIND_FAILED:
		e.consecutiveLosses = 0
		s.engines.failPace(e, r, now)
	case protocol.ReleaseKind_RELEASE_KIND_ANSWERED:
		e.consecutiveLosses = 0
		s.engines.connections.recordIdle(holder, e, now)
		s.observeRun(now, e, r, release)
	case protocol.ReleaseKind_RELEASE_KIND_LOST:
		s.observeLoss(now, e, r, release)
		s.engines.failPace(e, r, now)
		s.engines.recordLoss(e, now)
	case protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE:
		s.recordUnreachable(e, now)
	case protocol.ReleaseKind_RELEASE_KIND_SHED:
		if !e.excluded {
			s.engines.excludeFor(e, now, shedPause, "the engine was full")
		}
	}
}

// settle corrects the charge of a grant to the work that was done: uncached prompt tokens and output tokens.
func (s *Scheduler) settle(r *request, release *protocol.Release) {
	prompt := float64(release.GetPromptTokens()) - float64(release.GetCachedTokens())
	r.workDone = max(1, max(0, prompt)+float64(release.GetOutputTokens()))
	r.account.charge(r.workDone - r.charged)
}

// DropHolder removes the tickets and grants of a holder that is gone.
func (s *Scheduler) DropHolder(now time.Time, holder string) {
	s.recordInput(now)
	s.engines.connections.dropHolder(holder)
	for _, r := range s.holders[holder] {
		if r.engine != nil {
			s.engines.orphan(r, now)
		}
		s.removeRequest(r)
	}
}
