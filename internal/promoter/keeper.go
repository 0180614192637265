package promoter

import "coltsfootplank/internal/kernel"

// Standing is what a decider's last read of the record means for it.
type Standing int

// Standings.
const (
	// StandingOpen means that the decider has yet to claim the rollout and may do so.
	StandingOpen Standing = iota
	// StandingOwn means that the record is the decider's.
	StandingOwn
	// StandingLost means that another decider has claimed the rollout, or that the record is gone.
	StandingLost
)

// Keeper tells a decider whether it still has the role. A decider reads the record before each write and appends on the
// condition that nothing was appended since, so a record with its generation and name is its own, and any other one means
// that the role is lost. That holds for writes without an answer too, whether they are stored, lost or late.
type Keeper struct {
	self       string
	generation int64
	// base identifies the record from which the decider starts.
	base base
	// claimed is set once a record of the generation is known to be in the directory, doubtful once a write had no answer.
	claimed, doubtful bool
}

// base identifies a record of the directory.
type base struct {
	known      bool
	order      kernel.Position
	generation int64
	phase      kernel.RolloutPhase
	decider    string
}

func baseOf(record *kernel.RolloutRecord) base {
	if record == nil {
		return base{}
	}
	return base{known: true, order: record.Order, generation: record.Generation, phase: record.Phase, decider: record.Decider}
}

// NewKeeper returns a keeper for a record that Start returned for the previous one.
func NewKeeper(record kernel.RolloutRecord, previous *kernel.RolloutRecord) Keeper {
	return Keeper{self: record.Decider, generation: record.Generation, base: baseOf(previous)}
}

// Observe takes the record that was read, nil if there is none.
func (k *Keeper) Observe(found *kernel.RolloutRecord) Standing {
	own := found != nil && found.Generation == k.generation && found.Decider == k.self
	switch {
	case own && (k.claimed || k.doubtful):
		k.claimed, k.doubtful = true, false
		return StandingOwn
	case k.claimed, baseOf(found) != k.base:
		// Before the claim, another decider may have ended the rollout under its own generation.
		return StandingLost
	default:
		return StandingOpen
	}
}

// Written states that a write was acknowledged.
func (k *Keeper) Written() { k.claimed = true }

// Doubt states that a write had no answer, so that it may be stored, now or later.
func (k *Keeper) Doubt() { k.doubtful = true }
