package abstainer

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"coltsfootplank/internal/kernel"
)

// leavingRetention is how long it is kept that an upstream is leaving once the upstream isn't registered any more. An
// upstream that left without a record may still be granted by a scheduler that has older information.
const leavingRetention = 10 * time.Minute

// Upstream identifies one process of an upstream.
type Upstream struct {
	Name string
	// Incarnation distinguishes the starts of an upstream that keeps its name; 0 if it isn't known.
	Incarnation int64
}

// Options are the dependencies of an abstainer.
type Options struct {
	// Registered reports whether an upstream with a name is registered.
	Registered func(name string) bool
	Metrics    metrics.Registry
	Logger     *zap.Logger
}

// Abstainer keeps what upstreams ask of this router. It is safe for concurrent use.
type Abstainer struct {
	options Options
	// mu serialises changes. entries is replaced as a whole, so that requests read it without a lock.
	mu      sync.Mutex
	entries atomic.Pointer[map[string]entry]
}

// entry is what one upstream asks.
type entry struct {
	incarnation int64
	// leavingSince is when the upstream first said that it is leaving; zero if it hasn't.
	leavingSince time.Time
	pausedUntil  time.Time
}

// New returns an abstainer that knows of no upstream.
func New(options Options) *Abstainer {
	a := &Abstainer{options: options}
	a.entries.Store(&map[string]entry{})
	metrics.NewRegisteredFunctionalGauge("upstreams.abstained", options.Metrics, func() int64 {
		return int64(len(a.Dump()))
	})
	return a
}

// Observe records what an upstream asks in an answer. A shorter pause doesn't end a longer one.
func (a *Abstainer) Observe(upstream Upstream, notice kernel.Notice) {
	if notice == (kernel.Notice{}) {
		return
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	known := (*a.entries.Load())[upstream.Name]
	if !sameProcess(known.incarnation, upstream.Incarnation) {
		known = entry{}
	}
	updated := known
	if upstream.Incarnation != 0 {
		updated.incarnation = upstream.Incarnation
	}
	if notice.Leaving && known.leavingSince.IsZero() {
		updated.leavingSince = now
		a.count("upstreams.leaving_announced")
		a.options.Logger.Info("upstream says that it is leaving", zap.String("upstream", upstream.Name),
			zap.Int64("incarnation", upstream.Incarnation))
	}
	if until := now.Add(notice.Pause); notice.Pause > 0 {
		a.count("upstreams.pauses_asked")
		if until.After(known.pausedUntil) {
			updated.pausedUntil = until
			a.options.Logger.Info("upstream wants no requests for some time", zap.String("upstream", upstream.Name),
				zap.Int64("incarnation", upstream.Incarnation), zap.Int64("pause_ms", notice.Pause.Milliseconds()))
		}
	}
	if updated == known {
		return
	}
	entries := a.withoutExpired(now)
	entries[upstream.Name] = updated
	a.entries.Store(&entries)
}

func (a *Abstainer) count(name string) { metrics.GetOrRegisterCounter(name, a.options.Metrics).Inc(1) }

// withoutExpired returns a copy of the entries without those that ask nothing any more.
func (a *Abstainer) withoutExpired(now time.Time) map[string]entry {
	entries := maps.Clone(*a.entries.Load())
	maps.DeleteFunc(entries, func(name string, e entry) bool {
		if !e.leavingSince.IsZero() {
			return now.Sub(e.leavingSince) >= leavingRetention && !a.options.Registered(name)
		}
		return !now.Before(e.pausedUntil)
	})
	return entries
}

// Asked returns what an upstream asks of this router now.
func (a *Abstainer) Asked(upstream Upstream) kernel.Notice {
	known, ok := (*a.entries.Load())[upstream.Name]
	if !ok || !sameProcess(known.incarnation, upstream.Incarnation) {
		return kernel.Notice{}
	}
	return kernel.Notice{Leaving: !known.leavingSince.IsZero(), Pause: max(0, time.Until(known.pausedUntil))}
}

// sameProcess reports whether two incarnations of an upstream may be the same process.
func sameProcess(a, b int64) bool { return a == 0 || b == 0 || a == b }

// DumpEntry is what one upstream asks, for the state dump.
type DumpEntry struct {
	Upstream     string    `json:"upstream"`
	Incarnation  int64     `json:"incarnation"`
	LeavingSince time.Time `json:"leaving_since,omitzero"`
	PausedUntil  time.Time `json:"paused_until,omitzero"`
}

// Dump returns what upstreams ask of this router, by their names.
func (a *Abstainer) Dump() []DumpEntry {
	entries := a.withoutExpired(time.Now())
	list := make([]DumpEntry, 0, len(entries))
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		e := entries[name]
		list = append(list, DumpEntry{
			Upstream: name, Incarnation: e.incarnation, LeavingSince: e.leavingSince, PausedUntil: e.pausedUntil,
		})
	}
	return list
}
