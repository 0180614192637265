package promoter

import (
	"time"

	"coltsfootplank/internal/kernel"
)

// Report is what a gate tells the decider. Numbers are sums since the gate saw the order.
type Report struct {
	Gate string
	// Incarnation grows with each start of the gate's router.
	Incarnation uint64
	// Sequence orders the reports of one process.
	Sequence uint64
	// Order is the order that the gate knows, Phase the phase that it enforces.
	Order kernel.Position
	Phase kernel.RolloutPhase
	// Generation is the highest generation that the gate knows.
	Generation int64
	// Requests counts the requests for the service, Used those granted to the new version under leases.
	Requests uint64
	Used     uint64
	// Held is the total of the gate's lease, 0 if it has expired. Used can still grow up to it.
	Held uint64
	// WantsLease reports whether the gate's router schedules requests of the service.
	WantsLease bool
	// Forbidden counts the requests at engines that the phase forbids.
	Forbidden uint32
	// Stopped is why the gate doesn't use the new version, on its own evidence; empty if it does.
	Stopped  string
	Evidence Evidence
}

// Lease is what the decider tells a gate.
type Lease struct {
	Generation int64
	Order      kernel.Position
	Phase      kernel.RolloutPhase
	From       []string
	// Total is the number of requests that the gate may have granted to the new version since the order.
	Total uint64
	// Rotation selects the engines of the new version that get these requests.
	Rotation int
	// Verified reports whether no other decider can have moved the traffic.
	Verified bool
}

// account is what the decider knows of one gate.
type account struct {
	report Report
	// firstRequests and firstUsed are from the gate's first report to this decider, if an earlier decider may have granted
	// leases.
	firstRequests, firstUsed uint64
	// counted is the highest total that the gate may have used or may still use, until the lease expires.
	counted    uint64
	until      time.Time
	reportedAt time.Time
}

// ledger keeps the leases of one decider and the evidence that the gates report.
type ledger struct {
	settings Settings
	// inherited is set if an earlier decider granted leases for the same order. Its leases count as the whole bound.
	inherited bool
	gates     map[string]*account
	// pastRequests, pastCounted and pastEvidence are from gates whose router has restarted.
	pastRequests, pastCounted uint64
	pastEvidence              Evidence
}

func newLedger(settings Settings, inherited bool) *ledger {
	return &ledger{settings: settings, inherited: inherited, gates: make(map[string]*account), pastEvidence: make(Evidence)}
}

// record takes a report. Reports that arrive after a later one are ignored.
func (l *ledger) record(now time.Time, report Report) *account {
	a := l.gates[report.Gate]
	if a != nil && report.Incarnation < a.report.Incarnation {
		return nil
	}
	if a == nil || report.Incarnation > a.report.Incarnation {
		if a != nil {
			l.pastRequests += a.requests()
			l.pastCounted += a.exposure()
			l.pastEvidence.add(a.report.Evidence)
		}
		a = &account{}
		if l.inherited {
			a.firstRequests, a.firstUsed = report.Requests, report.Used
		}
		a.counted = report.Used
		l.gates[report.Gate] = a
	}
	if report.Sequence <= a.report.Sequence {
		return nil
	}
	a.report, a.reportedAt = report, now
	a.counted = max(a.counted, report.Used)
	if report.Held == 0 && !now.Before(a.until) {
		// The gate's lease has expired, so the rest of it can't be used any more.
		a.counted = report.Used
	}
	return a
}

func (a *account) requests() uint64 { return a.report.Requests - a.firstRequests }

// exposure returns how many requests the gate may have granted to the new version under this decider's leases.
func (a *account) exposure() uint64 { return a.counted - a.firstUsed }

// spare returns how many more requests may be granted to the new version in total.
func (l *ledger) spare() float64 {
	bound := l.settings.ExposureSlack * boundMargin
	if l.inherited {
		bound = 0
	}
	requests, exposed := l.pastRequests, l.pastCounted
	for _, a := range l.gates {
		requests += a.requests()
		exposed += a.exposure()
	}
	return bound + l.settings.ExposureShare*boundMargin*float64(requests) - float64(exposed)
}

// extend extends the lease of a gate, if it may, and returns its total.
func (l *ledger) extend(now time.Time, a *account) uint64 {
	wanting := 0
	for _, other := range l.gates {
		if other.report.WantsLease && now.Sub(other.reportedAt) < leaseHold {
			wanting++
		}
	}
	more := uint64(0)
	if spare := l.spare(); spare >= 1 {
		// Each gate gets its part, at least one request as long as the bound allows it.
		more = uint64(min(leaseStep, max(1, spare/float64(max(1, wanting)))))
	}
	total := a.counted
	if a.counted-a.report.Used < leaseStep {
		total += more
	}
	a.counted, a.until = total, now.Add(leaseHold)
	return total
}

// pool sums up the evidence of all gates.
func (l *ledger) pool() Evidence {
	sum := make(Evidence)
	sum.add(l.pastEvidence)
	for _, a := range l.gates {
		sum.add(a.report.Evidence)
	}
	return sum
}

// inTouch returns the number of gates that have reported lately.
func (l *ledger) inTouch(now time.Time) int {
	count := 0
	for _, a := range l.gates {
		if now.Sub(a.reportedAt) < verificationTime {
			count++
		}
	}
	return count
}
