package scheduler

import (
	"time"

	"coltsfootplank/internal/isolator"
	"coltsfootplank/internal/limiter"
)

// Settings of one scheduler. Durations are in nanoseconds as usual in Go, shares are between 0 and 1.
type Settings struct {
	// OrderPolicy names the queue order: "tier_fair" or "fifo".
	OrderPolicy string
	// EngineChoice names the engine choice: "expected_first_token", "random" or "least_loaded".
	EngineChoice string
	// Seed of the random source (jitter of Retry-After, random engine choice).
	Seed uint64
	// MaxQueue bounds the queued tickets of the cell; 0 means no bound.
	MaxQueue int
	// LongTokens is the estimated output, in tokens, above which a ticket counts as a draft.
	LongTokens int
	// LongShare of an engine's slots is open to drafts; at least one slot always is.
	LongShare float64
	// UrgentReserve is the share of an engine's slots that tiers below UrgentTier leave free. Engines can't
	// pre-empt, so an urgent ticket would otherwise wait for the end of a lower tier's run.
	// There is no reserve while no urgent ticket has come for urgentMemory.
	UrgentReserve float64
	// UrgentTier is the lowest tier that may use the reserved slots.
	UrgentTier int
	// TokenRoom is the share of an engine's KV tokens that granted requests may fill.
	TokenRoom float64
	// DefaultPrefillPerSec and DefaultTokensPerSec stand in for engines whose catalogue entry has no speed.
	DefaultPrefillPerSec float64
	DefaultTokensPerSec  float64
	// DefaultOutputTokens stands in for tickets and entries without an output estimate.
	DefaultOutputTokens int
	// LimitWait is how long a ticket may wait for a limit of its entry and workspace before it is refused.
	LimitWait time.Duration
	// Retries bounds the callers' retries of each workspace.
	Retries limiter.RetryBudgetSettings
	// PrefillSample is the smallest uncached prompt, in tokens, from which a prefill speed is learnt; below it other times
	// dominate.
	PrefillSample int
	// OutputSample is the smallest output, in tokens, from which an output speed is learnt; below it latencies of the network
	// dominate. Where an event holds several tokens, those of the first one come without the time that they took.
	OutputSample int
	// OutputMargin times the expected output must fit before the deadline on the engine of a grant, or as much of it as
	// the fastest engine generates by then. Estimates of outputs are off by a factor.
	OutputMargin float64
	// TierFloor is the part of each tier's tickets that is served before those of higher tiers; 0 means a strict order.
	TierFloor float64
	// AllowanceWindow is the time in which a workspace may use its rate and its burst; 0 means that the burst comes back at
	// the rate only.
	AllowanceWindow time.Duration
	// ConnectionCost is what a new connection of a holder to an engine counts in the choice of an engine; 0 means nothing.
	ConnectionCost time.Duration
	// ConnectionIdle is how long a holder keeps an idle connection.
	ConnectionIdle time.Duration
	// StragglerRatio of an engine's own baseline speed is the speed below which it is excluded.
	StragglerRatio float64
	// StragglerCap bounds the share of the pool's engines that are excluded or returning.
	StragglerCap float64
	// ProbeAfter is the time until an excluded engine is probed; it doubles with each failed probe up to
	// ProbeAfterMax.
	ProbeAfter    time.Duration
	ProbeAfterMax time.Duration
	// MaxReportAge is the age from which a load report says nothing about the present.
	MaxReportAge time.Duration
	// CacheEventLag is how much later than the change a cache event may come.
	CacheEventLag time.Duration
	// PrefixEntries bounds the prefixes remembered for each engine.
	PrefixEntries int
	// CrashWindow is the time between a lost connection and the evidence of a crash within which they belong
	// together.
	CrashWindow time.Duration
	// Isolation bounds suspicions and convictions.
	Isolation isolator.Settings
	// NoUpstreamAfter is how long tickets wait for a pool without usable engines. It is well above ProbeAfter, so that
	// a short outage of all engines refuses nothing that could still be served.
	NoUpstreamAfter time.Duration
	// RetryAfterMin and RetryAfterMax bound the Retry-After of refusals.
	RetryAfterMin time.Duration
	RetryAfterMax time.Duration
}

// Check returns a *kernel.UnknownPluginError if a policy isn't registered.
func (s Settings) Check() error {
	if _, err := OrderPolicies.Lookup(s.OrderPolicy); err != nil {
		return err
	}
	_, err := EngineChoices.Lookup(s.EngineChoice)
	return err
}

// DefaultSettings returns the settings of the product.
func DefaultSettings() Settings {
	return Settings{
		OrderPolicy:          OrderTierFair,
		EngineChoice:         ChoiceExpectedFirstToken,
		Seed:                 1,
		MaxQueue:             2000,
		LongTokens:           512,
		LongShare:            0.5,
		UrgentReserve:        0.25,
		UrgentTier:           0,
		TokenRoom:            0.9,
		DefaultPrefillPerSec: 4000,
		DefaultTokensPerSec:  40,
		DefaultOutputTokens:  128,
		LimitWait:            10 * time.Second,
		Retries: limiter.RetryBudgetSettings{
			Ratio: 0.2, PerSecond: 0.5, Burst: 20, FailureRetention: time.Minute, MaxEntries: 4096,
		},
		PrefillSample:   64,
		OutputSample:    8,
		OutputMargin:    1,
		ConnectionIdle:  8 * time.Second,
		StragglerRatio:  0.5,
		StragglerCap:    0.34,
		ProbeAfter:      5 * time.Second,
		ProbeAfterMax:   time.Minute,
		MaxReportAge:    2 * time.Second,
		CacheEventLag:   2 * time.Second,
		PrefixEntries:   2048,
		CrashWindow:     5 * time.Second,
		NoUpstreamAfter: 15 * time.Second,
		Isolation: isolator.Settings{
			SuspectRetention: 10 * time.Minute, PoisonRetention: time.Hour, MaxEntries: 4096,
		},
		RetryAfterMin: 200 * time.Millisecond,
		RetryAfterMax: 60 * time.Second,
	}
}
