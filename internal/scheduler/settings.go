package scheduler

import (
	"time"

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
	Retries limiter.RetrySettings
	// RetryAfterMin and RetryAfterMax bound the Retry-After of refusals.
	RetryAfterMin time.Duration
	RetryAfterMax time.Duration
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
		UrgentReserve:        0.125,
		UrgentTier:           1,
		TokenRoom:            0.9,
		DefaultPrefillPerSec: 4000,
		DefaultTokensPerSec:  40,
		DefaultOutputTokens:  128,
		LimitWait:            10 * time.Second,
		Retries: limiter.RetrySettings{
			Ratio: 0.2, PerSecond: 0.5, Burst: 20, Memory: time.Minute, Entries: 4096,
		},
		RetryAfterMin: 200 * time.Millisecond,
		RetryAfterMax: 60 * time.Second,
	}
}
