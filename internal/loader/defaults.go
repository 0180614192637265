package loader

import "time"

// Defaults returns the default values of all settings. Those that each settings file must state itself (names and
// addresses) are empty.
func Defaults() Settings {
	return Settings{
		Platform: Platform{
			Log:         Service{Protocol: "httplog"},
			VMList:      Service{Protocol: "httpvmlist"},
			WeightStore: WeightStore{LoadsPerMinute: 30},
		},
		Membership: Membership{
			ProbeInterval:  time.Second,
			ProbeTimeout:   300 * time.Millisecond,
			SuspectTimeout: 2 * time.Second,
		},
		Scheduling: Scheduling{
			CellEngines:             64,
			MaxQueue:                2000,
			LongTokens:              512,
			LongShare:               0.5,
			UrgentReserve:           0.25,
			UrgentTier:              0,
			TokenRoom:               0.9,
			DefaultPrefillPerSecond: 4000,
			DefaultTokensPerSecond:  40,
			DefaultOutputTokens:     128,
			PrefillSample:           64,
			OutputSample:            8,
			OutputMargin:            1,
			ConnectionIdle:          8 * time.Second,
			RetryAfterMin:           200 * time.Millisecond,
			RetryAfterMax:           60 * time.Second,
			StragglerRatio:          0.5,
			StragglerCap:            0.34,
			SuspectRetention:        10 * time.Minute,
			PoisonRetention:         time.Hour,
			PoisonPartCrashes:       3,
			PoisonEntries:           4096,
			ProbeAfter:              5 * time.Second,
			RetryBudget:             0.2,
			RetryPerSecond:          0.5,
			RetryBurst:              20,
			RetryMemory:             time.Minute,
			RetryEntries:            4096,
			LimitWait:               10 * time.Second,
			QueuePolicy:             "tier_fair",
			EnginePolicy:            "expected_first_token",
		},
		Gateway: Gateway{
			WatchWait: 700 * time.Millisecond, PollInterval: 700 * time.Millisecond, LapseGrace: 2800 * time.Millisecond, Heartbeat: 1200 * time.Millisecond,
			MemberInterval: 5 * time.Minute, RepeatRatio: 0.1, RepeatSlack: 20, IdlePerUpstream: 16,
			Rollouts: Rollouts{ExposureShare: 0.1, ExposureSlack: 50},
		},
		Claims: Claims{
			Retention: 24 * time.Hour,
		},
		Catalogue: Catalogue{
			Retention: 24 * time.Hour,
		},
		Drain: Drain{Delay: 3 * time.Second, Timeout: 15 * time.Minute},
		Limits: Limits{
			MaxWaiting: 20_000, MaxBodyBytes: 4 << 20, MaxHeaderBytes: 64 << 10, MaxHeaderLineBytes: 32 << 10, MaxHeaderFields: 4096,
		},
		Log: Log{Level: "info", Format: "json"},
	}
}
