package loader_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/isolator"
	"coltsfootplank/internal/limiter"
	"coltsfootplank/internal/loader"
	"coltsfootplank/internal/scheduler"
)

// TestPolicies guards against defaults that name no plug-in, or that differ from those that the scheduler was
// measured with.
func TestPolicies(t *testing.T) {
	settings, want := loader.Defaults().Scheduling, scheduler.DefaultSettings()
	_, err := scheduler.Orders.Lookup(settings.QueuePolicy)
	assert.NilError(t, err)
	_, err = scheduler.EngineChoices.Lookup(settings.EnginePolicy)
	assert.NilError(t, err)
	assert.DeepEqual(t, scheduler.Settings{
		OrderPolicy: settings.QueuePolicy, EngineChoice: settings.EnginePolicy, Seed: want.Seed,
		MaxQueue: settings.MaxQueue, LongTokens: settings.LongTokens, LongShare: settings.LongShare,
		UrgentReserve: settings.UrgentReserve, UrgentTier: settings.UrgentTier, TokenRoom: settings.TokenRoom,
		DefaultPrefillPerSec: settings.DefaultPrefillPerSecond, DefaultTokensPerSec: settings.DefaultTokensPerSecond,
		DefaultOutputTokens: settings.DefaultOutputTokens, LimitWait: settings.LimitWait,
		Retries: limiter.RetrySettings{
			Ratio: settings.RetryBudget, PerSecond: settings.RetryPerSecond, Burst: settings.RetryBurst,
			Memory: settings.RetryMemory, Entries: settings.RetryEntries,
		},
		StragglerRatio: settings.StragglerRatio, StragglerCap: settings.StragglerCap,
		Isolation: isolator.Settings{
			SuspectFor: settings.SuspectRetention, PoisonFor: settings.PoisonRetention, Entries: settings.PoisonEntries,
		},
		// These are no settings of the router. They are listed, so that the test fails for every new setting of
		// the scheduler until it is decided whether operators can set it.
		ProbeAfter: want.ProbeAfter, ProbeAfterMax: want.ProbeAfterMax, MaxReportAge: want.MaxReportAge,
		CacheEventLag: want.CacheEventLag, PrefixEntries: want.PrefixEntries, CrashWindow: want.CrashWindow,
		NoUpstreamAfter: want.NoUpstreamAfter,

		RetryAfterMin: settings.RetryAfterMin, RetryAfterMax: settings.RetryAfterMax,
	}, want)
}
