package assembler

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/promoter"
	"coltsfootplank/internal/protocol"
)

// decide lets the decider of a service take a step. It reads the directory only if the decider wants to write its record, or
// if the last read is too old to prove that it still has the role.
func (r *rollouts) decide(ctx context.Context, service string, view *detector.View) {
	r.mu.Lock()
	s, now := r.service(service), time.Now()
	d, around := s.deciding, r.surroundings(service, view, now)
	if s.gate.Order() == nil {
		r.mu.Unlock()
		return
	}
	if order := s.gate.Order(); d != nil && (d.order != order.Position || d.deleted != order.Deleted) {
		s.deciding, d = nil, nil
	}
	due := d == nil || now.Sub(d.readAt) >= recordInterval
	if d != nil && !due {
		around.RecordReadAt = d.readAt
		_, due = d.decider.Step(now, around)
		r.logFinding(service, d, now)
	}
	r.mu.Unlock()
	if !due || !around.MembersKnown {
		return
	}
	found, end, err := r.readNewest(ctx, service)
	if err != nil {
		r.options.logger.Debug("record of a rollout not read", zap.String("service", service), zap.Error(err))
		return
	}
	if next, ok := r.nextRecord(service, found, around, now); ok {
		r.write(ctx, service, next, end)
	}
}

// findingInterval is the shortest time between two lines on findings of a rollout, whose numbers change with each step.
const findingInterval = time.Second

// logFinding logs what the last judgement of a decider found.
func (r *rollouts) logFinding(service string, d *deciding, now time.Time) {
	finding := d.decider.Finding()
	if finding.Reason == "" || now.Sub(d.loggedAt) < findingInterval {
		return
	}
	d.loggedAt = now
	r.options.logger.Info("rollout finding", zap.String("service", service), zap.String("to", d.decider.Record().To),
		zap.String("reason", finding.Reason), zap.Float64("answers", finding.Answers), zap.Float64("bad", finding.Bad))
}

// nextRecord returns the record that a service's decider wants to write after a read of the directory that started at readAt.
func (r *rollouts) nextRecord(service string, found *kernel.RolloutRecord, around promoter.Surroundings, readAt time.Time) (kernel.RolloutRecord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, now := r.service(service), time.Now()
	if !s.gate.Open() {
		s.deciding = nil
		return kernel.RolloutRecord{}, false
	}
	if s.deciding == nil {
		order, previous := *s.gate.Order(), s.gate.Newest(found)
		record, ok := promoter.Start(r.options.self, order, previous, around.Versions, now)
		if !ok || len(around.Versions) == 0 {
			return kernel.RolloutRecord{}, false
		}
		s.deciding = &deciding{
			decider: promoter.NewDecider(now, now, order, record, previous, r.options.settings),
			keeper:  promoter.NewKeeper(record, found), order: order.Position, deleted: order.Deleted,
		}
	}
	d := s.deciding
	switch d.keeper.Observe(found) {
	case promoter.StandingLost:
		r.options.logger.Info("rollout is decided elsewhere", zap.String("service", service), zap.Any("record", found))
		s.deciding = nil
		return kernel.RolloutRecord{}, false
	case promoter.StandingOwn:
		if !d.decider.Claimed() || d.decider.Record().Phase != found.Phase {
			d.decider.Recorded(now, *found)
		}
		d.readAt = readAt
	}
	around.RecordReadAt = d.readAt
	return d.decider.Step(now, around)
}

// write writes the record of a service's decider on the condition that its topic still ends at end.
func (r *rollouts) write(ctx context.Context, service string, record kernel.RolloutRecord, end kernel.Position) {
	started := time.Now()
	err := r.options.directory.WriteRollout(ctx, record, end)
	r.mu.Lock()
	defer r.mu.Unlock()
	s, now := r.service(service), time.Now()
	if s.deciding == nil {
		return
	}
	var conflict *kernel.ConflictError
	switch {
	case err == nil:
		s.deciding.keeper.Written()
		s.deciding.decider.Recorded(now, record)
		s.deciding.readAt = started
		s.gate.SetRecord(started, record)
		r.options.logger.Info("rollout recorded", zap.String("service", service), zap.String("to", record.To),
			zap.Stringer("phase", record.Phase), zap.Stringer("order", record.Order), zap.Int64("generation", record.Generation),
			zap.Strings("old_versions", record.From), zap.String("reason", record.Reason))
	case errors.As(err, &conflict):
		r.options.logger.Debug("record of a rollout not written", zap.String("service", service), zap.Error(err))
	default:
		s.deciding.keeper.Doubt()
		r.options.logger.Warn("record of a rollout may not be written", zap.String("service", service), zap.Error(err))
	}
}

// standInDelay is the time after which the router of the next rank looks whether the outcome of a rollout is recorded. The one
// that is ranked first may have started after the end, and know nothing of it.
const standInDelay = 2 * time.Second

// recordAgain writes the outcome of a rollout that has ended, if the directory has lost it or has it under the position that the
// order had before a restoration. rank is that of this router, negative for no rank.
func (r *rollouts) recordAgain(ctx context.Context, service string, rank int) {
	r.mu.Lock()
	s, now := r.service(service), time.Now()
	if s.unrecordedSince.IsZero() {
		s.unrecordedSince = now
	}
	due := rank >= 0 && now.Sub(s.unrecordedSince) >= time.Duration(rank)*standInDelay && now.Sub(s.readAt) >= recordInterval
	r.mu.Unlock()
	if !due {
		return
	}
	found, end, err := r.readNewest(ctx, service)
	r.mu.Lock()
	order, newest := s.gate.Order(), s.gate.Newest(found)
	needed := err == nil && order != nil && !s.gate.Open() && s.gate.Unrecorded() && newest != nil
	r.mu.Unlock()
	if !needed {
		return
	}
	record := *newest
	record.Order, record.Generation, record.Decider = order.Position, newest.Generation+1, r.options.self
	if err := r.options.directory.WriteRollout(ctx, record, end); err != nil {
		r.options.logger.Info("outcome of a rollout not written again", zap.String("service", service), zap.Error(err))
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s.gate.SetRecord(now, record)
	r.options.logger.Info("outcome of a rollout written again", zap.String("service", service), zap.Stringer("phase", record.Phase),
		zap.Stringer("order", record.Order), zap.Int64("generation", record.Generation))
}

// surroundings returns what a decider has to know of the other routers. The caller holds r.mu.
func (r *rollouts) surroundings(service string, view *detector.View, now time.Time) promoter.Surroundings {
	around := promoter.Surroundings{MembersKnown: view.KnowsMostRouters(), Versions: r.versions(service)}
	for _, member := range view.Members {
		dead := member.State == protocol.MemberState_MEMBER_STATE_DEAD
		if !dead {
			delete(r.deadSince, member.Name)
		} else if r.deadSince[member.Name].IsZero() {
			r.deadSince[member.Name] = now
		}
		if !dead || !member.Left {
			around.Members = append(around.Members, promoter.Member{Name: member.Name, DeadSince: r.deadSince[member.Name]})
		}
	}
	return around
}

func encodeReport(service string, report promoter.Report) *protocol.RolloutRequest {
	request := &protocol.RolloutRequest{
		Service: service, Router: report.Gate, Process: report.Incarnation, Sequence: report.Sequence, Order: int64(report.Order),
		Phase: int32(report.Phase), Generation: report.Generation, Requests: report.Requests, Used: report.Used, Held: report.Held,
		WantsLease: report.WantsLease, Forbidden: report.Forbidden, Stopped: report.Stopped,
	}
	for series, tally := range report.Evidence {
		used := len(tally.Latency)
		for used > 0 && tally.Latency[used-1] == 0 {
			used--
		}
		request.Tallies = append(request.Tallies, &protocol.RolloutTally{
			Version: series.Version, Route: series.Route, Outcomes: tally.Outcomes[:], Latency: tally.Latency[:used],
		})
	}
	return request
}

func decodeReport(request *protocol.RolloutRequest) promoter.Report {
	report := promoter.Report{
		Gate: request.GetRouter(), Incarnation: request.GetProcess(), Sequence: request.GetSequence(), Order: kernel.Position(request.GetOrder()),
		Phase: kernel.RolloutPhase(request.GetPhase()), Generation: request.GetGeneration(), Requests: request.GetRequests(),
		Used: request.GetUsed(), Held: request.GetHeld(), WantsLease: request.GetWantsLease(), Forbidden: request.GetForbidden(),
		Stopped: request.GetStopped(), Evidence: make(promoter.Evidence),
	}
	for _, sent := range request.GetTallies()[:min(len(request.GetTallies()), promoter.MaxSeries+1)] {
		var tally promoter.Tally
		copy(tally.Outcomes[:], sent.GetOutcomes())
		copy(tally.Latency[:], sent.GetLatency())
		report.Evidence[promoter.Series{Version: sent.GetVersion(), Route: sent.GetRoute()}] = tally
	}
	return report
}

func encodeLease(lease promoter.Lease) *protocol.RolloutResponse {
	return &protocol.RolloutResponse{
		Generation: lease.Generation, Order: int64(lease.Order), Phase: int32(lease.Phase), From: lease.From, Total: lease.Total,
		Rotation: uint32(lease.Rotation), Verified: lease.Verified,
	}
}

func decodeLease(response *protocol.RolloutResponse) promoter.Lease {
	phase := kernel.RolloutPhase(min(max(0, response.GetPhase()), int32(kernel.RolloutRolledBack)))
	return promoter.Lease{
		Generation: response.GetGeneration(), Order: kernel.Position(response.GetOrder()), Phase: phase, From: response.GetFrom(), Total: response.GetTotal(),
		Rotation: int(response.GetRotation()), Verified: response.GetVerified(),
	}
}
