package promoter

import (
	"fmt"
	"time"

	"coltsfootplank/internal/kernel"
)

// Member is a router that may use engines of the service.
type Member struct {
	Name string
	// DeadSince is when the router was declared dead; zero while it isn't.
	DeadSince time.Time
}

// Surroundings are what a decider has to know of the rest of the system.
type Surroundings struct {
	Members []Member
	// MembersKnown is unset while the router has just started and may not know most of the others.
	MembersKnown bool
	// Versions are the versions with registered engines.
	Versions []string
	// RecordReadAt is when the record was last read from the directory and was still this decider's.
	RecordReadAt time.Time
}

// Decider decides about one rollout. Its record is in force once it is in the directory.
type Decider struct {
	order    kernel.RolloutOrder
	record   kernel.RolloutRecord
	recorded bool
	ledger   *ledger
	around   Surroundings
	// startedAt is when the rollout started, by this process's clock.
	startedAt time.Time
	// phaseAt is when this decider recorded the phase.
	phaseAt time.Time
	trial   trial
	// movedFrom is the evidence at the time when the traffic was moved.
	movedFrom Evidence
}

// NewDecider returns a decider that has yet to write its record, which Start returned. previous is the record before it.
func NewDecider(now, wall time.Time, order kernel.RolloutOrder, record kernel.RolloutRecord, previous *kernel.RolloutRecord, settings Settings) *Decider {
	inherited := previous != nil && concerns(*previous, order)
	// The clocks of two routers may differ and may be set, so the time that has passed is only trusted within limits.
	passed := min(max(0, wall.Sub(time.UnixMilli(record.StartedUnixMS))), order.Duration)
	return &Decider{
		order: order, record: record, ledger: newLedger(settings, inherited), startedAt: now.Add(-passed),
		trial: newTrial(), movedFrom: make(Evidence),
	}
}

// Record returns the record that is in force, or the one to be written first.
func (d *Decider) Record() kernel.RolloutRecord { return d.record }

// Claimed reports whether the decider's first record is in the directory.
func (d *Decider) Claimed() bool { return d.recorded }

// Finding returns the result of the last judgement.
func (d *Decider) Finding() Finding { return d.trial.finding }

// Report takes the report of a gate and returns its lease. Without a record in force nothing is granted.
func (d *Decider) Report(now time.Time, report Report) Lease {
	lease := Lease{Verified: d.verified(now)}
	if report.Order != d.record.Order {
		return lease
	}
	a := d.ledger.record(now, report)
	if !d.recorded {
		return lease
	}
	lease.Generation, lease.Order, lease.Phase, lease.From = d.record.Generation, d.record.Order, d.record.Phase, d.record.From
	if a == nil {
		return lease
	}
	lease.Total, lease.Rotation = report.Used, d.trial.strikes
	if d.record.Phase == kernel.RolloutTrial && report.WantsLease && report.Stopped == "" && !d.order.Deleted &&
		report.Generation <= d.record.Generation && d.recordFresh(now) && !now.Before(d.trial.pausedUntil) {
		lease.Total = d.ledger.extend(now, a)
	}
	return lease
}

// verified reports whether no other decider can have moved the traffic: this one read the directory a moment ago, or most
// routers report to it, so that another one couldn't complete the rollout.
func (d *Decider) verified(now time.Time) bool {
	majority := len(d.around.Members) > 0 && 2*d.ledger.inTouch(now) > len(d.around.Members)
	return d.recorded && (majority || d.recordFresh(now))
}

func (d *Decider) recordFresh(now time.Time) bool {
	return d.recorded && now.Sub(d.around.RecordReadAt) < verificationTime
}

// Step returns the record that is to be written next, and false if there is none. The caller passes it to Recorded once it
// is in the directory; until then nothing has changed.
func (d *Decider) Step(now time.Time, around Surroundings) (kernel.RolloutRecord, bool) {
	d.around = around
	if !d.recorded {
		return d.record, true
	}
	if d.record.Phase.Final() || !d.recordFresh(now) {
		return kernel.RolloutRecord{}, false
	}
	phase, reason := d.next(now)
	if phase == d.record.Phase {
		return kernel.RolloutRecord{}, false
	}
	next := d.record
	next.Phase, next.Reason = phase, reason
	return next, true
}

// Recorded puts a record in force that has been written to the directory.
func (d *Decider) Recorded(now time.Time, record kernel.RolloutRecord) {
	if record.Phase == kernel.RolloutMoving && (d.record.Phase != record.Phase || !d.recorded) {
		d.movedFrom = d.ledger.pool()
	}
	d.record, d.recorded, d.phaseAt = record, true, now
	d.around.RecordReadAt = now
}

// next returns the phase that is due and why.
func (d *Decider) next(now time.Time) (kernel.RolloutPhase, string) {
	switch d.record.Phase {
	case kernel.RolloutTrial:
		return d.nextOfTrial(now)
	case kernel.RolloutMoving:
		if d.order.Deleted {
			return kernel.RolloutReturning, "the order was deleted"
		}
		if finding := d.judgeMoved(); finding.Reason != "" {
			return kernel.RolloutReturning, "bad after the move: " + finding.Reason
		}
		if d.clear(now) && (d.elapsed(now) >= share(d.order.Duration, completeShare) || d.inUse()) {
			return kernel.RolloutCompleted, "no request is at the old versions: " + d.evidenceText()
		}
		if d.elapsed(now) >= giveUpShare*d.order.Duration {
			return kernel.RolloutReturning, "routers didn't confirm the move: " + d.blockedText(now)
		}
	case kernel.RolloutReturning:
		if d.clear(now) {
			return kernel.RolloutRolledBack, d.record.Reason
		}
	}
	return d.record.Phase, ""
}

// inUse reports whether the version was in use before the order.
func (d *Decider) inUse() bool {
	return len(d.record.From) == 0 || contains(d.record.From, d.record.To)
}

// elapsed returns the time since the order was first seen.
func (d *Decider) elapsed(now time.Time) time.Duration { return now.Sub(d.startedAt) }

func (d *Decider) nextOfTrial(now time.Time) (kernel.RolloutPhase, string) {
	condemned := d.trial.judge(now, d.ledger.pool(), d.record.To)
	finding := d.trial.finding
	toKnown := contains(d.around.Versions, d.record.To)
	switch elapsed := d.elapsed(now); {
	case d.order.Deleted:
		return kernel.RolloutReturning, "the order was deleted"
	case condemned != "":
		return kernel.RolloutReturning, condemned
	case toKnown && d.inUse():
		return kernel.RolloutMoving, "the version was in use before the order"
	case elapsed < share(d.order.Duration, trialShare) || now.Before(d.trial.pausedUntil):
		return kernel.RolloutTrial, ""
	case toKnown && finding.Answers >= minAnswers && finding.Reason == "":
		return kernel.RolloutMoving, "good in the trial: " + d.evidenceText()
	case elapsed < share(d.order.Duration, choiceShare):
		return kernel.RolloutTrial, ""
	case !toKnown:
		return kernel.RolloutReturning, "the version has no engines"
	case finding.Bad < 1 && (finding.Answers > 0 || d.ledger.requests() == 0) && d.ledger.requests() < d.ledger.fewRequests():
		return kernel.RolloutMoving, "few requests, none of them bad: " + d.evidenceText()
	default:
		return kernel.RolloutReturning, "too little evidence in time: " + d.evidenceText()
	}
}

// requests returns the number of requests that the gates have reported.
func (l *ledger) requests() float64 {
	sum := l.pastRequests
	for _, a := range l.gates {
		sum += a.requests()
	}
	return float64(sum)
}

// fewRequests is the number of requests below which the bound doesn't allow enough evidence.
func (l *ledger) fewRequests() float64 { return l.settings.ExposureSlack }

// judgeMoved compares the new version after the move with the old versions during the trial.
func (d *Decider) judgeMoved() Finding {
	after := d.ledger.pool().since(d.movedFrom)
	for series, tally := range d.movedFrom {
		if series.Version != d.record.To {
			after[series] = tally
		}
	}
	d.trial.finding = judge(after, d.record.To, strictness{factor: movedFactor, slow: true})
	return d.trial.finding
}

// clear reports whether no router uses what the phase forbids, or can do so again.
func (d *Decider) clear(now time.Time) bool {
	if !d.around.MembersKnown || len(d.around.Members) == 0 {
		return false
	}
	confirmed := 0
	for _, member := range d.around.Members {
		if d.confirmed(member) {
			confirmed++
		} else if !d.stopped(now, member) {
			return false
		}
	}
	// Routers on the other side of a partition are dead to this decider. If they are most of the routers, this is the side
	// that has to stop.
	return 2*confirmed > len(d.around.Members)
}

// confirmed reports whether a router has confirmed the phase and has no request at an engine that it forbids.
func (d *Decider) confirmed(member Member) bool {
	a := d.ledger.gates[member.Name]
	return a != nil && a.report.Phase == d.record.Phase && a.report.Forbidden == 0
}

// stopped reports whether a router that hasn't confirmed the phase is dead and has stopped granting by itself. No source can
// have confirmed an earlier phase to it for longer than verificationTime after the record of this one.
func (d *Decider) stopped(now time.Time, member Member) bool {
	if member.DeadSince.IsZero() || now.Sub(d.phaseAt) < silenceTime {
		return false
	}
	a := d.ledger.gates[member.Name]
	return a == nil || now.Sub(a.reportedAt) >= silenceTime
}

// evidenceText states the numbers on which a decision is based.
func (d *Decider) evidenceText() string {
	finding := d.trial.finding
	return fmt.Sprintf("%.0f answers of the new version, %.0f bad, %.0f requests since the order", finding.Answers, finding.Bad,
		d.ledger.requests())
}

// blockedText names a router that hasn't confirmed the phase, and how many there are.
func (d *Decider) blockedText(now time.Time) string {
	first, count := "", 0
	for _, member := range d.around.Members {
		if d.confirmed(member) || d.stopped(now, member) {
			continue
		}
		if count++; first == "" {
			first = member.Name
		}
	}
	return fmt.Sprintf("%d, such as %q", count, first)
}

func share(duration time.Duration, part float64) time.Duration {
	return time.Duration(part * float64(duration))
}

func contains(list []string, value string) bool {
	for _, entry := range list {
		if entry == value {
			return true
		}
	}
	return false
}
