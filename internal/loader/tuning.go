package loader

import "time"

// Membership tunes failure detection among routers.
type Membership struct {
	// ProbeInterval is the time between two probes; each goes to one random member.
	ProbeInterval time.Duration `yaml:"probe_interval" unit:"duration" min:"50ms" max:"1m" help:"time between two probes of random members"`
	// ProbeTimeout bounds the direct probe; afterwards two other members probe indirectly.
	ProbeTimeout time.Duration `yaml:"probe_timeout" unit:"duration" min:"10ms" max:"30s" help:"wait for a probe before others are asked; below probe_interval"`
	// SuspectTimeout is how long a member that doesn't answer is suspect before it counts as dead.
	SuspectTimeout time.Duration `yaml:"suspect_timeout" unit:"duration" min:"100ms" max:"5m" help:"time from suspect to dead"`
}

// Scheduling tunes the schedulers of the pools.
type Scheduling struct {
	// CellEngines is the number of engines above which a pool is split into cells.
	CellEngines int `yaml:"cell_engines" unit:"engines" min:"1" max:"10000" help:"most engines that one scheduler serves"`
	// MaxQueue bounds the queued tickets of a pool that sets no bound itself.
	MaxQueue int `yaml:"max_queue" unit:"tickets" min:"1" max:"1000000" help:"queued tickets of a pool before load is shed, unless the pool sets its own"`
	// LongTokens is the expected output above which work counts as long.
	LongTokens int `yaml:"long_tokens" unit:"tokens" min:"1" max:"1000000" help:"expected output above which work counts as long"`
	// LongShare is the share of an engine's slots that long work may take, so that short work always finds a free one.
	LongShare float64 `yaml:"long_share" unit:"share of 1" min:"0.05" max:"1" help:"share of an engine's slots that long work may take"`
	// UrgentReserve is the share of an engine's slots that less urgent tiers leave free.
	UrgentReserve float64 `yaml:"urgent_reserve" unit:"share of 1" min:"0" max:"0.9" help:"share of an engine's slots that tiers below urgent_tier leave free"`
	// UrgentTier is the highest tier number (the least urgent tier) that may use the reserved slots.
	UrgentTier int `yaml:"urgent_tier" unit:"tier" min:"0" max:"3" help:"last tier that may use the reserved slots"`
	// TokenRoom bounds the tokens in flight on an engine, so that running work doesn't evict its prefix cache.
	TokenRoom float64 `yaml:"token_room" unit:"share of 1" min:"0.05" max:"1" help:"share of an engine's kv_tokens that requests in flight may fill"`
	// DefaultPrefillPerSecond is the prefill speed assumed for engines for which the catalogue states none.
	DefaultPrefillPerSecond float64 `yaml:"default_prefill_per_second" unit:"tokens per second" min:"1" max:"10000000" help:"prefill speed of an engine that the catalogue states none for"`
	// DefaultTokensPerSecond is the output speed of one stream assumed for engines for which the catalogue states none.
	DefaultTokensPerSecond float64 `yaml:"default_tokens_per_second" unit:"tokens per second" min:"0.1" max:"100000" help:"output speed of one stream on an engine that the catalogue states none for"`
	// PrefillSample is the smallest uncached prompt from which an engine's prefill speed is learnt.
	PrefillSample int `yaml:"prefill_sample" unit:"tokens" min:"1" max:"1000000" help:"smallest uncached prompt from which an engine's prefill speed is learnt"`
	// OutputSample is the smallest output from which an engine's output speed is learnt.
	OutputSample int `yaml:"output_sample" unit:"tokens" min:"1" max:"1000000" help:"smallest output from which an engine's output speed is learnt"`
	// OutputMargin is a factor on the expected output that allows for errors of output estimates.
	OutputMargin float64 `yaml:"output_margin" unit:"factor" min:"1" max:"10" help:"multiple of the expected output that the engine of a grant must generate by the deadline, if any engine does"`
	// TierFloor is the share of a tier's tickets that is served before those of higher tiers, to prevent starvation.
	TierFloor float64 `yaml:"tier_floor" unit:"share of 1" min:"0" max:"0.9" help:"part of each tier's tickets that is served before those of higher tiers; 0 means a strict order"`
	// AllowanceWindow is the time in which a workspace may use its rate and its burst. With 0, the burst is refilled at
	// the rate only.
	AllowanceWindow time.Duration `yaml:"allowance_window" unit:"duration" min:"0s" max:"10m" help:"time in which a workspace may use the rate and the burst that operators published; 0s means that the burst comes back at the rate only"`
	// ConnectionCost is the time that a new connection to an engine counts in the choice of an engine, so that a router
	// uses fewer engines.
	ConnectionCost time.Duration `yaml:"connection_cost" unit:"duration" min:"0s" max:"10s" help:"what a new connection of a router to an engine counts in the choice of an engine; 0s means nothing"`
	// Turnaround keeps slots in use while releases and grants cross the network.
	Turnaround bool `yaml:"turnaround" unit:"true or false" help:"whether an engine with short runs gets as many requests beyond its slots as cover the time between a release and the next run; only for engines that queue requests"`
	// ConnectionIdle is how long idle connections to engines are assumed to stay open.
	ConnectionIdle time.Duration `yaml:"connection_idle" unit:"duration" min:"100ms" max:"10m" help:"time for which the scheduler counts on a router's idle connection to an engine"`
	// DefaultOutputTokens is the output length assumed for work for which the catalogue states none.
	DefaultOutputTokens int `yaml:"default_output_tokens" unit:"tokens" min:"1" max:"1000000" help:"expected output of work that the catalogue states none for"`
	// RetryAfterMin is the shortest Retry-After of a refusal.
	RetryAfterMin time.Duration `yaml:"retry_after_min" unit:"duration" min:"10ms" max:"1m" help:"shortest Retry-After of a refusal"`
	// RetryAfterMax is the longest Retry-After of a refusal.
	RetryAfterMax time.Duration `yaml:"retry_after_max" unit:"duration" min:"100ms" max:"1h" help:"longest Retry-After of a refusal; at least retry_after_min"`
	// StragglerRatio is the share of an engine's usual speed below which it is excluded.
	StragglerRatio float64 `yaml:"straggler_ratio" unit:"share of 1" min:"0.05" max:"0.95" help:"share of its usual speed below which an engine is excluded"`
	// Pace bounds the requests in flight on an engine that has started or recovered by how it answers.
	Pace bool `yaml:"pace" unit:"boolean" help:"give an engine that has started or recovered work at the pace at which it answers in time"`
	// StragglerCap is the largest share of a pool's engines that may be excluded as slow at once.
	StragglerCap float64 `yaml:"straggler_cap" unit:"share of 1" min:"0" max:"1" help:"largest share of a pool excluded as slow at once"`
	// SuspectRetention is how long a request that was in flight at a crash runs alone when it is sent again.
	SuspectRetention time.Duration `yaml:"suspect_retention" unit:"duration" min:"1s" max:"24h" help:"time for which a request that was in flight at a crash runs alone"`
	// PoisonRetention is how long a poison request, which crashed an engine while it ran alone, stays refused.
	PoisonRetention time.Duration `yaml:"poison_retention" unit:"duration" min:"1s" max:"24h" help:"time for which a poison request stays refused"`
	// PoisonEntries bounds the suspects and poison requests that one scheduler remembers.
	PoisonEntries int `yaml:"poison_entries" unit:"requests" min:"16" max:"1000000" help:"suspect and poison requests that one scheduler remembers"`
	// PoisonCrashes is the number of crashes at the begin of its answer after which a request is refused, or half the number
	// of crashes at any time. With 0, suspects run alone instead, and one crash then suffices.
	PoisonCrashes int `yaml:"poison_crashes" unit:"crashes" min:"0" max:"100" help:"crashes at the begin of its answer after which a request is refused, or half the crashes at any time; 0 means that suspects run alone and one crash then suffices"`
	// PoisonPartCrashes is the number of crashes of unlike requests after which requests are refused because of a part of
	// their prompts that they have in common.
	PoisonPartCrashes int `yaml:"poison_part_crashes" unit:"crashes" min:"0" max:"100" help:"crashes after which requests are refused because of a part of their prompts that they have in common; 0 means never"`
	// ProbeAfter is the time until an excluded engine is probed with a request; it doubles with each failure.
	ProbeAfter time.Duration `yaml:"probe_after" unit:"duration" min:"10ms" max:"1m" help:"time until an engine that was taken out is tried again"`
	// RetryBudget is the share of a workspace's requests that may be retries.
	RetryBudget float64 `yaml:"retry_budget" unit:"share of 1" min:"0" max:"1" help:"share of a workspace's requests that may be retries"`
	// RetryPerSecond is the number of retries that a workspace earns per second, so that one with little traffic can
	// retry too.
	RetryPerSecond float64 `yaml:"retry_per_second" unit:"retries per second" min:"0" max:"1000" help:"retries that a workspace earns by time"`
	// RetryBurst is the maximum number of unused retries that a workspace accumulates.
	RetryBurst float64 `yaml:"retry_burst" unit:"retries" min:"0" max:"100000" help:"retries that a workspace can save up"`
	// RetryMemory is how long after a request failed its next submission counts as a retry.
	RetryMemory time.Duration `yaml:"retry_memory" unit:"duration" min:"1s" max:"1h" help:"time for which a repeat of a failed request counts as a retry"`
	// RetryEntries bounds the failed requests that one scheduler remembers.
	RetryEntries int `yaml:"retry_entries" unit:"requests" min:"16" max:"1000000" help:"failed requests that one scheduler remembers"`
	// LimitWait is how long a ticket may wait for a limit of its catalogue entry and workspace before it is refused.
	LimitWait time.Duration `yaml:"limit_wait" unit:"duration" min:"0s" max:"10m" help:"longest wait for a limit of the entry before a ticket is refused"`
	// QueuePolicy is the plug-in that orders queued tickets.
	QueuePolicy string `yaml:"queue_policy" format:"name" required:"true" help:"plug-in that orders queued tickets: tier_fair or fifo"`
	// EnginePolicy is the plug-in that chooses the engine of a grant.
	EnginePolicy string `yaml:"engine_policy" format:"name" required:"true" help:"plug-in that chooses the engine of a grant: expected_first_token, least_loaded or random"`
}

// Claims tunes the handling of requests with an idempotency key.
type Claims struct {
	// Window is the shortest time between two appends of claims by this router. With 0 it is members/200 s, which keeps
	// the appends of all routers to the claim stream below 200 per second.
	Window time.Duration `yaml:"window" unit:"duration" min:"0s" max:"10s" help:"shortest time between two appends of claims; 0s means members/200 s"`
	// Retention is how long the log keeps claims; older UUIDv7 keys are refused.
	Retention time.Duration `yaml:"retention" unit:"duration" min:"1m" max:"8760h" help:"how long the log keeps claims"`
}

// Catalogue tunes the replication of the catalogue.
type Catalogue struct {
	// Retention is how long the log keeps the catalogue stream.
	Retention time.Duration `yaml:"retention" unit:"duration" min:"1m" max:"8760h" help:"how long the log keeps the catalogue stream"`
}
