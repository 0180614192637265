package extrapolator

// Design scale, from section 1.4 of docs/design.md. Bounds come from there, never from a measurement.
const (
	scaleNodes       = 410
	scaleEngines     = 900
	scaleRequests    = 6300.0
	scaleTokens      = 1.7e6
	scaleWorkspaces  = 1400
	scaleModels      = 11
	scaleDataCentres = 6
	scaleChanges     = 550
	scaleReplaced    = 140
	// scaleInForce is in seconds.
	scaleInForce = 14.0
)

// Budgets per node: share of a core, bytes, bytes a second; appends a second of the whole system.
const (
	budgetCPU     = 0.028
	budgetMemory  = 128e6
	budgetTraffic = 9e3
	budgetAppends = 200.0
	// budgetFirstToken is in seconds.
	budgetFirstToken = 0.36
)

const secondsPerDay = 86400.0
