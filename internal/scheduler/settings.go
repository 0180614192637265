package scheduler

import (
	"time"

	"coltsfootplank/internal/isolator"
	"coltsfootplank/internal/limiter"
)

// Settings configures one scheduler. Shares are between 0 and 1.
type Settings struct {
	// OrderPolicy names the queue order: "tier_fair" or "fifo".
	OrderPolicy string
	// EngineChoice names the engine choice: "expected_first_token", "random" or "least_loaded".
	EngineChoice string
	// Seed of the random source (jitter of Retry-After, random engine choice).
	Seed uint64
	// MaxQueue bounds the queued tickets of the cell; 0 means no bound.
	MaxQueue int
	// LongTokens is the expected output, in tokens, above which a ticket counts as long.
	LongTokens int
	// LongShare is the share of an engine's slots that is open to long tickets; at least one slot always is.
	LongShare float64
	// UrgentReserve is the share of an engine's slots that tiers below UrgentTier leave free. Engines can't pre-empt,
	// so an urgent ticket would otherwise wait for a run of a lower tier to end. Nothing is reserved while no urgent
	// ticket has come for urgentReserveTTL.
	UrgentReserve float64
	// UrgentTier is the lowest tier that may use the reserved slots.
	UrgentTier int
	// TokenRoom is the share of an engine's KV tokens that granted requests may fill.
	TokenRoom float64
	// DefaultPrefillPerSec and DefaultTokensPerSec are used for engines whose catalogue entry has no speeds.
	DefaultPrefillPerSec float64
	DefaultTokensPerSec  float64
	// DefaultOutputTokens is used for tickets and catalogue entries without an expected output length.
	DefaultOutputTokens int
	// LimitWait is how long a ticket may wait for a limit of its kind of work and workspace before it is refused.
	LimitWait time.Duration
	// Retries bounds the callers' retries in each workspace.
	Retries limiter.RetryBudgetSettings
	// PrefillSample is the smallest uncached prompt, in tokens, from which a prefill speed is learnt. Other times
	// dominate below it.
	PrefillSample int
	// OutputSample is the smallest output, in tokens, from which an output speed is learnt. Network latencies dominate
	// below it. If an event holds several tokens, the time to generate those of the first event isn't measured.
	OutputSample int
	// OutputMargin is a factor on the expected output, because estimates of outputs can be far off. The product must
	// fit before the deadline on the granted engine, or as much of it as the fastest engine generates by then.
	OutputMargin float64
	// TierFloor is the part of each tier's tickets that is served before those of higher tiers; 0 means strict tier
	// order.
	TierFloor float64
	// AllowanceWindow is the time in which a workspace may use its rate and its burst; 0 means that the burst is
	// refilled only at the rate.
	AllowanceWindow time.Duration
	// ConnectionCost is the time that the choice of an engine adds for a new connection from the holder to the engine;
	// 0 ignores connections.
	ConnectionCost time.Duration
	// ConnectionIdle is how long a holder keeps an idle connection open.
	ConnectionIdle time.Duration
	// Turnaround lets engines have as many requests beyond their slots in flight as cover the time that a slot stays empty
	// between two runs. The engines must queue such requests.
	Turnaround bool
	// StragglerRatio is the part of its own baseline speed below which an engine is excluded.
	StragglerRatio float64
	// StragglerCap bounds the share of the pool's engines that are excluded or returning to use when one more is
	// excluded as a straggler.
	StragglerCap float64
	// ProbeAfter is the time until an excluded engine is probed; it doubles with each failed probe, up to
	// ProbeAfterMax.
	ProbeAfter    time.Duration
	ProbeAfterMax time.Duration
	// Pace bounds the requests in flight on an engine that has started or recovered by how it answers. Without it, only
	// excluded engines return step by step.
	Pace bool
	// MaxReportAge is the age above which a load report is no longer used to estimate the requests of other schedulers.
	MaxReportAge time.Duration
	// CacheEventLag is the longest delay between a change in an engine's cache and its event.
	CacheEventLag time.Duration
	// PrefixEntries bounds the prefixes that are recorded for each engine.
	PrefixEntries int
	// CrashWindow is the longest time between a lost connection and the evidence of a crash for them to count as one
	// crash.
	CrashWindow time.Duration
	// RegistrationWindow is the same for evidence from the directory. It learns of a crash only when the engine starts
	// again or hasn't renewed its registration for some time, and tells nothing during an outage.
	RegistrationWindow time.Duration
	// Isolation configures when requests that crash engines become poison, and how long they stay suspect or poison.
	Isolation isolator.Settings
	// NoUpstreamAfter is how long tickets wait in a pool without usable engines. It is well above ProbeAfter, so that a
	// short outage of all engines refuses nothing that could still be served.
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

// DefaultSettings returns the default settings.
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
		PrefillSample:      64,
		OutputSample:       8,
		OutputMargin:       1,
		ConnectionIdle:     8 * time.Second,
		StragglerRatio:     0.5,
		StragglerCap:       0.34,
		ProbeAfter:         5 * time.Second,
		ProbeAfterMax:      time.Minute,
		MaxReportAge:       2 * time.Second,
		CacheEventLag:      2 * time.Second,
		PrefixEntries:      2048,
		CrashWindow:        5 * time.Second,
		RegistrationWindow: time.Minute,
		NoUpstreamAfter:    15 * time.Second,
		Isolation: isolator.Settings{
			SuspectRetention: 10 * time.Minute, PoisonRetention: time.Hour, MaxEntries: 4096, PartCrashLimit: 3,
		},
		RetryAfterMin: 200 * time.Millisecond,
		RetryAfterMax: 60 * time.Second,
	}
}
