package claimer

import "time"

// Identity names one run of a router.
type Identity struct {
	Router      string
	Incarnation uint64
}

// Defaults of the options.
const (
	defaultRetention = 24 * time.Hour
	// defaultClockSkew is how far the clocks of two routers, or of a caller and a router, may differ.
	defaultClockSkew = time.Minute
	// defaultWindow suits a single router; SetWindow adapts it to the number of members.
	defaultWindow = 5 * time.Millisecond
)

// Options of a Claimer. Zero values mean the defaults.
type Options struct {
	// Retention is the time for which the log keeps records.
	Retention time.Duration
	// ClockSkew bounds the difference between two clocks.
	ClockSkew time.Duration
	// BatchWindow is the shortest time between two appends.
	BatchWindow time.Duration
	// RegisterRemote and Ranks reach the home routers of a scope for claims in memory; without them there are none.
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
		o.BatchWindow = defaultWindow
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}
