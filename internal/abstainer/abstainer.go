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

const (
	// leavingRetention is how long it is kept that an upstream is leaving once the upstream isn't registered any more. An
	// upstream that left without a record may still be granted by a scheduler that has older information.
	leavingRetention = 10 * time.Minute
	// unknownRetention is how long it is kept that a process is leaving whose incarnation isn't known. It is longer than
	// upstreams stay after they have announced that they leave. The next process of the name can't be told from it.
	unknownRetention = time.Minute
)

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

// entry is what the processes of one upstream ask.
type entry struct {
	// latest is the latest process that has asked something, unknown one whose incarnation isn't known.
	latest, unknown process
}

// process is what one process of an upstream asks.
type process struct {
	incarnation int64
	// leavingSince is when the process first said that it is leaving; zero if it hasn't.
	leavingSince time.Time
	pausedUntil  time.Time
}

// notice returns what the process asks now.
func (p process) notice(now time.Time) kernel.Notice {
	leaving := !p.leavingSince.IsZero() && (p.incarnation != 0 || now.Sub(p.leavingSince) < unknownRetention)
	return kernel.Notice{Leaving: leaving, Pause: max(0, p.pausedUntil.Sub(now))}
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
	updated := known
	if upstream.Incarnation == 0 {
		updated.unknown = a.observe(known.unknown, upstream, notice, now)
	} else {
		updated.latest = a.observe(known.latest, upstream, notice, now)
	}
	if updated == known {
		return
	}
	entries := a.withoutExpired(now)
	entries[upstream.Name] = updated
	a.entries.Store(&entries)
}

// observe returns what a process asks after a further notice. known is what the process asked before, or one before it.
func (a *Abstainer) observe(known process, upstream Upstream, notice kernel.Notice, now time.Time) process {
	if known.incarnation != upstream.Incarnation {
		known = process{incarnation: upstream.Incarnation}
	}
	if notice.Leaving && known.leavingSince.IsZero() {
		known.leavingSince = now
		a.count("upstreams.leaving_announced")
		a.options.Logger.Info("upstream says that it is leaving", zap.String("upstream", upstream.Name),
			zap.Int64("incarnation", upstream.Incarnation))
	}
	if notice.Pause <= 0 {
		return known
	}
	a.count("upstreams.pauses_asked")
	if until := now.Add(notice.Pause); until.After(known.pausedUntil) {
		known.pausedUntil = until
		a.options.Logger.Info("upstream wants no requests for some time", zap.String("upstream", upstream.Name),
			zap.Int64("incarnation", upstream.Incarnation), zap.Int64("pause_ms", notice.Pause.Milliseconds()))
	}
	return known
}

func (a *Abstainer) count(name string) { metrics.GetOrRegisterCounter(name, a.options.Metrics).Inc(1) }

// withoutExpired returns a copy of the entries without those that ask nothing any more.
func (a *Abstainer) withoutExpired(now time.Time) map[string]entry {
	entries := maps.Clone(*a.entries.Load())
	maps.DeleteFunc(entries, func(name string, e entry) bool {
		latest := e.latest.notice(now)
		if latest.Leaving && now.Sub(e.latest.leavingSince) >= leavingRetention && !a.options.Registered(name) {
			latest.Leaving = false
		}
		return merge(latest, e.unknown.notice(now)) == (kernel.Notice{})
	})
	return entries
}

// merge returns what two processes ask that can't be told apart.
func merge(a, b kernel.Notice) kernel.Notice {
	return kernel.Notice{Leaving: a.Leaving || b.Leaving, Pause: max(a.Pause, b.Pause)}
}

// Asked returns what an upstream asks of this router now.
func (a *Abstainer) Asked(upstream Upstream) kernel.Notice {
	e, ok := (*a.entries.Load())[upstream.Name]
	if !ok {
		return kernel.Notice{}
	}
	now := time.Now()
	asked := e.unknown.notice(now)
	if upstream.Incarnation == 0 || upstream.Incarnation == e.latest.incarnation {
		asked = merge(asked, e.latest.notice(now))
	}
	return asked
}

// DumpEntry is what one process of an upstream asks, for the state dump.
type DumpEntry struct {
	Upstream string `json:"upstream"`
	// Incarnation is 0 if it isn't known.
	Incarnation  int64     `json:"incarnation"`
	LeavingSince time.Time `json:"leaving_since,omitzero"`
	PausedUntil  time.Time `json:"paused_until,omitzero"`
}

// Dump returns what upstreams ask of this router, by their names.
func (a *Abstainer) Dump() []DumpEntry {
	now := time.Now()
	entries := a.withoutExpired(now)
	list := make([]DumpEntry, 0, len(entries))
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		for _, p := range []process{entries[name].latest, entries[name].unknown} {
			if p.notice(now) != (kernel.Notice{}) {
				list = append(list, DumpEntry{
					Upstream: name, Incarnation: p.incarnation, LeavingSince: p.leavingSince, PausedUntil: p.pausedUntil,
				})
			}
		}
	}
	return list
}
