package promoter

import (
	"maps"
	"slices"
	"time"

	"coltsfootplank/internal/kernel"
)

// Settings are the bounds on the use of a version that may be bad.
type Settings struct {
	// ExposureShare and ExposureSlack bound the requests that a bad version may get: a share of the service's requests since
	// the order, plus a number.
	ExposureShare float64
	ExposureSlack float64
}

// DefaultSettings returns the bounds of the contract.
func DefaultSettings() Settings {
	return Settings{ExposureShare: 0.1, ExposureSlack: 50}
}

const (
	// LeaseTime is how long a gate may use a lease, from when it sent the call.
	LeaseTime = time.Second
	// leaseHold is how long the decider counts a lease, from its answer. It is longer than LeaseTime by more than two
	// clocks can drift apart, and the gate's time starts earlier.
	leaseHold = 1250 * time.Millisecond
	// standaloneTime is how long a gate grants unleased versions without a confirmation that the phase hasn't changed.
	standaloneTime = 2 * time.Second
	// verificationTime is how long a read of the directory, or the reports of most routers, prove that a decider hasn't
	// been replaced.
	verificationTime = 1500 * time.Millisecond
	// silenceTime is how long after the record of a phase a dead router has stopped to use what the phase forbids: its last
	// confirmation is verificationTime after the record at the latest. It is the contract's contact_ms.
	silenceTime = 4 * time.Second
	// boundMargin is the part of the exposure bound that is used. The rest covers requests that are counted late.
	boundMargin = 0.8
	// leaseStep is the largest number of requests by which one answer extends a lease. At one call per 100 ms that is 40 per
	// second, so that a version that is bad at once gets fewer than 50 before its answers are known.
	leaseStep = 4
	// minAnswers is the number of answers of the new version that suffices without a finding. A version with a bad part of
	// 0.3 has at least one finding in them with a probability above 0.9.
	minAnswers = 20
	// coldTime is how long after the first grant answers don't count as slow. Engines are cold for 2 s.
	coldTime = 2500 * time.Millisecond
	// pauseTime is how long leases are withheld after the first finding. A crashed engine has been excluded by then.
	pauseTime = 700 * time.Millisecond
	// maxBad is the number of bad answers that condemns the version at once. The contract's time runs from the 50th.
	maxBad = 35
	// snapshotInterval and snapshotCount give the window in which a version can turn bad late.
	snapshotInterval = 500 * time.Millisecond
	snapshotCount    = 4
	// Shares of the order's duration: when the trial may end, when it ends with an explicit choice, before which the rollout
	// isn't completed, and when a rollout that can't be completed is given up. Half of the time is left for requests at the old
	// engines to end. A version that turns bad under the whole load shows before the old engines are stopped.
	trialShare    = 0.5
	choiceShare   = 0.6
	completeShare = 0.75
	giveUpShare   = 2
)

// Start returns the record with which a decider takes over the rollout of an order, and whether there is anything to decide.
// previous is the record in the directory or nil, versions are the registered versions of the service, and wall is the time
// of day.
func Start(self string, order kernel.RolloutOrder, previous *kernel.RolloutRecord, versions []string, wall time.Time) (kernel.RolloutRecord, bool) {
	next := kernel.RolloutRecord{
		Service: order.Service, To: order.To, Order: order.Position, Decider: self, Generation: 1, StartedUnixMS: wall.UnixMilli(),
		From: oldVersions(order.To, previous, versions), Reason: "order seen",
	}
	if previous != nil {
		next.Generation = previous.Generation + 1
	}
	open := previous != nil && !previous.Phase.Final()
	same := previous != nil && concerns(*previous, order)
	switch {
	case order.Deleted && (!open || !same):
		return kernel.RolloutRecord{}, false
	case order.Deleted:
		next = *previous
		next.Generation, next.Decider = previous.Generation+1, self
		if previous.Phase != kernel.RolloutReturning {
			next.Phase, next.Reason = kernel.RolloutReturning, "the order was deleted"
		}
	case previous != nil && previous.Order > order.Position, same && !open:
		return kernel.RolloutRecord{}, false
	case open && same:
		next = *previous
		next.Order, next.Generation, next.Decider = order.Position, previous.Generation+1, self
	}
	return next, true
}

// concerns reports whether a record is of an order, which may have another position since the directory was restored.
func concerns(record kernel.RolloutRecord, order kernel.RolloutOrder) bool {
	return record.Order == order.Position || order.Repeats(record.Order, record.To)
}

// newer reports whether a record was written after another one. The phases of a generation only grow.
func newer(record, other kernel.RolloutRecord) bool {
	return record.Generation > other.Generation || record.Generation == other.Generation && record.Phase > other.Phase
}

// generationOf returns the generation of a record, which may be nil.
func generationOf(record *kernel.RolloutRecord) int64 {
	if record == nil {
		return 0
	}
	return record.Generation
}

// oldVersions returns the versions that were in use before an order. A rollout that hasn't ended when the next order comes
// leaves its old versions in use, and its new version unproven.
func oldVersions(to string, previous *kernel.RolloutRecord, versions []string) []string {
	if previous != nil && !previous.Phase.Final() {
		return previous.From
	}
	set := make(map[string]bool, len(versions))
	for _, version := range versions {
		set[version] = true
	}
	delete(set, to)
	if previous != nil && len(set) > 1 {
		switch previous.Phase {
		case kernel.RolloutRolledBack:
			delete(set, previous.To)
		case kernel.RolloutCompleted:
			for _, version := range previous.From {
				if set[previous.To] && version != previous.To {
					delete(set, version)
				}
			}
		}
	}
	return slices.Sorted(maps.Keys(set))
}
