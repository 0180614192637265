package runner

import (
	"time"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

// EngineInfo describes one upstream to a scheduler.
type EngineInfo struct {
	Name          string
	DataCentre    string
	Generation    string
	Slots         int
	PrefillPerSec float64
	TokensPerSec  float64
	KVTokens      int
	// Incarnation distinguishes the starts of an engine that keeps its name; 0 if it isn't known.
	Incarnation int64
	// ColdRemaining is for how long after its start the engine stays slow.
	ColdRemaining time.Duration
	Version       string
}

// Decision is one grant or refusal for a holder.
type Decision struct {
	Holder  string
	Grant   *protocol.Grant
	Refusal *protocol.Refusal
}

// Scheduler is the state machine of one pool cell. It isn't safe for concurrent use: one goroutine per scheduler
// makes all calls.
type Scheduler interface {
	SetEngines(now time.Time, engines []EngineInfo)
	SetWorkspaceWeights(weights map[string]float64)
	SetWorks(works map[string]cataloguer.Work)
	SetCapacityShare(share float64)
	Submit(now time.Time, holder string, ticket *protocol.Ticket)
	Cancel(now time.Time, holder, requestID string)
	Release(now time.Time, holder string, release *protocol.Release)
	DropHolder(now time.Time, holder string)
	ObserveLoad(now time.Time, engine string, report kernel.LoadReport, err error)
	ObserveCache(now time.Time, engine string, events kernel.CacheEvents)
	SetLeaving(now time.Time, engine string, leaving bool)
	AddConvictions(now time.Time, convictions []*protocol.Conviction)
	Convictions(now time.Time) []*protocol.Conviction
	Step(now time.Time) []Decision
	NextWake(now time.Time) time.Time
	Backlog() [4]int
	Dump() any
}

// Factory returns the scheduler of one pool cell. The pool contains the engines and the queue limit of that cell only.
type Factory func(pool cataloguer.Pool, now time.Time) Scheduler

// adopter is implemented by schedulers that can take over the grants of another scheduler.
type adopter interface {
	// Adopt returns false if the scheduler doesn't have the engine.
	Adopt(now time.Time, holder string, ticket *protocol.Ticket, engine string, running time.Duration) bool
}

// takeoverScheduler is implemented by schedulers that restrict their grants while those of other schedulers may be unknown.
type takeoverScheduler interface {
	SetTakeover(until time.Time)
}

// allowanceLimiter is implemented by schedulers that limit the usage of each workspace.
type allowanceLimiter interface {
	SetAllowances(allowances map[string]cataloguer.Allowance)
	SetAllowanceShare(share float64, burst bool)
}

// VersionLimit bounds the grants to the engines of one version.
type VersionLimit struct {
	// Unlimited allows all grants; the other fields are then ignored.
	Unlimited bool
	// Total is the number of grants that may have been made to the version since the scheduler started. It is valid until
	// Until.
	Total uint64
	Until time.Time
	// Part and Parts select the engines that get these grants: one part of them, counted in the order of their names.
	Part, Parts int
}

// versionLimiter is implemented by schedulers that limit the grants by version.
type versionLimiter interface {
	// SetVersionLimits sets the limits by version. Versions without a limit get no grants, unless limits is nil.
	SetVersionLimits(now time.Time, limits map[string]VersionLimit)
	// VersionGrants returns the number of grants to a version since the scheduler started.
	VersionGrants(version string) uint64
}

// queueLimiter is implemented by schedulers whose queue limit can change while they run.
type queueLimiter interface {
	SetMaxQueue(limit int)
}
