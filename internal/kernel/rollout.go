package kernel

import (
	"context"
	"time"
)

// RolloutOrder is an operator's order to move the traffic of a service to the upstreams of one version.
type RolloutOrder struct {
	Service string
	// To is the new version.
	To string
	// Duration is the time from the order in which the rollout has to end.
	Duration time.Duration
	// Position identifies the order: an order that is read again in the same era of the directory has the same position.
	Position Position
	// Deleted is set if the record of the order was deleted. Only Service and Position are set then.
	Deleted bool
	// First reports whether it is the first record of the service's orders that the router knows in its era.
	First bool
}

// Repeats reports whether an order is the one at a position of an earlier era of the directory, to move the traffic to version to.
// It is in the copy from which the directory was restored, or the operator has written it again.
func (o RolloutOrder) Repeats(earlier Position, to string) bool {
	return o.First && o.To == to && earlier.Era() < o.Position.Era()
}

// RolloutPhase is a step of a rollout. Phases of the same order only grow.
type RolloutPhase int

// Phases of a rollout.
const (
	// RolloutTrial means that the old versions are in use, and the new one under leases.
	RolloutTrial RolloutPhase = iota
	// RolloutMoving means that only the new version gets requests.
	RolloutMoving
	// RolloutReturning means that only the old versions get requests.
	RolloutReturning
	// RolloutCompleted means that no request is at an upstream of an old version or can be sent there.
	RolloutCompleted
	// RolloutRolledBack means that no request is at an upstream of the new version or can be sent there.
	RolloutRolledBack
)

var rolloutPhaseNames = [...]string{"trial", "moving", "returning", "completed", "rolled back"}

func (p RolloutPhase) String() string { return rolloutPhaseNames[p] }

// Final reports whether the rollout has ended.
func (p RolloutPhase) Final() bool { return p >= RolloutCompleted }

// RolloutRecord is the state of a rollout in the directory. Operators see its outcome; deciders continue from it.
type RolloutRecord struct {
	Service string
	To      string
	Phase   RolloutPhase
	// From lists the versions that were in use when the order was first seen, sorted.
	From []string
	// Order is the position of the order.
	Order Position
	// Generation grows with each decider and each order. A decider that finds a higher one has lost the role.
	Generation int64
	Decider    string
	// StartedUnixMS is when the order was first seen, by the clock of the decider that saw it.
	StartedUnixMS int64
	// Reason says why the rollout entered its phase.
	Reason string
}

// RolloutProtocol is the part of DirectoryProtocol that carries rollouts.
type RolloutProtocol interface {
	// RolloutOrder decodes a record of TopicPublication, or returns nil if the record is of another kind. Errors:
	// *MalformedRecordError.
	RolloutOrder(record DirectoryRecord) (*RolloutOrder, error)
	// RolloutRecord decodes a record of TopicRouters, or returns nil if the record is of another kind or was deleted.
	// Errors: *MalformedRecordError.
	RolloutRecord(record DirectoryRecord) (*RolloutRecord, error)
	// WriteRollout appends a record to TopicRouters if the topic still ends at end, which Newest returned as Next. Errors:
	// *ConflictError if the topic ends elsewhere, *RateLimitedError, and *LogUnavailableError and *RestoredError, after which
	// the record may have been written.
	WriteRollout(ctx context.Context, record RolloutRecord, end Position) error
}
