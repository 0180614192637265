package assembler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/promoter"
	"coltsfootplank/internal/protocol"
	"coltsfootplank/internal/runner"
)

// countGrants counts the grants under leases of this router's schedulers. What a scheduler that has ended may have granted
// counts as granted.
func (r *rollouts) countGrants(service string) {
	r.mu.Lock()
	order := r.service(service).gate.Order()
	r.mu.Unlock()
	if order == nil {
		return
	}
	to := order.To
	grants := r.options.runner.VersionGrants(service, to)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	for cell, count := range grants {
		before, known := s.granted[cell]
		if known {
			s.gate.Use(count - before)
		}
		s.granted[cell] = count
	}
	for cell, count := range s.granted {
		if _, running := grants[cell]; !running {
			s.gate.Use(max(count, s.totals[cell]) - count)
			delete(s.granted, cell)
			delete(s.totals, cell)
		}
	}
}

// callDecider reports to the decider and applies its answer.
func (r *rollouts) callDecider(ctx context.Context, service, decider string, view *detector.View) {
	r.mu.Lock()
	s := r.service(service)
	interval := reportInterval
	if len(s.granted) > 0 {
		interval = rolloutInterval
	}
	now := time.Now()
	// Ticks may come a little early.
	if !s.gate.Open() || now.Sub(s.reportedAt) < interval-rolloutInterval/2 {
		r.mu.Unlock()
		return
	}
	s.reportedAt = now
	report := s.gate.Report(now, r.options.self, r.options.process, len(s.granted) > 0)
	r.mu.Unlock()
	var lease promoter.Lease
	if decider == r.options.self {
		lease = r.receive(service, report)
	} else {
		member, ok := view.Member(decider)
		if !ok {
			return
		}
		response, err := r.options.report(ctx, member.Address, encodeReport(service, report))
		if err != nil {
			r.options.logger.Debug("report to the decider of a rollout failed", zap.String("service", service), zap.Error(err))
			return
		}
		lease = decodeLease(response)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s.gate.SetLease(now, lease)
	if lease.Verified && lease.Order == report.Order {
		s.answeredAt = now
	}
}

// Receive answers the report of another router.
func (r *rollouts) Receive(_ context.Context, request *protocol.RolloutRequest) (*protocol.RolloutResponse, error) {
	return encodeLease(r.receive(request.GetService(), decodeReport(request))), nil
}

func (r *rollouts) receive(service string, report promoter.Report) promoter.Lease {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	if s == nil || s.deciding == nil {
		return promoter.Lease{Order: -1}
	}
	return s.deciding.decider.Report(time.Now(), report)
}

// readRecord reads the record if no decider answers, so that this router learns of a change of the phase.
func (r *rollouts) readRecord(ctx context.Context, service string) {
	r.mu.Lock()
	s, now := r.service(service), time.Now()
	due := now.Sub(s.answeredAt) >= fallbackInterval && now.Sub(s.readAt) >= fallbackInterval
	r.mu.Unlock()
	if due {
		if _, _, err := r.readNewest(ctx, service); err != nil {
			r.options.logger.Debug("record of a rollout not read", zap.String("service", service), zap.Error(err))
		}
	}
}

// readNewest reads the record of a service and applies it to the gate. It returns the record, nil if there is none, and the
// end of its topic.
func (r *rollouts) readNewest(ctx context.Context, service string) (found *kernel.RolloutRecord, end kernel.Position, err error) {
	started := time.Now()
	page, err := r.options.directory.Newest(ctx, kernel.TopicRouters)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	s.readAt = started
	if err != nil {
		return nil, 0, err
	}
	for _, stored := range page.Records {
		record, err := r.options.directory.RolloutRecord(stored)
		if err != nil {
			r.options.logger.Warn("record of a rollout could not be decoded", zap.String("key", stored.Key), zap.Error(err))
		}
		if record != nil && record.Service == service {
			found = record
		}
	}
	if found != nil {
		s.gate.SetRecord(started, *found)
	}
	s.gate.Verify(started)
	return found, page.Next, nil
}

// limitSchedulers applies the gate to this router's schedulers. The caller holds r.mu.
func (r *rollouts) limitSchedulers(service string) {
	s, now := r.service(service), time.Now()
	order := s.gate.Order()
	if order == nil {
		r.options.runner.SetVersionLimits(service, nil, nil)
		s.applied = appliedLimits{}
		return
	}
	versions := r.versions(service)
	current := appliedLimits{known: true, order: order.Position, phase: s.gate.Phase(), versions: len(versions)}
	if !s.gate.Open() && current == s.applied {
		return
	}
	s.applied = current
	limits := make(map[string]runner.VersionLimit, len(versions))
	for _, version := range versions {
		switch s.gate.Permit(now, version) {
		case promoter.Allowed:
			limits[version] = runner.VersionLimit{Unlimited: true}
		case promoter.Leased:
			_, until := s.gate.LeaseLeft(now)
			limits[version] = runner.VersionLimit{Until: until, Part: s.gate.Rotation(), Parts: leasedParts}
		}
	}
	left, _ := s.gate.LeaseLeft(now)
	cells := uint64(len(s.granted))
	for cell, count := range s.granted {
		part := (left + cells - 1) / cells
		s.totals[cell] = count + part
		left, cells = left-part, cells-1
	}
	totals := make(map[*runner.Cell]uint64, len(s.totals))
	for cell, total := range s.totals {
		totals[cell] = total
	}
	r.options.runner.SetVersionLimits(service, limits, totals)
}

// leasedParts is the number of parts of the new version's engines of which one gets the requests under leases, so that it
// runs at a load like that of the old version's engines.
const leasedParts = 10
