package claimer

import "time"

// Identity identifies one run of a router.
type Identity struct {
	Router      string
	Incarnation uint64
}

// Defaults of Options.
const (
	defaultRetention = 24 * time.Hour
	// defaultClockSkew is the maximum difference between the clocks of two routers, or of a caller and a router.
	defaultClockSkew = time.Minute
	// defaultBatchWindow is meant for a single router; SetBatchWindow adapts the window to the number of members.
	defaultBatchWindow = 5 * time.Millisecond
)

// Options configures a Claimer. Zero values mean the defaults.
type Options struct {
	// Retention is how long the log keeps records.
	Retention time.Duration
	// ClockSkew is the maximum difference between two clocks.
	ClockSkew time.Duration
	// BatchWindow is the minimum time between two appends.
	BatchWindow time.Duration
	// RegisterRemote and RankRouters find and call the home routers of a scope. If either is nil, there are no claims
	// in memory.
	RegisterRemote RegisterFunc
	RankRouters    RankFunc
	// Now returns the wall clock time; the default is time.Now.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	if o.Retention <= 0 {
		o.Retention = defaultRetention
	}
	if o.ClockSkew <= 0 {
		o.ClockSkew = min(defaultClockSkew, o.Retention/20)
	}
	if o.BatchWindow <= 0 {
		o.BatchWindow = defaultBatchWindow
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}
