package extrapolator

// Design scale, from section 1.4 of docs/design.md. Bounds are taken from there, never from a measurement.
const (
	scaleNodes              = 410
	scaleEngines            = 900
	scaleRequestsPerSecond  = 6300.0
	scaleTokensPerSecond    = 1.7e6
	scaleWorkspaces         = 1400
	scaleModels             = 11
	scaleDataCentres        = 6
	scaleChangesPerDay      = 550
	scaleReplacementsPerDay = 140
	// scaleChangeDelay is the time within which a catalogue change must be in force, in seconds.
	scaleChangeDelay = 14.0
)

// Budgets per node: share of a core, bytes of memory, bytes per second. budgetAppends is in appends per second of the
// whole system.
const (
	budgetCPU     = 0.028
	budgetMemory  = 128e6
	budgetTraffic = 9e3
	budgetAppends = 200.0
	// budgetFirstToken is the time to the first token in seconds.
	budgetFirstToken = 0.36
)

const secondsPerDay = 86400.0
