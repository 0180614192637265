package assembler

import (
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/isolator"
	"coltsfootplank/internal/limiter"
	"coltsfootplank/internal/loader"
	"coltsfootplank/internal/runner"
	"coltsfootplank/internal/scheduler"
)

// schedulerFactory returns a factory of schedulers with the router's settings and logger.
func schedulerFactory(settings loader.Scheduling, logger *zap.Logger) runner.Factory {
	return func(pool cataloguer.Pool, now time.Time) runner.Scheduler {
		return &schedulerAdapter{Scheduler: scheduler.New(pool.Name, schedulerSettings(settings, pool), logger, now)}
	}
}

func schedulerSettings(settings loader.Scheduling, pool cataloguer.Pool) scheduler.Settings {
	result := scheduler.DefaultSettings()
	result.OrderPolicy = settings.QueuePolicy
	result.EngineChoice = settings.EnginePolicy
	result.MaxQueue = settings.MaxQueue
	if pool.MaxQueue > 0 {
		result.MaxQueue = pool.MaxQueue
	}
	result.LongTokens = settings.LongTokens
	result.LongShare = settings.LongShare
	result.UrgentReserve = settings.UrgentReserve
	result.UrgentTier = settings.UrgentTier
	result.TokenRoom = settings.TokenRoom
	result.DefaultPrefillPerSec = float64(settings.DefaultPrefillPerSecond)
	result.DefaultTokensPerSec = float64(settings.DefaultTokensPerSecond)
	result.DefaultOutputTokens = settings.DefaultOutputTokens
	result.PrefillSample = settings.PrefillSample
	result.OutputSample = settings.OutputSample
	result.OutputMargin = settings.OutputMargin
	result.TierFloor = settings.TierFloor
	result.AllowanceWindow = settings.AllowanceWindow
	result.ConnectionCost, result.ConnectionIdle = settings.ConnectionCost, settings.ConnectionIdle
	result.Turnaround = settings.Turnaround
	result.StragglerRatio = settings.StragglerRatio
	result.StragglerCap = settings.StragglerCap
	result.Pace = settings.Pace
	result.ProbeAfter = settings.ProbeAfter
	result.Isolation = isolator.Settings{
		SuspectRetention: settings.SuspectRetention, PoisonRetention: settings.PoisonRetention, MaxEntries: settings.PoisonEntries,
		CrashLimit: settings.PoisonCrashes, PartCrashLimit: settings.PoisonPartCrashes,
	}
	result.LimitWait = settings.LimitWait
	result.Retries = limiter.RetryBudgetSettings{
		Ratio: settings.RetryBudget, PerSecond: settings.RetryPerSecond, Burst: settings.RetryBurst,
		FailureRetention: settings.RetryMemory, MaxEntries: settings.RetryEntries,
	}
	result.RetryAfterMin = settings.RetryAfterMin
	result.RetryAfterMax = settings.RetryAfterMax
	return result
}

// schedulerAdapter adapts a scheduler to the types of the runner.
type schedulerAdapter struct {
	*scheduler.Scheduler
}

// SetEngines converts the engines of the cell and sets them.
func (h *schedulerAdapter) SetEngines(now time.Time, engines []runner.EngineInfo) {
	infos := make([]scheduler.EngineInfo, 0, len(engines))
	for _, engine := range engines {
		infos = append(infos, scheduler.EngineInfo(engine))
	}
	h.Scheduler.SetEngines(now, infos)
}

// SetVersionLimits converts the limits and sets them.
func (h *schedulerAdapter) SetVersionLimits(now time.Time, limits map[string]runner.VersionLimit) {
	if limits == nil {
		h.Scheduler.SetVersionLimits(now, nil)
		return
	}
	converted := make(map[string]scheduler.VersionLimit, len(limits))
	for version, limit := range limits {
		converted[version] = scheduler.VersionLimit(limit)
	}
	h.Scheduler.SetVersionLimits(now, converted)
}

// Step returns the converted decisions of the scheduler.
func (h *schedulerAdapter) Step(now time.Time) []runner.Decision {
	decisions := h.Scheduler.Step(now)
	result := make([]runner.Decision, 0, len(decisions))
	for _, decision := range decisions {
		result = append(result, runner.Decision(decision))
	}
	return result
}

// Dump returns the state of the scheduler.
func (h *schedulerAdapter) Dump() any { return h.Scheduler.Dump() }
